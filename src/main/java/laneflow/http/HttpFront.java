package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Front;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.core.SlotTable;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's front: clients hand in one request at a time on HTTP/1.1 connections. */
public final class HttpFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(HttpFront.class);
    /** The longest body taken, bytes. */
    public static final int MOST_BODY = 64 * 1024;
    private static final int IN_RING = 32 * 1024;
    private static final int OUT_RING = 1 << 20;
    /** A client that has sent half a head and no more is cut off after that, as are idle connections. */
    private static final long IDLE = 120_000_000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Map<String, Integer> classes = new HashMap<>();
    private final SlotTable<Client> clients = new SlotTable<>();
    private BooleanSupplier ready = () -> true;
    private Loop.Listener listener;
    private boolean draining;

    /** A front for these classes, in the settings' order. */
    public HttpFront(Loop loop, Scheduler scheduler, String[] classNames) {
        this.loop = loop;
        this.scheduler = scheduler;
        for (int i = 0; i < classNames.length; i++) {
            classes.put(classNames[i], i);
        }
    }

    /** Until this holds no clients are asked for. */
    public void readyWhen(BooleanSupplier condition) {
        ready = condition;
    }

    public void listen(InetSocketAddress at) throws IOException {
        listener = loop.listen(at, IN_RING, OUT_RING, this::closeLongestIdle, Client::new);
        LOG.info("clients at {}", listener.address());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Idle connections must not keep clients out that have something to ask. */
    private boolean closeLongestIdle() {
        Client[] longest = new Client[1];
        clients.forEach(client -> {
            if (client.isIdle() && (longest[0] == null || client.idleSince < longest[0].idleSince)) {
                longest[0] = client;
            }
        });
        if (longest[0] == null) {
            return false;
        }
        scheduler.counters().add("http.idle_closed");
        longest[0].closeIfIdle();
        return true;
    }

    /** From now on each answer closes its connection; idle ones close at once. */
    public void drain() {
        draining = true;
        clients.forEach(client -> client.closeIfIdle());
    }

    /** No more clients, and none that is idle. */
    public void stopAccepting() {
        listener.close();
        drain();
    }

    /** Connections whose answer is not wholly written yet, or on which a request is coming in. */
    public int busy() {
        int[] busy = new int[1];
        clients.forEach(client -> busy[0] += client.isIdle() ? 0 : 1);
        return busy[0];
    }

    @Override
    public String name() {
        return "http";
    }

    @Override
    public void served(long tag, byte[] result) {
        answer(tag, 200, "OK", "", result);
    }

    @Override
    public void failFast(long tag, double retryAfter) {
        String when = retryAfter > 0 ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfter) : "";
        answer(tag, 503, "Service Unavailable", when, ascii("fail-fast\n"));
    }

    @Override
    public void failed(long tag) {
        answer(tag, 500, "Internal Server Error", "", ascii("failed\n"));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private void answer(long tag, int status, String reason, String headers, byte[] body) {
        Client client = clients.get(tag);
        if (client != null) {
            client.request = null;
            client.answer(status, reason, headers, body);
        }
    }

    /** One client's connection. */
    private final class Client implements LinkHandler, HttpReader.Sink {
        private final HttpReader reader = new HttpReader(false, this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Link link;
        private long slot;
        private HttpHead head;
        private Request request;
        /** From a message's end to its answer, also where the core is not asked. */
        private boolean owes;
        private boolean reading;
        private Deadline idle;
        private long idleSince;

        @Override
        public void opened(Link up) {
            link = up;
            slot = clients.add(this);
            idle = loop.deadlines().create(this::idleTooLong);
            alive();
        }

        private void idleTooLong() {
            if (owes) {
                alive();
                return;
            }
            scheduler.counters().add("http.idle_closed");
            drop();
            link.close();
        }

        private void alive() {
            idleSince = loop.micros();
            loop.deadlines().set(idle, idleSince + IDLE);
        }

        boolean isIdle() {
            return !owes && link.out.isEmpty() && !reader.isInside(link.in);
        }

        void closeIfIdle() {
            if (isIdle()) {
                drop();
                link.close();
            }
        }

        private void drop() {
            clients.remove(slot);
            loop.deadlines().cancel(idle);
        }

        @Override
        public void received(Link from) {
            // An answer given while reading must not read on from within itself.
            if (reading) {
                return;
            }
            reading = true;
            try {
                while (!owes && !link.in.isEmpty() && !link.isClosed()) {
                    reader.read(link.in);
                    if (!reader.isDone()) {
                        break;
                    }
                    finishMessage();
                }
            } catch (HttpException e) {
                // Where a message that can't be read ends is not known: nothing behind it can be read either.
                scheduler.counters().add("http.malformed");
                LOG.debug("{}: {}", e.status, e.getMessage());
                head = null;
                answer(e.status, "Bad Request", "", ascii(e.getMessage() + "\n"));
            } finally {
                reading = false;
            }
        }

        @Override
        public void head(HttpHead received) throws HttpException {
            head = received;
            body.reset();
            alive();
            String length = head.header("content-length");
            if (length != null && Long.parseLong(length) > MOST_BODY) {
                throw new HttpException(413, "body too long");
            }
            if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
                link.out.put(ascii("HTTP/1.1 100 Continue\r\n\r\n"));
                link.flush();
            }
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            if (body.size() + bytes.length > MOST_BODY) {
                throw new HttpException(413, "body too long");
            }
            body.writeBytes(bytes);
        }

        @Override
        public void end() {
            owes = true;
        }

        private void finishMessage() {
            String target = head.second;
            int query = target.indexOf('?');
            String path = query < 0 ? target : target.substring(0, query);
            if (head.first.equals("GET")) {
                get(path);
            } else if (!head.first.equals("POST")) {
                answer(405, "Method Not Allowed", "", new byte[0]);
            } else {
                try {
                    take(path, query < 0 ? "" : target.substring(query + 1));
                } catch (IllegalArgumentException e) {
                    scheduler.counters().add("http.bad_request");
                    answer(400, "Bad Request", "", ascii(e.getMessage() + "\n"));
                }
            }
        }

        private void get(String path) {
            if (path.equals("/health/ready") && !ready.getAsBoolean()) {
                answer(503, "Service Unavailable", "", ascii("no destination set yet\n"));
            } else if (path.equals("/health/ready") || path.equals("/health/live")) {
                answer(200, "OK", "", ascii("ok\n"));
            } else if (path.equals("/counters")) {
                answer(200, "OK", "", ascii(scheduler.counters().text()));
            } else {
                answer(404, "Not Found", "", new byte[0]);
            }
        }

        private void take(String path, String query) {
            String id = head.header(Names.ID);
            if (id == null || id.isEmpty()) {
                throw new IllegalArgumentException("no Req-Id");
            }
            String[] parts = path.split("/", 3);
            String name = head.header(Names.CLASS) != null ? head.header(Names.CLASS)
                    : parts.length > 1 ? parts[1] : "";
            Integer jobClass = classes.get(name);
            if (jobClass == null) {
                throw new IllegalArgumentException("class unknown");
            }
            double wait = number(Names.DEADLINE, scheduler.settings().classes[jobClass].deadline * 1000);
            Payload payload = new Payload(head.first, head.second, id, head.header(Names.REPEAT_KEY),
                    body.toByteArray());
            Request taken = new Request(HttpFront.this, slot, payload, jobClass,
                    loop.micros() + (long) (Math.min(wait, 3_600_000) * 1000));
            taken.hint = number(Names.COST, Double.NaN) / 1e6;
            taken.retry = "1".equals(head.header(Names.RETRY));
            taken.key = key(query);
            extras(taken);
            request = taken;
            scheduler.submit(taken);
        }

        private double number(String header, double absent) {
            String text = head.header(header);
            if (text == null) {
                return absent;
            }
            if (!text.matches("[0-9]{1,12}(\\.[0-9]{1,9})?")) {
                throw new IllegalArgumentException("bad " + header);
            }
            return Double.parseDouble(text);
        }

        private long key(String query) {
            for (String pair : query.split("&")) {
                if (pair.matches("key=[0-9a-fA-F]{1,16}")) {
                    return Long.parseUnsignedLong(pair.substring(4), 16);
                } else if (pair.startsWith("key=")) {
                    return pair.hashCode();
                }
            }
            return 0;
        }

        private void extras(Request to) {
            String text = head.header(Names.EXTRA);
            if (text == null || text.isEmpty()) {
                return;
            }
            for (String pair : text.split(",")) {
                String[] parts = pair.strip().split("=", 2);
                if (parts.length < 2 || !parts[1].matches("[0-9]{1,9}(\\.[0-9]{1,9})?")) {
                    throw new IllegalArgumentException("bad req-extra");
                }
                double value = Double.parseDouble(parts[1]);
                if ((parts[0].equals("slots") || parts[0].equals("width")) && value > 0) {
                    to.slots = value;
                } else if (parts[0].equals("memory") || parts[0].equals("mem")) {
                    to.memory = value;
                }
            }
        }

        void answer(int status, String reason, String headers, byte[] content) {
            boolean close = draining || listener.isFull() || head == null || !head.keepsAlive();
            String text = "HTTP/1.1 " + status + " " + reason + "\r\n" + headers
                    + "Content-Length: " + content.length + "\r\n"
                    + (close ? "Connection: close\r\n\r\n" : "\r\n");
            if (!link.out.put(ascii(text)) || !link.out.put(content)) {
                // It asks on and on and reads nothing: its answers must not fill the memory.
                scheduler.counters().add("http.slow_reader");
                drop();
                link.close();
                return;
            }
            if (close) {
                // Until it is written out it stays owed: the program must not end before.
                owes = true;
                link.closeWhenFlushed();
                return;
            }
            owes = false;
            reader.next();
            alive();
            link.flush();
            if (!link.in.isEmpty() && !reading) {
                received(link);
            }
            link.resumeReads();
        }

        @Override
        public void flushed(Link on) {
            if (on.isClosed()) {
                drop();
            }
        }

        @Override
        public void broken(Link gone) {
            drop();
            if (request != null) {
                Request left = request;
                request = null;
                scheduler.withdraw(left);
            }
        }
    }
}
