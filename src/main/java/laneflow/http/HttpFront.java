package laneflow.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import laneflow.core.DurableJobService;
import laneflow.core.Front;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.core.SlotTable;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's front: clients hand in one request at a time on HTTP/1.1 connections. */
public final class HttpFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(HttpFront.class);
    /** The longest body taken, bytes. */
    public static final int MOST_BODY = 64 * 1024;
    /** Room for a whole message behind one that is at work. */
    private static final int IN_RING = 128 * 1024;

    private static final int OUT_RING = 1 << 20;

    final Loop loop;
    private final Scheduler scheduler;
    private final JobReader jobs;
    private final SlotTable<Client> clients = new SlotTable<>();
    /** The ids of open requests: one that comes again must not become a second call. */
    private final Set<String> open = new HashSet<>();

    private BooleanSupplier ready = () -> true;
    private Loop.Listener listener;
    private final String[] classNames;
    private final Map<String, Supplier<String>> reports = new HashMap<>();
    /** Null where durable jobs are off. */
    private KeptJobs kept;

    private IntFunction<String> versions;
    private boolean draining;
    private boolean refusing;
    private long came;

    /** A front for these classes, in the settings' order. */
    public HttpFront(Loop loop, Scheduler scheduler, String[] classNames) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.classNames = classNames;
        jobs = new JobReader(classNames, scheduler.settings());
    }

    /** Until this holds no clients are asked for. */
    public void setReadiness(BooleanSupplier condition) {
        ready = condition;
    }

    /** Whether clients may be asked for. */
    public boolean isReady() {
        return ready.getAsBoolean();
    }

    public void listen(InetSocketAddress at) throws IOException {
        listener = loop.listen(at, IN_RING, OUT_RING, this::makeRoom, () -> new Client(this, ++came));
        // Not before it is known here: a client that is heard at once would find no listener.
        listener.begin();
        LOG.info("clients at {}", listener.address());
    }

    /** Takes clients from the listening socket that was passed to this process, once told to. */
    public void listenOnPassedSocket() throws IOException {
        listener = loop.listenPassed(IN_RING, OUT_RING, this::makeRoom, () -> new Client(this, ++came));
        LOG.info("clients at {}, a socket that was passed", listener.address());
    }

    /** Takes clients from a socket that was passed, or leaves them to other processes. */
    public void setAccepting(boolean on) {
        if (on) {
            listener.begin();
        } else {
            listener.pause();
        }
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /**
     * Neither idle nor bad clients must keep others out that have something to ask. One whose request lies
     * unread is neither: it is read instead, and another one is looked for.
     */
    boolean makeRoom() {
        for (Client first = firstToGiveWay(); first != null; first = firstToGiveWay()) {
            if (first.giveWay()) {
                return true;
            }
        }
        return false;
    }

    /** Who gives way first, or null if none does. */
    private Client firstToGiveWay() {
        Client[] first = new Client[1];
        clients.forEach(client -> {
            if (client.rank() < Integer.MAX_VALUE && (first[0] == null || client.before(first[0]))) {
                first[0] = client;
            }
        });
        return first[0];
    }

    /** No more clients; those that are here go on. */
    public void stopAccepting() {
        // One that was let in to the machine, and for which no room came.
        listener.close(() -> count("clients.closed_unanswered"));
    }

    /** True if nobody is connected. */
    public boolean hasNoClients() {
        return clients.size() == 0;
    }

    /**
     * From now on each answer closes its connection, unless requests behind it have been read already; what
     * is idle or has not begun ends at once.
     */
    public void drain() {
        closeAfterResponses(true);
        closeIdle(0, 0);
    }

    /** While this holds each answer closes its connection. */
    public void closeAfterResponses(boolean away) {
        draining = away;
    }

    /**
     * Ends what has not begun since then, and what has been idle for so long; a request that is there
     * already is read, not cut off.
     */
    public void closeIdle(long young, long unused) {
        List<Client> all = new ArrayList<>();
        clients.forEach(all::add);
        for (Client client : all) {
            client.endUnlessBusy(young, unused);
        }
    }

    /** From now on each request is refused at once: there is no time left in which it could be served. */
    public void refuseNewRequests() {
        refusing = true;
    }

    /** Connections whose answer is not wholly written yet, or on which a request is coming in. */
    public int busyConnections() {
        int[] busy = new int[1];
        clients.forEach(client -> busy[0] += client.isBusy() ? 1 : 0);
        return busy[0];
    }

    // ---- from clients ----

    long add(Client client) {
        return clients.add(client);
    }

    void remove(long slot) {
        clients.remove(slot);
    }

    void count(String name) {
        scheduler.counters().add(name);
    }

    /** True if connections are to close behind their answers. */
    boolean isLeaving() {
        return draining || listener.isFull();
    }

    /** Jobs of clients that ask so are kept there. */
    public void setDurableJobs(DurableJobService keeper) {
        kept = new KeptJobs(keeper);
    }

    /** Answers GET on that path with what the supplier says then, as JSON. */
    public void addReport(String path, Supplier<String> text) {
        reports.put(path, text);
    }

    /** Answers carry what this says of the epoch that their requests came under, unless it is empty. */
    public void setVersionHeaders(IntFunction<String> of) {
        versions = of;
    }

    KeptJobs kept() {
        return kept;
    }

    /** Hands a message's job to whoever keeps it, if it asks so; the answer comes when it is on disk. */
    boolean keeps(Client client, long slot, HttpHead head, byte[] body, long arrived) throws HttpException {
        if (kept == null || head.header("prefer") == null) {
            return false;
        }
        Request asked = jobs.read(this, slot, head, body, arrived);
        boolean wants = kept.wants(head, asked);
        if (wants) {
            kept.submit(client, asked, classNames[asked.jobClass]);
        }
        return wants;
    }

    void get(Client client, String path) {
        Supplier<String> report = reports.get(path);
        if (report != null) {
            client.answer(
                    200,
                    "OK",
                    "Content-Type: application/json\r\n",
                    report.get().getBytes(StandardCharsets.UTF_8));
        } else if (kept != null && KeptJobs.isPath(path)) {
            kept.get(client, path);
        } else if (path.equals("/health/ready") && !ready.getAsBoolean()) {
            client.answer(503, "Service Unavailable", "", Client.ascii("not ready\n"));
        } else if (path.equals("/health/ready") || path.equals("/health/live")) {
            client.answer(200, "OK", "", Client.ascii("ok\n"));
        } else if (path.equals("/counters")) {
            client.answer(200, "OK", "", Client.ascii(scheduler.counters().text()));
        } else {
            client.answer(404, "Not Found", "", new byte[0]);
        }
    }

    /** The request of a message that arrived then, its id held from now on; to be submitted. */
    Request take(long slot, HttpHead head, byte[] body, long arrived) throws HttpException {
        Request request = jobs.read(this, slot, head, body, arrived);
        if (!open.add(request.payload.requestId())) {
            throw new HttpException(409, "this Req-Id is at work");
        }
        return request;
    }

    void submit(Request request) {
        if (refusing) {
            refused(request.tag, scheduler.settings().retryAfter ? scheduler.settings().tick : 0);
            return;
        }
        scheduler.submit(request);
    }

    /** It has its answer: its id may come again. */
    void close(Request request) {
        open.remove(request.payload.requestId());
    }

    void withdraw(Request request) {
        close(request);
        scheduler.withdraw(request);
    }

    // ---- answers ----

    @Override
    public String name() {
        return "http";
    }

    @Override
    public boolean hasLeft(long tag) {
        Client client = clients.get(tag);
        return client == null || client.hasLeft();
    }

    @Override
    public void served(long tag, byte[] result) {
        answer(tag, 200, "OK", "", result);
    }

    @Override
    public void refused(long tag, double retryAfter) {
        count("clients.refused");
        String when = retryAfter > 0 ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfter) : "";
        answer(tag, 503, "Service Unavailable", when, Client.ascii("fail-fast\n"));
    }

    @Override
    public void failed(long tag) {
        answer(tag, 500, "Internal Server Error", "", Client.ascii("failed\n"));
    }

    private void answer(long tag, int status, String reason, String headers, byte[] body) {
        Client client = clients.get(tag);
        if (client != null) {
            String under = versions == null ? "" : versions.apply(client.epoch());
            headers = under.isEmpty() ? headers : headers + "Config-Version: " + under + "\r\n";
            client.answer(status, reason, headers, body);
        }
    }
}
