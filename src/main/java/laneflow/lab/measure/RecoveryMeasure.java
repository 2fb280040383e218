package laneflow.lab.measure;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.RunLog;

/**
 * Durable jobs that must not run twice, at schedulers that are killed: first with the adopter of one killed
 * amid it and before any job could run, then with jobs under way. What ran is read from the endpoints' own
 * books.
 *
 * @param jobs taken on, each with an answer that says so
 * @param ran those that an endpoint has begun
 * @param twice beginnings of a job that had begun before
 * @param lost taken on, never begun, and not among those that may have begun at a kill
 * @param unsure not begun: their scheduler was killed between their attempt's record and the endpoint
 */
record RecoveryMeasure(int jobs, int kills, int adopted, int ran, int twice, int lost, int unsure) {
    private static final int EACH = 60;
    private static final int SCHEDULERS = 4;
    private static final int VOTERS = 3;
    /** Of all nodes together; no more can be under way at a kill. */
    private static final int SLOTS = 96;

    private static final int STILL = 30;
    private static final int NODES_S = 300;

    static RecoveryMeasure run(long seed, Path in) throws IOException, InterruptedException {
        Path folder = Files.createDirectory(in.resolve("recovery"));
        Path stores = Files.createDirectory(folder.resolve("stores"));
        int[] nodes = {ChildProcesses.freePort(), ChildProcesses.freePort(), ChildProcesses.freePort()};
        try (Rig rig = new Rig(folder, SCHEDULERS, VOTERS, seed, "")) {
            for (int i = 0; i < SCHEDULERS; i++) {
                rig.setConfig(
                        i,
                        "zones = [\"z\"]\n[classes.post]\ndeadline_ms = 3000\nrepeat = \"never\"\n"
                                + Rig.endpointTables(nodes) + "[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\n[durable]\n"
                                + "dir = \"" + stores.resolve(Rig.name(i)) + "\"\n[durable.classes.post]\n[tasks]\n"
                                + "stores = \"" + stores + "\"\nadopt_after_ms = 500\n");
            }
            rig.startAll();
            rig.awaitDeciding(0, rig.all());
            return run(rig, folder, stores, nodes);
        }
    }

    private static RecoveryMeasure run(Rig rig, Path folder, Path stores, int[] nodes)
            throws IOException, InterruptedException {
        int last = SCHEDULERS - 1;
        handIn(rig, 0, "a", EACH);
        handIn(rig, last, "b", EACH);
        // Nobody is at the nodes yet: all are kept and none has run.
        rig.kill(last);
        int[] by = {-1};
        rig.await("somebody takes it over", () -> {
            by[0] = adopter(stores, Rig.name(last));
            return by[0] >= 0 || !Files.exists(stores.resolve(Rig.name(last)));
        });
        int amid = Math.max(0, by[0]);
        rig.kill(amid);
        rig.await("the adopter's store has another place", () -> !Files.exists(stores.resolve(Rig.name(amid))));
        rig.startNodes(nodes, NODES_S);
        Path book = folder.resolve("ran");
        rig.await("all of both have run", () -> begun(book).keySet().size() >= 2 * EACH);
        rig.start(last);
        rig.start(amid);
        rig.awaitDeciding(0, rig.all());
        // Now with jobs under way: what may have begun is not begun again.
        handIn(rig, last, "c", EACH);
        rig.kill(last);
        rig.await(
                "its store has another place",
                () -> !Files.exists(stores.resolve(Rig.name(last))) && adopter(stores, Rig.name(last)) < 0);
        int[] before = {-1, 0};
        rig.await("nothing more begins", () -> {
            int now = begun(book).size();
            before[1] = now == before[0] ? before[1] + 1 : 0;
            before[0] = now;
            Thread.sleep(100);
            return before[1] >= STILL;
        });
        return count(rig, begun(book));
    }

    private static RecoveryMeasure count(Rig rig, Map<String, Integer> begun) throws IOException, InterruptedException {
        int jobs = 3 * EACH;
        int twice = begun.values().stream().mapToInt(one -> one - 1).sum();
        int missing = jobs - begun.size();
        Set<String> sure = new HashSet<>(begun.keySet());
        sure.removeIf(job -> job.startsWith("c"));
        int lost = 2 * EACH - sure.size();
        int unsure = missing - lost;
        int adopted = 0;
        for (int i = 0; i < SCHEDULERS; i++) {
            adopted += rig.isUp(i) ? (int) rig.counter(i, "task.stores_adopted") : 0;
        }
        return new RecoveryMeasure(jobs, 3, adopted, begun.size(), twice, lost + Math.max(0, unsure - SLOTS), unsure);
    }

    private static void handIn(Rig rig, int at, String set, int jobs) throws IOException, InterruptedException {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int i = 0; i < jobs; i++) {
            String job = set + i;
            HttpResponse<String> answer = client.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + rig.clientPort(at) + "/post"))
                            .header("Req-Id", job)
                            .header("Prefer", "respond-async")
                            .header("Idempotency-Key", job)
                            .POST(HttpRequest.BodyPublishers.ofString(job))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() != 202) {
                throw new IOException(job + ": " + answer.statusCode() + " " + answer.body());
            }
        }
    }

    /** How often each job has begun, by the nodes' book. */
    private static Map<String, Integer> begun(Path book) throws IOException {
        Map<String, Integer> all = new HashMap<>();
        RunLog.read(book).stream()
                .filter(line -> line.event().equals("start"))
                .forEach(line -> all.merge(line.job(), 1, Integer::sum));
        return all;
    }

    /** In whose folder another's store lies now, or -1. */
    private static int adopter(Path stores, String name) throws IOException {
        for (int i = 0; i < SCHEDULERS; i++) {
            Path adopted = stores.resolve(Rig.name(i)).resolve("adopted");
            if (Files.isDirectory(adopted)) {
                try (Stream<Path> all = Files.list(adopted)) {
                    List<Path> found = all.toList();
                    if (found.stream()
                            .anyMatch(path -> path.getFileName().toString().startsWith(name + "."))) {
                        return i;
                    }
                }
            }
        }
        return -1;
    }
}
