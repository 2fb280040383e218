package laneflow.lab.measure;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/** A client that misbehaves in one way until it is stopped, each on a thread of its own. */
final class FloodClient implements AutoCloseable {
    private static final int STACK_BYTES = 256 * 1024;
    private static final int REQUESTS_PER_WRITE = 64;
    /** Placeholder for 16 hexadecimal digits. */
    private static final String DRAWN = "@".repeat(16);

    private static final int FIELDS = 90;
    private static final int BODY_BYTES = 64_000;
    /** Connections with requests in tiny chunks that a client keeps open. */
    private static final int MAX_CHUNKED = 200;

    private static final int MEBIBYTE = 1 << 20;
    private static final int MAX_BYTES_BEHIND = 10 * MEBIBYTE;
    private static final int MAX_LEAVE_MS = 400;
    private static final int MAX_RETURN_MS = 300;
    private static final int RETRY_MS = 20;
    private static final int JOIN_MS = 10_000;

    /** The ways in which a client misbehaves. */
    enum Kind {
        /** Sends requests without id and time ahead, at full speed. */
        UNSOUND,
        /** The same in sound form, each of a new unknown class. */
        NEW_CLASSES,
        /** Sound requests ahead, each with a new id, key, tenant and header name. */
        NEW_NAMES,
        /** {@code GET}s ahead. */
        GETS,
        /** {@code GET}s ahead, each with 90 header fields. */
        MANY_FIELDS,
        /** Opens a connection for each unsound request. */
        RECONNECTS,
        /** Sends a request, then megabytes of further ones, and closes. */
        SENDS_AND_CLOSES,
        /** Closes at a drawn moment amid its request. */
        LEAVES,
        /** Closes amid its request, and sends the same id again on a new connection. */
        REPEATS_ID,
        /** Sends half of a body and stays. */
        HALF_BODY,
        /** Sends many short header fields and stays. */
        UNENDED_HEAD,
        /** Sends a request a few bytes at a time. */
        SLOW,
        /** Sends requests in chunks of one byte each, but for the last, on ever more connections that stay open. */
        TINY_CHUNKS;

        /** Whether such a client sends little, so that many of them are needed. */
        boolean staysIdle() {
            return this == HALF_BODY || this == UNENDED_HEAD || this == SLOW;
        }
    }

    private final Kind kind;
    private final int port;
    private final String jobClass;
    private final SplittableRandom random;
    private final String name;
    private final Thread thread;
    /** Requests sent, whole or in part. */
    final AtomicLong sent = new AtomicLong();
    /** When the client of each connection closed it, nanoseconds, by the prefix of its request ids. */
    private final Map<String, Long> closedAt;

    private volatile Socket current;
    private volatile boolean stopping;
    private int connections;

