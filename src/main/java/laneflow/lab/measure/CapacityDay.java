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
 * A day's requests to many schedulers, drawn from a seed and the same whoever plays it: open loop, each at
 * its instant, at the scheduler that it is drawn for. One scheduler has ten times what the others have in
 * the mean, drawn anew every while.
 */
final class CapacityDay {
    static final double AIM = 0.3;
    static final double STRETCH = 2;
    private static final int DEADLINE_MS = 8000;
    private static final double PHASE = 2;
    private static final double MOST_UNEVEN = 10;
    private static final double OTHERS_MEAN = 0.5;
    private static final double NANOS = 1e9;

    /** A request: seconds from the day's begin, where, how long it runs and what its client says of that. */
    private record Job(double at, int scheduler, double takes, double hint) {}

    /** A refusal, when the client had it. */
    record Refusal(int scheduler, long askedNs, long answeredNs) {}

    /** What came of the day behind its first seconds, in which processes warm up. */
    static final class Outcome {
        int asked;
        int inTime;
        int late;
        int failed;
        long beganNs;
        final List<Refusal> refusals = new ArrayList<>();

        double points() {
            return 100.0 * inTime / asked;
        }
    }

    private final List<Job> jobs = new ArrayList<>();
    private final double begins;
    private final List<ConcurrentLinkedDeque<Socket>> idle = new ArrayList<>();

    /**
     * Draws it.
     *
     * @param perSecond requests in all
     * @param job seconds that one runs in the mean
     * @param warm seconds before those that count
     */
    CapacityDay(long seed, int schedulers, double perSecond, double job, double warm, double seconds) {
        begins = warm;
        SplittableRandom draws = new SplittableRandom(seed);
        double[] weights = new double[schedulers];
        double sum = 0;
        double phase = 0;
        for (double at = 0; at < warm + seconds; ) {
            if (at >= phase) {
                phase += PHASE;
                sum = 0;
                int hot = draws.nextInt(schedulers);
                for (int i = 0; i < schedulers; i++) {
                    weights[i] = i == hot ? MOST_UNEVEN * OTHERS_MEAN : 0.1 + 0.8 * draws.nextDouble();
                    sum += weights[i];
                }
            }
            double pick = draws.nextDouble() * sum;
            int i = 0;
            while (i < schedulers - 1 && pick >= weights[i]) {
                pick -= weights[i++];
            }
            double takes = Math.min(4 * job, job * (0.25 - 0.75 * Math.log(1 - draws.nextDouble())));
            jobs.add(new Job(at, i, takes, takes * (0.7 + 0.6 * draws.nextDouble())));
            at += -Math.log(1 - draws.nextDouble()) / perSecond;
        }
        for (int i = 0; i < schedulers; i++) {
            idle.add(new ConcurrentLinkedDeque<>());
        }
    }

    /** Plays it against schedulers at these ports; returns when all is answered. */
    Outcome play(IntUnaryOperator port) throws InterruptedException {
        Outcome outcome = new Outcome();
        ConcurrentLinkedQueue<Runnable> results = new ConcurrentLinkedQueue<>();
        ExecutorService clients = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, "client", 128 * 1024);
            thread.setDaemon(true);
            return thread;
        });
        long from = System.nanoTime();
        outcome.beganNs = from + (long) (begins * NANOS);
        int number = 0;
        for (Job job : jobs) {
            long at = from + (long) (job.at * NANOS);
            long left = at - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
            String id = "r" + number++;
            clients.execute(() -> {
                Runnable result = ask(job, id, at, port.applyAsInt(job.scheduler), outcome);
                if (job.at >= begins) {
                    results.add(result);
                }
            });
        }
        clients.shutdown();
        clients.awaitTermination(3 * DEADLINE_MS, TimeUnit.MILLISECONDS);
        for (Runnable result : results) {
            outcome.asked++;
            result.run();
        }
        idle.forEach(CapacityDay::close);
        return outcome;
    }

    private static void close(ConcurrentLinkedDeque<Socket> sockets) {
        for (Socket socket = sockets.poll(); socket != null; socket = sockets.poll()) {
            drop(socket);
        }
    }

    private static void drop(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is owed on it any more.
            return;
        }
    }

    private Runnable ask(Job job, String id, long at, int port, Outcome outcome) {
        Socket socket = idle.get(job.scheduler).poll();
        try {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(2 * DEADLINE_MS);
            }
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String body = id + " " + Math.round(job.takes * 1e6);
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nReq-Id: " + id
                                    + "\r\nReq-Cost: " + Math.round(job.hint * 1e6) + "\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = LiveLoad.readResponse(in);
            long now = System.nanoTime();
            idle.get(job.scheduler).push(socket);
            if (answer.startsWith("HTTP/1.1 200 ")) {
                boolean inTime = (now - at) / NANOS <= AIM + STRETCH * job.hint;
                return () -> {
                    outcome.inTime += inTime ? 1 : 0;
                    outcome.late += inTime ? 0 : 1;
                };
            }
            if (answer.startsWith("HTTP/1.1 503 ")) {
                return () -> outcome.refusals.add(new Refusal(job.scheduler, at, now));
            }
        } catch (IOException e) {
            if (socket != null) {
                drop(socket);
            }
        }
        return () -> outcome.failed++;
    }
}
