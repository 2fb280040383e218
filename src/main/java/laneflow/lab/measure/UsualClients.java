package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import laneflow.lab.standin.HttpText;

/**
 * Clients that use a scheduler as its protocol asks: one request at a time on a kept connection, a new id for each.
 * Each records how its requests were answered.
 */
final class UsualClients implements AutoCloseable {
    /** How long a client waits, in milliseconds. */
    static final int WAIT_MS = 5_000;
    /** Later than this behind its time, an answer counts as lost. */
    private static final int SLACK_MS = 500;

    private static final int GIVE_UP_MS = 7_000;
    /** No request is open for longer than this, nanoseconds. */
    static final long LONGEST_NS = GIVE_UP_MS * 1_000_000L;

    private static final int THINK_MS = 800;
    private static final int BODY_BYTES = 200;
    private static final int STACK_BYTES = 256 * 1024;

    /** How a request was answered. */
    enum Ending {
        ANSWERED,
        NEVER_ANSWERED,
        CLOSED_UNANSWERED,
        /** No connection came up: the scheduler was not there, so it took nothing. */
        NOT_CONNECTED
    }

    /**
     * The answer to a request.
     *
     * @param sentAt when its last byte was written, nanoseconds
     * @param tookMs milliseconds until its end
     * @param status status code, or 0
     */
    record Answer(String id, long sentAt, double tookMs, int status, Ending ending) {
        boolean isLost() {
            return ending == Ending.NEVER_ANSWERED
                    || ending == Ending.CLOSED_UNANSWERED
                    || ending == Ending.ANSWERED && tookMs > WAIT_MS + SLACK_MS;
        }
    }

    private final int port;
    private final String jobClass;
    private final List<Thread> threads = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private volatile boolean stopping;

    UsualClients(int port, int count, String jobClass) {
        this.port = port;
        this.jobClass = jobClass;
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(null, this::run, "usual-client", STACK_BYTES);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    private void run() {
        Socket socket = null;
        try {
            while (!stopping) {
                Thread.sleep(ThreadLocalRandom.current().nextInt(THINK_MS));
                socket = sendOne(socket);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(socket);
        }
    }

    /** Sends one request; returns the connection for the next one, or null. */
    private Socket sendOne(Socket kept) {
        String id = "usual-" + UUID.randomUUID();
        Socket socket = kept;
        long sentAt = 0;
        for (int attempt = 0; attempt < 2; attempt++) {
            boolean isNew = socket == null;
            try {
                socket = isNew ? connect(port) : socket;
            } catch (IOException e) {
                record(new Answer(id, System.nanoTime(), 0, 0, Ending.NOT_CONNECTED));
                return null;
            }
            sentAt = attempt == 0 ? System.nanoTime() : sentAt;
            Ending ending = exchange(socket, id, sentAt);
            if (ending == Ending.ANSWERED) {
                return socket.isClosed() ? null : socket;
            }
            close(socket);
            socket = null;
            boolean mayHaveCrossed = !isNew && attempt == 0 && ending == Ending.CLOSED_UNANSWERED;
            if (!mayHaveCrossed) {
                record(new Answer(id, sentAt, millisSince(sentAt), 0, ending));
                return null;
            }
        }
        return null;
    }

    private Ending exchange(Socket socket, String id, long sentAt) {
        try {
            socket.getOutputStream().write(request(jobClass, id, WAIT_MS, BODY_BYTES));
            socket.setSoTimeout(GIVE_UP_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = HttpText.readHead(in);
            if (head == null) {
                return Ending.CLOSED_UNANSWERED;
            }
            int length = Integer.parseInt(HttpText.field(head, "Content-Length", "0"));
            if (in.readNBytes(length).length < length) {
                return Ending.CLOSED_UNANSWERED;
            }
            record(new Answer(
                    id, sentAt, millisSince(sentAt), Integer.parseInt(head.substring(9, 12)), Ending.ANSWERED));
            if (HttpText.field(head, "Connection", "").equals("close")) {
                close(socket);
            }
            return Ending.ANSWERED;
        } catch (java.net.SocketTimeoutException e) {
            return Ending.NEVER_ANSWERED;
        } catch (IOException e) {
            return Ending.CLOSED_UNANSWERED;
        }
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1e6;
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static byte[] request(String jobClass, String id, int waitMs, int bodyBytes) {
        return String.format(
                        Locale.ROOT,
                        "POST /%s HTTP/1.1\r\nHost: s\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\nIdempotency-Key: k-%s\r\n"
                                + "Content-Length: %d\r\n\r\n%s",
                        jobClass,
                        id,
                        waitMs,
                        id,
                        bodyBytes,
                        "b".repeat(bodyBytes))
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Nothing more is expected of it.
            return;
        }
    }

    private synchronized void record(Answer answer) {
        answers.add(answer);
    }

    /** The answers to requests sent from that instant on, nanoseconds. */
    synchronized List<Answer> since(long nanos) {
        return answers.stream().filter(answer -> answer.sentAt >= nanos).toList();
    }

    /** Has the clients send no more and waits for their last answers. */
    @Override
    public void close() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join(GIVE_UP_MS + WAIT_MS);
        }
    }
}
