package laneflow.lab.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;

/**
 * Stand-in till nodes, several in one process, each with slots and a FIFO queue. They use the platform's
 * protocol: 200 with a line when a job starts and another when it is done; 503 with Srv-Declined when the
 * queue is full. Each run is written to a run log, in the format of {@link StandInWorker}.
 */
public final class StandInNodes {
    private static final int MAX_QUEUED = 16;
    private static final int HANG_MS = 2000;

    private final RunLog runLog;
    private final SplittableRandom seeds;
    private final int slots;
    private final int runMs;
    private final boolean reportsLoad;

    private StandInNodes(RunLog runLog, long seed, int slots, int runMs, boolean reportsLoad) {
        this.runLog = runLog;
        this.seeds = new SplittableRandom(seed);
        this.slots = slots;
        this.runMs = runMs;
        this.reportsLoad = reportsLoad;
    }

    /** Arguments: PORT,... RUN_LOG SEED SLOTS RUN_MS SECONDS [load: each answer reports the load]. */
    public static void main(String[] args) throws IOException, InterruptedException {
        RunLog runLog = args[1].isEmpty() ? null : new RunLog(Path.of(args[1]));
        StandInNodes nodes = new StandInNodes(
                runLog, Long.parseLong(args[2]), Integer.parseInt(args[3]), Integer.parseInt(args[4]), args.length > 6);
        for (String port : args[0].split(",")) {
            ServerSocket server = new ServerSocket(Integer.parseInt(port), 512, InetAddress.getLoopbackAddress());
            Semaphore freeSlots = new Semaphore(nodes.slots, true);
            startThread(() -> nodes.accept(server, freeSlots));
        }
        Thread.sleep(Long.parseLong(args[5]) * 1000);
        System.exit(0);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(null, work, "node", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server, Semaphore freeSlots) {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                SplittableRandom random = seeds.split();
                startThread(() -> serve(socket, freeSlots, random));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, Semaphore freeSlots, SplittableRandom random) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = HttpText.readHead(in); head != null; head = HttpText.readHead(in)) {
                String id = HttpText.field(head, "Req-Id", "0");
                int length = Integer.parseInt(HttpText.field(head, "Content-Length", "0"));
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length) {
                    // The sender closed the connection within the body: the request is incomplete.
                    return;
                }
                String body = new String(bytes, StandardCharsets.UTF_8);
                if (body.startsWith("hang")) {
                    // The job is accepted but never answered: only the scheduler's deadline can end it.
                    Thread.sleep(HANG_MS);
                    return;
                }
                if (freeSlots.getQueueLength() >= MAX_QUEUED) {
                    write(socket, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                freeSlots.acquire();
                try {
                    String name = body.split(" ", 2)[0];
                    write(
                            socket,
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + HttpText.chunk("{\"id\":\"" + id + "\",\"state\":\"started\"}\n"));
                    if (runLog != null) {
                        runLog.write("start", name);
                    }
                    Thread.sleep(1 + random.nextInt(2 * runMs));
                    if (runLog != null) {
                        runLog.write("done", name);
                    }
                    write(
                            socket,
                            HttpText.chunk("{\"id\":\"" + id
                                            + "\",\"state\":\"done\",\"result\":\"ran " + name
                                            + "\"" + load(freeSlots) + "}\n")
                                    + "0\r\n\r\n");
                } finally {
                    freeSlots.release();
                }
            }
        } catch (IOException | InterruptedException e) {
            // The scheduler closed the connection or died; the run log tells which jobs ran.
            return;
        }
    }

    private String load(Semaphore freeSlots) {
        return !reportsLoad
                ? ""
                : ",\"load\":{\"x0\":" + freeSlots.availablePermits() + ",\"q\":" + freeSlots.getQueueLength() + "}";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }
}
