package laneflow.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import laneflow.core.ClientState;
import laneflow.core.DurableJobService;
import laneflow.core.Front;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.core.SlotTable;
import laneflow.net.Listener;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP/1.1 front: each client connection carries one request at a time. */
public final class HttpFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(HttpFront.class);
    /** Longest request body. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Room for a complete message while the one before it is being processed. */
    private static final int IN_RING_BYTES = 128 * 1024;

    private static final int OUT_RING_BYTES = 1 << 20;

    final Loop loop;
    private final Scheduler scheduler;
    private final JobReader jobReader;
    private final SlotTable<ClientConnection> clients = new SlotTable<>();
    private BooleanSupplier readiness = () -> true;
    private Listener listener;
    private final String[] classNames;
    private final Map<String, Supplier<String>> reports = new HashMap<>();
    /** Null if durable jobs are disabled. */
    private DurableJobHandler durableJobs;

    private IntFunction<String> versionHeaders;
    private boolean closingAfterResponses;
    private boolean refusingNewRequests;
    private long acceptedClients;

    /** @param classNames names of the job classes, in the settings' order */
    public HttpFront(Loop loop, Scheduler scheduler, String[] classNames) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.classNames = classNames;
        jobReader = new JobReader(classNames, scheduler.settings());
    }

    /** Sets the condition for which {@code /health/ready} answers 200. */
    public void setReadiness(BooleanSupplier condition) {
        readiness = condition;
    }

    /** Whether {@code /health/ready} answers 200. */
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
        // Only after the field is set: the first client may arrive at once and needs it.
        listener.begin();
        LOG.info("clients at {}", listener.address());
    }

    /** Uses the listening socket passed to this process; accepts only after {@link #setAccepting}. */
    public void listenOnPassedSocket() throws IOException {
        listener = loop.listenPassed(
                IN_RING_BYTES, OUT_RING_BYTES, this::makeRoom, () -> new ClientConnection(this, ++acceptedClients));
        LOG.info("clients at {}, a socket that was passed", listener.address());
    }

    /** Accepts clients from the passed socket, or leaves them to other processes that hold it. */
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
     * Evicts a client that is idle or misbehaves, so that others can send requests; false if there is none. A
     * candidate with an unread request is served instead, and the next one is tried.
     */
    boolean makeRoom() {
        for (ClientConnection first = firstToEvict(); first != null; first = firstToEvict()) {
            if (first.evict()) {
                return true;
            }
        }
        return false;
    }

    /** The first connection to evict, or null for none. */
    private ClientConnection firstToEvict() {
        ClientConnection[] first = new ClientConnection[1];
        clients.forEach(client -> {
            if (client.evictionRank() < Integer.MAX_VALUE && (first[0] == null || client.isEvictedBefore(first[0]))) {
                first[0] = client;
            }
        });
        return first[0];
    }

    /**
     * Closes the listener once the clients that have connected already are admitted; these are served on.
     *
     * @param deadline when it is closed at the latest, although clients wait for room; microseconds
     */
    public void stopAccepting(long deadline) {
        listener.close(deadline, rejected -> {
            scheduler.counters().add("clients.closed_unanswered", rejected);
            if (closingAfterResponses) {
                // They came behind the beginning of the drain.
                closeIdle(0, 0);
            }
        });
    }

    /** True while clients that connected before {@link #stopAccepting} are not all admitted. */
    public boolean isClosingListener() {
        return listener.isClosing();
    }

    /** True if no client is connected. */
    public boolean hasNoClients() {
        return clients.size() == 0;
    }

    /**
     * From now on each response closes its connection, unless requests after it have arrived already. Idle
     * connections and those without a complete message are closed now.
     */
    public void drain() {
        closeAfterResponses(true);
        closeIdle(0, 0);
    }

    /** Sets whether responses close their connections. */
    public void closeAfterResponses(boolean on) {
        closingAfterResponses = on;
    }

    /**
     * Closes connections without a complete message, and idle ones. Requests that have arrived are read first.
     *
     * @param maxNewAge microseconds that a connection may wait for a message to be completed
     * @param maxIdle microseconds that a connection may be idle between messages
     */
    public void closeIdle(long maxNewAge, long maxIdle) {
        List<ClientConnection> snapshot = new ArrayList<>();
        clients.forEach(snapshot::add);
        for (ClientConnection client : snapshot) {
            client.closeUnlessBusy(maxNewAge, maxIdle);
        }
    }

    /** From now on refuses each request at once: too little time is left to serve it before shutdown. */
    public void refuseNewRequests() {
        refusingNewRequests = true;
    }

    /** Number of connections with a request arriving, or with a response pending or not fully written. */
    public int busyConnections() {
        int[] busy = new int[1];
        clients.forEach(client -> busy[0] += client.isBusy() ? 1 : 0);
        return busy[0];
    }

    // ---- called by connections ----

    long add(ClientConnection client) {
        return clients.add(client);
    }

    void remove(long slot) {
        clients.remove(slot);
    }

    void count(String name) {
        scheduler.counters().add(name);
    }

    /** True while clients wait for room. */
    boolean isFull() {
        return listener.isFull();
    }

    /** True if connections are to be closed after their responses. */
    boolean closesAfterResponse() {
        return closingAfterResponses || isFull();
    }

    /** Enables durable jobs, for clients that ask for them. */
    public void setDurableJobs(DurableJobService service) {
        durableJobs = new DurableJobHandler(service);
    }

    /** Answers GET on the path with the supplier's JSON text. */
    public void addReport(String path, Supplier<String> text) {
        reports.put(path, text);
    }

    /** Sets the value of the Config-Version header by the settings epoch of a request; empty for no header. */
    public void setVersionHeaders(IntFunction<String> versionOfEpoch) {
        versionHeaders = versionOfEpoch;
    }

    DurableJobHandler durableJobs() {
        return durableJobs;
    }

    /** Submits the job as durable if the message asks for it; the response is sent once it is on disk. */
    boolean submitDurable(ClientConnection client, long slot, HttpHead head, byte[] body, long arrivedAt)
            throws HttpException {
        if (durableJobs == null || head.header("prefer") == null) {
            return false;
        }
        Request request = jobReader.read(this, slot, head, body, arrivedAt);
        boolean isDurable = durableJobs.wantsDurable(head, request);
        if (isDurable) {
            takeId(request);
            durableJobs.submit(client, request, classNames[request.jobClass], isStored -> {
                if (isStored) {
                    scheduler.idHandedOver(request);
                } else {
                    scheduler.idNotUsed(request);
                }
            });
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

    /** Parses the request of a message and reserves its id; the caller submits it. */
    Request openRequest(long slot, HttpHead head, byte[] body, long arrivedAt) throws HttpException {
        Request request = jobReader.read(this, slot, head, body, arrivedAt);
        takeId(request);
        return request;
    }

    /** Takes the request's id, so that it runs once, whichever connection it comes to again. */
    private void takeId(Request request) throws HttpException {
        switch (scheduler.takeId(request, request.payload.requestId())) {
            case OPEN:
                throw new HttpException(409, "this Req-Id is at work");
            case RAN:
                throw new HttpException(409, "this Req-Id has run, or may run yet");
            case FULL:
                throw new HttpException(503, "as many Req-Ids are at work as can be kept");
            default:
                break;
        }
    }

    void submit(Request request) {
        if (refusingNewRequests) {
            scheduler.idNotUsed(request);
            refused(request.tag, scheduler.settings().retryAfter ? scheduler.settings().tick : 0);
            return;
        }
        scheduler.submit(request);
    }

    void withdraw(Request request) {
        scheduler.withdraw(request);
    }

    // ---- responses ----

    @Override
    public String name() {
        return "http";
    }

    @Override
    public ClientState clientState(long tag) {
        ClientConnection client = clients.get(tag);
        return client == null
                ? ClientState.LEFT
                : switch (client.peerState()) {
                    case CONNECTED -> ClientState.PRESENT;
                    case ENDED -> ClientState.LEFT;
                    case UNSEEN -> ClientState.UNSEEN;
                };
    }

    @Override
    public void served(long tag, byte[] result) {
        respond(tag, 200, "OK", "", result);
    }

    @Override
    public void refused(long tag, double retryAfter) {
        count("clients.refused");
        respond(tag, 503, "Service Unavailable", retryAfterHeader(retryAfter), ClientConnection.ascii("fail-fast\n"));
    }

    private static String retryAfterHeader(double seconds) {
        return seconds > 0 ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", seconds) : "";
    }

    /** The header by which a refusal for lack of memory tells when to come back, or nothing. */
    String retryAfterHeader() {
        return retryAfterHeader(scheduler.memoryRetryAfter());
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
