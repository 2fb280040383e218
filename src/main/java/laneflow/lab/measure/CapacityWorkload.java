package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

/**
 * Requests to several schedulers, drawn from a seed, so that runs with the same seed send the same load. The
 * load is open-loop: each request is sent at its drawn time to its drawn scheduler. One scheduler gets ten
 * times the mean rate of the others; which one is drawn anew in each phase.
 */
final class CapacityWorkload {
    static final double AIM_SECONDS = 0.3;
    static final double STRETCH = 2;
    private static final int DEADLINE_MS = 8000;
    private static final double PHASE_SECONDS = 2;
    private static final double BUSIEST_FACTOR = 10;
    private static final double OTHERS_MEAN_WEIGHT = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A request: seconds from the start of the run, its scheduler, its run time, and the client's hint of it. */
    private record Request(double startSeconds, int scheduler, double runSeconds, double hintSeconds) {}

    /** A 503 response: when its request was due and when the client had read it. */
    record Refusal(int scheduler, long dueNanos, long answeredNanos) {}

    /** The results of the requests after the warm-up. */
    static final class Outcome {
        int sent;
        int inTime;
        int late;
        int failed;
        long measuredFromNanos;
        final List<Refusal> refusals = new ArrayList<>();

        double servedPercent() {
            return 100.0 * inTime / sent;
        }
    }

    private final List<Request> requests = new ArrayList<>();
    private final double warmupSeconds;
    private final List<ConcurrentLinkedDeque<Socket>> idleConnections = new ArrayList<>();

    /**
     * Draws the requests.
     *
     * @param perSecond requests per second to all schedulers together
     * @param meanRunSeconds mean run time of a request
     * @param warmup seconds whose requests are sent but not counted
     */
    CapacityWorkload(
            long seed, int schedulers, double perSecond, double meanRunSeconds, double warmup, double seconds) {
        warmupSeconds = warmup;
        SplittableRandom random = new SplittableRandom(seed);
        double[] weights = new double[schedulers];
        double weightSum = 0;
        double nextPhaseSeconds = 0;
        for (double startSeconds = 0; startSeconds < warmup + seconds; ) {
            if (startSeconds >= nextPhaseSeconds) {
                nextPhaseSeconds += PHASE_SECONDS;
                weightSum = 0;
                int busiest = random.nextInt(schedulers);
                for (int scheduler = 0; scheduler < schedulers; scheduler++) {
                    weights[scheduler] = scheduler == busiest
                            ? BUSIEST_FACTOR * OTHERS_MEAN_WEIGHT
                            : 0.1 + 0.8 * random.nextDouble();
                    weightSum += weights[scheduler];
                }
            }
            double pick = random.nextDouble() * weightSum;
            int scheduler = 0;
            while (scheduler < schedulers - 1 && pick >= weights[scheduler]) {
                pick -= weights[scheduler++];
            }
            double runSeconds =
                    Math.min(4 * meanRunSeconds, meanRunSeconds * (0.25 - 0.75 * Math.log(1 - random.nextDouble())));
            requests.add(
                    new Request(startSeconds, scheduler, runSeconds, runSeconds * (0.7 + 0.6 * random.nextDouble())));
            startSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
        }
        for (int scheduler = 0; scheduler < schedulers; scheduler++) {
            idleConnections.add(new ConcurrentLinkedDeque<>());
        }
    }

    /** Sends the requests to schedulers at these ports; returns when all are answered or have timed out. */
    Outcome run(IntUnaryOperator port) throws InterruptedException {
        Outcome outcome = new Outcome();
        ConcurrentLinkedQueue<Runnable> outcomeUpdates = new ConcurrentLinkedQueue<>();
        ExecutorService clients = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, "client", 128 * 1024);
            thread.setDaemon(true);
            return thread;
        });
        long startNanos = System.nanoTime();
        outcome.measuredFromNanos = startNanos + (long) (warmupSeconds * NANOS_PER_SECOND);
        int number = 0;
        for (Request request : requests) {
            long dueNanos = startNanos + (long) (request.startSeconds * NANOS_PER_SECOND);
            long remainingNanos = dueNanos - System.nanoTime();
            if (remainingNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(remainingNanos);
            }
            String id = "r" + number++;
            clients.execute(() -> {
                Runnable outcomeUpdate = send(request, id, dueNanos, port.applyAsInt(request.scheduler), outcome);
                if (request.startSeconds >= warmupSeconds) {
                    outcomeUpdates.add(outcomeUpdate);
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(3 * DEADLINE_MS, TimeUnit.MILLISECONDS);
        for (Runnable outcomeUpdate : outcomeUpdates) {
            outcome.sent++;
            outcomeUpdate.run();
        }
        idleConnections.forEach(CapacityWorkload::closeAll);
        return outcome;
    }

    private static void closeAll(ConcurrentLinkedDeque<Socket> sockets) {
        for (Socket socket = sockets.poll(); socket != null; socket = sockets.poll()) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is not used again.
            return;
        }
    }

    private Runnable send(Request request, String id, long dueNanos, int schedulerPort, Outcome outcome) {
        Socket socket = idleConnections.get(request.scheduler).poll();
        try {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), schedulerPort);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(2 * DEADLINE_MS);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String body = id + " " + Math.round(request.runSeconds * 1e6);
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nReq-Id: " + id
                                    + "\r\nReq-Cost: " + Math.round(request.hintSeconds * 1e6) + "\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            String response = LiveLoad.readResponse(in);
            long answeredNanos = System.nanoTime();
            idleConnections.get(request.scheduler).push(socket);
            if (response.startsWith("HTTP/1.1 200 ")) {
                boolean inTime =
                        (answeredNanos - dueNanos) / NANOS_PER_SECOND <= AIM_SECONDS + STRETCH * request.hintSeconds;
                return () -> {
                    outcome.inTime += inTime ? 1 : 0;
                    outcome.late += inTime ? 0 : 1;
                };
            }
            if (response.startsWith("HTTP/1.1 503 ")) {
                return () -> outcome.refusals.add(new Refusal(request.scheduler, dueNanos, answeredNanos));
            }
        } catch (IOException e) {
            if (socket != null) {
                closeQuietly(socket);
            }
        }
        return () -> outcome.failed++;
    }
}
