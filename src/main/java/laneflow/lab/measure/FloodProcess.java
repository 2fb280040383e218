package laneflow.lab.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A process of clients that misbehave, apart from those that measure. */
final class FloodProcess {
    private FloodProcess() {}

    /** Arguments: PORT CLASS KIND COUNT SEED MILLISECONDS RECORD. The record lists when each connection was closed. */
    public static void main(String[] args) throws IOException, InterruptedException {
        FloodClient.Kind kind = FloodClient.Kind.valueOf(args[2]);
        Map<String, Long> closedAt = new ConcurrentHashMap<>();
        List<FloodClient> clients = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[3]); i++) {
            long seed = Long.parseLong(args[4]) * 1000 + i;
            clients.add(new FloodClient(kind, i, Integer.parseInt(args[0]), args[1], seed, closedAt));
        }
        Thread.sleep(Long.parseLong(args[5]));
        long sent = 0;
        for (FloodClient client : clients) {
            client.close();
            sent += client.sent.get();
        }
        List<String> lines = new ArrayList<>();
        lines.add("sent " + sent);
        new TreeMap<>(closedAt).forEach((prefix, nanos) -> lines.add(prefix + " " + nanos));
        Files.write(Path.of(args[6]), lines);
        System.exit(0);
    }
}