    FloodClient(Kind kind, int number, int port, String jobClass, long seed, Map<String, Long> closedAt) {
        this.kind = kind;
        this.port = port;
        this.jobClass = jobClass;
        this.closedAt = closedAt;
        random = new SplittableRandom(seed);
        name = kind.name().toLowerCase(Locale.ROOT) + "-" + number + "-" + Long.toHexString(random.nextLong());
        thread = new Thread(null, this::run, "flood-client", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!stopping) {
                useConnection();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useConnection() throws InterruptedException {
        String prefix = name + "." + ++connections + "_";
        try (Socket socket = UsualClients.connect(port)) {
            current = socket;
            if (kind.staysIdle()) {
                sent.incrementAndGet();
            }
            switch (kind) {
                case SENDS_AND_CLOSES:
                    sendMuch(socket, prefix);
                    break;
                case LEAVES:
                    sendAndLeave(socket, prefix + "0");
                    break;
                case REPEATS_ID:
                    sendAndLeave(socket, prefix + "0");
                    repeat(prefix + "0");
                    break;
                case HALF_BODY:
                    socket.getOutputStream().write(cut(sound(prefix + "0", BODY_BYTES)));
                    readToEnd(socket);
                    break;
                case UNENDED_HEAD:
                    socket.getOutputStream().write(ascii("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(2000)));
                    readToEnd(socket);
                    break;
                case TINY_CHUNKS:
                    sendTinyChunks(prefix);
                    break;
                case SLOW:
                    sendSlowly(socket, sound(prefix + "0", BODY_BYTES));
                    break;
                default:
                    flood(socket);
                    break;
            }
        } catch (IOException e) {
            Thread.sleep(RETRY_MS);
        } finally {
            closedAt.putIfAbsent(prefix, System.nanoTime());
        }
    }

    // ---- floods ----

    private void flood(Socket socket) throws IOException {
        Thread reader = new Thread(null, () -> discard(socket), "flood-reader", STACK_BYTES);
        reader.setDaemon(true);
        reader.start();
        OutputStream out = socket.getOutputStream();
        byte[] block = block();
        int[] positions = drawnPositions(block);
        do {
            draw(block, positions);
            out.write(block);
            sent.addAndGet(requestsPerWrite());
        } while (!stopping && kind != Kind.RECONNECTS);
    }

    /** Requests that are written at once; each {@link #DRAWN} in them is drawn anew for each write. */
    private byte[] block() {
        String request = switch (kind) {
            case NEW_CLASSES ->
                "POST /c" + DRAWN + " HTTP/1.1\r\nHost: f\r\nReq-Id: " + DRAWN
                        + "\r\nReq-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n";
            case NEW_NAMES ->
                "POST /" + jobClass + "?key=" + DRAWN + " HTTP/1.1\r\nHost: f\r\nReq-Id: " + DRAWN
                        + "\r\nReq-Deadline-Ms: 1000\r\nReq-Owner: o" + DRAWN + "\r\nX" + DRAWN
                        + ": 1\r\nIdempotency-Key: k" + DRAWN + "\r\nContent-Length: 0\r\n\r\n";
            case GETS -> "GET /health/live HTTP/1.1\r\nHost: f\r\n\r\n";
            case MANY_FIELDS -> "GET /health/live HTTP/1.1\r\nHost: f\r\n" + fields() + "\r\n";
            default -> "POST /" + jobClass + " HTTP/1.1\r\nHost: f\r\nContent-Length: 0\r\n\r\n";
        };
        return ascii(request.repeat(requestsPerWrite()));
    }

    private int requestsPerWrite() {
        return kind == Kind.RECONNECTS ? 1 : REQUESTS_PER_WRITE;
    }

    private static String fields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < FIELDS; i++) {
            fields.append('x').append(i).append(": 12345678901234567890\r\n");
        }
        return fields.toString();
    }

    /** Positions in the block that are drawn anew. */
    private static int[] drawnPositions(byte[] block) {
        String text = new String(block, StandardCharsets.US_ASCII);
        List<Integer> positions = new ArrayList<>();
        for (int at = text.indexOf(DRAWN); at >= 0; at = text.indexOf(DRAWN, at + 1)) {
            positions.add(at);
        }
        return positions.stream().mapToInt(Integer::intValue).toArray();
    }

    private void draw(byte[] block, int[] positions) {
        for (int position : positions) {
            long drawn = random.nextLong();
            for (int i = 0; i < DRAWN.length(); i++) {
                block[position + i] = (byte) "0123456789abcdef".charAt((int) (drawn >>> 4 * i & 15));
            }
        }
    }

    private static void discard(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            in.transferTo(OutputStream.nullOutputStream());
            // The scheduler has ended the connection: the writer must open another.
            socket.close();
        } catch (IOException e) {
            return;
        }
    }

    // ---- clients that leave ----

    private void sendMuch(Socket socket, String prefix) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(sound(prefix + "0", 100));
        int bytes = random.nextInt(MAX_BYTES_BEHIND);
        byte[] further = sound(prefix + "further", BODY_BYTES);
        for (int written = 0; written < bytes && !stopping; written += further.length) {
            out.write(further);
        }
        sent.incrementAndGet();
        socket.close();
        closedAt.put(prefix, System.nanoTime());
    }

    private void sendAndLeave(Socket socket, String id) throws IOException, InterruptedException {
        socket.getOutputStream().write(sound(id, 100));
        sent.incrementAndGet();
        Thread.sleep(random.nextInt(MAX_LEAVE_MS));
        socket.close();
        closedAt.put(id.substring(0, id.length() - 1), System.nanoTime());
    }

    private void repeat(String id) throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(MAX_RETURN_MS));
        // It waits for this answer, so that a repeat that was taken is seen to run.
        try (Socket again = UsualClients.connect(port)) {
            again.setSoTimeout(UsualClients.WAIT_MS);
            again.getOutputStream().write(sound(id, 100));
            again.getInputStream().read();
        }
    }

    // ---- clients that stop or crawl ----

    private void sendSlowly(Socket socket, byte[] request) throws IOException, InterruptedException {
        for (int i = 0; i < request.length && !stopping; i += 50) {
            socket.getOutputStream().write(request, i, Math.min(50, request.length - i));
            Thread.sleep(10);
        }
        readToEnd(socket);
    }

    private void sendTinyChunks(String prefix) throws IOException {
        ArrayDeque<Socket> sockets = new ArrayDeque<>();
        try {
            for (int i = 0; !stopping; i++) {
                Socket socket = UsualClients.connect(port);
                sockets.add(socket);
                sendTinyChunks(socket.getOutputStream(), prefix + i);
                if (sockets.size() > MAX_CHUNKED) {
                    sockets.remove().close();
                }
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private void sendTinyChunks(OutputStream out, String id) throws IOException {
        out.write(ascii("POST /" + jobClass + " HTTP/1.1\r\nHost: f\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: "
                + UsualClients.WAIT_MS + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        out.write(ascii("1\r\nb\r\n".repeat(BODY_BYTES)));
        sent.incrementAndGet();
    }

    private void readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(JOIN_MS);
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    }

    private byte[] sound(String id, int bodyBytes) {
        return UsualClients.request(jobClass, id, UsualClients.WAIT_MS, bodyBytes);
    }

    private static byte[] cut(byte[] message) {
        return java.util.Arrays.copyOf(message, message.length / 2);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        stopping = true;
        Socket open = current;
        if (open != null) {
            open.close();
        }
        thread.join(JOIN_MS);
    }
}
