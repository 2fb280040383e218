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
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Room for a whole message behind one that is at work. */
    private static final int IN_RING_BYTES = 128 * 1024;

    private static final int OUT_RING_BYTES = 1 << 20;

    final Loop loop;
    private final Scheduler scheduler;
    private final JobReader jobReader;
    private final SlotTable<ClientConnection> clients = new SlotTable<>();
    /** The ids of open requests: one that comes again must not become a second call. */
    private final Set<String> openRequestIds = new HashSet<>();

    private BooleanSupplier readiness = () -> true;
    private Loop.Listener listener;
    private final String[] classNames;
    private final Map<String, Supplier<String>> reports = new HashMap<>();
    /** Null where durable jobs are off. */
    private DurableJobHandler durableJobs;

    private IntFunction<String> versionHeaders;
    private boolean closingAfterResponses;
    private boolean refusingNewRequests;
    private long acceptedClients;

    /** A front for these classes, in the settings' order. */
    public HttpFront(Loop loop, Scheduler scheduler, String[] classNames) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.classNames = classNames;
        jobReader = new JobReader(classNames, scheduler.settings());
    }

    /** Until this holds no clients are asked for. */
    public void setReadiness(BooleanSupplier condition) {
        readiness = condition;
    }

    /** Whether clients may be asked for. */
    public boolean isReady() {
        return readiness.getAsBoolean();
    }

    public void listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(
                address,
                IN_RING_BYTES,
                OUT_RING_BYTES,
                this::makeRoom,
                () -> new ClientConnection(this, ++acceptedClients));
        // Not before it is known here: a client that is heard at once would find no listener.
        listener.begin();
        LOG.info("clients at {}", listener.address());
    }

    /** Takes clients from the listening socket that was passed to this process, once told to. */
    public void listenOnPassedSocket() throws IOException {
        listener = loop.listenPassed(
                IN_RING_BYTES, OUT_RING_BYTES, this::makeRoom, () -> new ClientConnection(this, ++acceptedClients));
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
        for (ClientConnection first = firstToEvict(); first != null; first = firstToEvict()) {
            if (first.evict()) {
                return true;
            }
        }
        return false;
    }

    /** Who gives way first, or null if none does. */
    private ClientConnection firstToEvict() {
        ClientConnection[] first = new ClientConnection[1];
        clients.forEach(client -> {
            if (client.evictionRank() < Integer.MAX_VALUE && (first[0] == null || client.isEvictedBefore(first[0]))) {
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
    public void closeAfterResponses(boolean on) {
        closingAfterResponses = on;
    }

    /**
     * Ends what has not begun since then, and what has been idle for so long; a request that is there
     * already is read, not cut off.
     */
    public void closeIdle(long maxNewAge, long maxIdle) {
        List<ClientConnection> snapshot = new ArrayList<>();
        clients.forEach(snapshot::add);
        for (ClientConnection client : snapshot) {
            client.closeUnlessBusy(maxNewAge, maxIdle);
        }
    }

    /** From now on each request is refused at once: there is no time left in which it could be served. */
    public void refuseNewRequests() {
        refusingNewRequests = true;
    }

    /** Connections whose answer is not wholly written yet, or on which a request is coming in. */
    public int busyConnections() {
        int[] busy = new int[1];
        clients.forEach(client -> busy[0] += client.isBusy() ? 1 : 0);
        return busy[0];
    }

    // ---- from clients ----

    long add(ClientConnection client) {
        return clients.add(client);
    }

    void remove(long slot) {
        clients.remove(slot);
    }

    void count(String name) {
        scheduler.counters().add(name);
    }

    /** True if connections are to close behind their answers. */
    boolean closesAfterResponse() {
        return closingAfterResponses || listener.isFull();
    }

    /** Jobs of clients that ask so are kept there. */
    public void setDurableJobs(DurableJobService service) {
        durableJobs = new DurableJobHandler(service);
    }

    /** Answers GET on that path with what the supplier says then, as JSON. */
    public void addReport(String path, Supplier<String> text) {
        reports.put(path, text);
    }

    /** Answers carry what this says of the epoch that their requests came under, unless it is empty. */
    public void setVersionHeaders(IntFunction<String> versionOfEpoch) {
        versionHeaders = versionOfEpoch;
    }

    DurableJobHandler durableJobs() {
        return durableJobs;
    }

    /** Hands a message's job to whoever keeps it, if it asks so; the answer comes when it is on disk. */
    boolean submitDurable(ClientConnection client, long slot, HttpHead head, byte[] body, long arrivedAt)
            throws HttpException {
        if (durableJobs == null || head.header("prefer") == null) {
            return false;
        }
        Request request = jobReader.read(this, slot, head, body, arrivedAt);
        boolean isDurable = durableJobs.wantsDurable(head, request);
        if (isDurable) {
            durableJobs.submit(client, request, classNames[request.jobClass]);
        }
        return isDurable;
    }

    void handleGet(ClientConnection client, String path) {
        Supplier<String> report = reports.get(path);
        if (report != null) {
            client.respond(
                    200,
                    "OK",
                    "Content-Type: application/json\r\n",
                    report.get().getBytes(StandardCharsets.UTF_8));
        } else if (durableJobs != null && DurableJobHandler.isJobPath(path)) {
            durableJobs.handleGet(client, path);
        } else if (path.equals("/health/ready") && !readiness.getAsBoolean()) {
            client.respond(503, "Service Unavailable", "", ClientConnection.ascii("not ready\n"));
        } else if (path.equals("/health/ready") || path.equals("/health/live")) {
            client.respond(200, "OK", "", ClientConnection.ascii("ok\n"));
        } else if (path.equals("/counters")) {
            client.respond(
                    200, "OK", "", ClientConnection.ascii(scheduler.counters().text()));
        } else {
            client.respond(404, "Not Found", "", new byte[0]);
        }
    }

    /** The request of a message that arrived then, its id held from now on; to be submitted. */
    Request openRequest(long slot, HttpHead head, byte[] body, long arrivedAt) throws HttpException {
        Request request = jobReader.read(this, slot, head, body, arrivedAt);
        if (!openRequestIds.add(request.payload.requestId())) {
            throw new HttpException(409, "this Req-Id is at work");
        }
        return request;
    }

    void submit(Request request) {
        if (refusingNewRequests) {
            refused(request.tag, scheduler.settings().retryAfter ? scheduler.settings().tick : 0);
            return;
        }
        scheduler.submit(request);
    }

    /** It has its answer: its id may come again. */
    void releaseId(Request request) {
        openRequestIds.remove(request.payload.requestId());
    }

    void withdraw(Request request) {
        releaseId(request);
        scheduler.withdraw(request);
    }

    // ---- answers ----

    @Override
    public String name() {
        return "http";
    }

    @Override
    public boolean hasLeft(long tag) {
        ClientConnection client = clients.get(tag);
        return client == null || client.hasPeerEnded();
    }

    @Override
    public void served(long tag, byte[] result) {
        respond(tag, 200, "OK", "", result);
    }

    @Override
    public void refused(long tag, double retryAfter) {
        count("clients.refused");
        String retryHeader = retryAfter > 0 ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfter) : "";
        respond(tag, 503, "Service Unavailable", retryHeader, ClientConnection.ascii("fail-fast\n"));
    }

    @Override
    public void failed(long tag) {
        respond(tag, 500, "Internal Server Error", "", ClientConnection.ascii("failed\n"));
    }

    private void respond(long tag, int status, String reason, String headers, byte[] body) {
        ClientConnection client = clients.get(tag);
        if (client != null) {
            String version = versionHeaders == null ? "" : versionHeaders.apply(client.epoch());
            headers = version.isEmpty() ? headers : headers + "Config-Version: " + version + "\r\n";
            client.respond(status, reason, headers, body);
        }
    }
}
