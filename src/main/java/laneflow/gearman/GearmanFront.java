package laneflow.gearman;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.ClientState;
import laneflow.core.DurableJobService;
import laneflow.core.Endpoint;
import laneflow.core.Front;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.core.SlotTable;
import laneflow.core.UniqueIds;
import laneflow.decision.Dispatch.Effect;
import laneflow.gearman.decision.Queues;
import laneflow.net.Listener;
import laneflow.net.Loop;
import laneflow.net.PeerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Gearman front: jobs of Gearman clients become ordinary core requests, and connected workers become
 * endpoints to which the core may send requests of any front.
 */
public final class GearmanFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(GearmanFront.class);
    private static final int MIN_OUTPUT_RING_BYTES = 1 << 20;
    /** Tells names of jobs from the ids of other fronts, which have no control characters. */
    private static final String ID_PREFIX = "gearman\0";
    /** Longer names are held as their digest. */
    private static final int MAX_ID_LENGTH = 128;

    private static final String HANDLE_PREFIX = "H:laneflow:";
    /** Prefix of durable jobs' handles: the job id follows, and for workers a dot and the lease number. */
    static final String DURABLE_HANDLE_PREFIX = HANDLE_PREFIX + "d";

    final Loop loop;
    final Scheduler scheduler;
    final GearmanConfig config;
    final GearmanConnector connector;
    private final SlotTable<Peer> peers = new SlotTable<>();
    private final SlotTable<Job> jobs = new SlotTable<>();
    private final Map<String, Job> byHandle = new HashMap<>();
    private final Map<String, Job> byCoalescingKey = new HashMap<>();
    /** Jobs by unique id across all functions, because GET_STATUS_UNIQUE names no function. */
    private final Map<String, List<Job>> byUnique = new HashMap<>();

    final Queues queues;
    final AdminCommands adminCommands = new AdminCommands(this);
    /** Runs on the admin command "shutdown"; null where that is not allowed. */
    Runnable shutdownCommand;
    /** Null where durable jobs are disabled. */
    DurableJobService durableJobs;

    private Listener listener;
    private boolean draining;
    private long connectionCount;

    public GearmanFront(Loop loop, Scheduler scheduler, GearmanConfig config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.config = config;
        connector = new GearmanConnector(this);
        queues = new Queues(config.maxQueued);
        config.functions.keySet().forEach(queues::counts);
    }

    public void listen(InetSocketAddress address) throws IOException {
        // The input ring must hold a packet of the maximum size, the output ring two of them.
        int inputRingBytes =
                Integer.highestOneBit(config.maxBodyBytes + Packet.MAX_NAMES_BYTES + Packet.HEADER_BYTES) << 1;
        listener = loop.listen(
                address,
                inputRingBytes,
                Math.max(MIN_OUTPUT_RING_BYTES, 2 * inputRingBytes),
                this::closeOldestIncomplete,
                () -> new Peer(this, ++connectionCount));
        listener.begin();
        LOG.info("Gearman front listens on {}", listener.address());
    }

    /** Frees a connection by closing the one that has been receiving an incomplete packet for longest. */
    private boolean closeOldestIncomplete() {
        Peer[] oldest = new Peer[1];
        peers.forEach(peer -> {
            if (peer.isPacketIncomplete() && (oldest[0] == null || peer.startedBefore(oldest[0]))) {
                oldest[0] = peer;
            }
        });
        if (oldest[0] != null) {
            scheduler.counters().add("gearman.gave_way");
            oldest[0].disconnect();
        }
        return oldest[0] != null;
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Sets the service that stores background jobs of durable functions. */
    public void setDurableJobs(DurableJobService service) {
        durableJobs = service;
    }

    /** Stops accepting new jobs; accepted jobs are still answered. */
    public void drain() {
        draining = true;
    }

    /**
     * Stops accepting connections once those that are established already are admitted; open ones continue.
     *
     * @param deadline when the listener is closed at the latest, although connections wait for room; microseconds
     */
    public void stopAccepting(long deadline) {
        listener.close(deadline, rejected -> scheduler.counters().add("gearman.closed_unanswered", rejected));
    }

    /** True while connections established before {@link #stopAccepting} are not all admitted. */
    public boolean isClosingListener() {
        return listener.isClosing();
    }

    /** The number of connections with unwritten or pending replies. */
    public int unflushedConnections() {
        int[] unflushed = new int[1];
        peers.forEach(peer -> unflushed[0] += peer.isFlushed() ? 0 : 1);
        return unflushed[0];
    }

    long add(Peer peer) {
        return peers.add(peer);
    }

    void remove(Peer peer, long slot) {
        peers.remove(slot);
        List<Job> awaited = new ArrayList<>(peer.awaitedJobs);
        peer.awaitedJobs.clear();
        awaited.forEach(job -> removeClient(job, peer));
    }

    /** Withdraws a foreground job when its last client disconnects. */
    private void removeClient(Job job, Peer peer) {
        if (job.clients.remove(peer) && job.clients.isEmpty() && !job.background) {
            removeJob(job);
            scheduler.withdraw(job.request);
        }
    }

    // ---- clients ----

    void submit(Peer client, int type, String name, String unique, String reducer, byte[] data) {
        GearmanConfig.Function function = config.function(name);
        if (function == null) {
            scheduler.counters().add("gearman.bad_request");
            client.error("UNKNOWN_FUNCTION", "no function of that name is mapped here");
            return;
        }
        if (data.length > config.maxBodyBytes) {
            scheduler.counters().add("gearman.bad_request");
            client.error("TOO_LARGE", "a job holds " + config.maxBodyBytes / 1024 + " KiB at most");
            return;
        }
        if (draining) {
            client.error("SHUTTING_DOWN", "no further jobs are taken");
            return;
        }
        int priority = priority(type);
        boolean background = type == Packet.SUBMIT_JOB_BG
                || type == Packet.SUBMIT_JOB_HIGH_BG
                || type == Packet.SUBMIT_JOB_LOW_BG
                || type == Packet.SUBMIT_REDUCE_JOB_BG;
        if (background && function.durable() && durableJobs != null) {
            storeDurable(client, function, unique, data, Queues.NORMAL - priority, 0);
            return;
        }
        String key = coalescingKey(name, unique, data);
        Job existing = key == null ? null : byCoalescingKey.get(key);
        if (existing != null) {
            joinExisting(client, existing, background);
            return;
        }
        if (!queues.admits(name, priority)) {
            scheduler.counters().add("gearman.queue_full");
            client.error("QUEUE_FULL", "as many jobs of this function and priority wait as may");
            return;
        }
        if (!scheduler.hasMemoryFor(data.length)) {
            scheduler.counters().add("gearman.no_memory");
            client.error("QUEUE_FULL", "no memory is left for another job: come back later");
            return;
        }
        Job job = new Job(newHandle(), function, unique, key, reducer, priority, background);
        job.slot = jobs.add(job);
        job.request = request(job, data);
        if (key != null && !takeId(client, job.request, key)) {
            jobs.remove(job.slot);
            return;
        }
        if (!background) {
            job.clients.add(client);
            client.awaitedJobs.add(job);
        }
        byHandle.put(job.handle, job);
        if (key != null) {
            byCoalescingKey.put(key, job);
            byUnique.computeIfAbsent(unique, none -> new ArrayList<>(1)).add(job);
        }
        queues.recordQueued(name, priority);
        // Sent before the core gets the request, because its answer may come synchronously and must follow this packet.
        client.send(Packet.JOB_CREATED, job.handle);
        job.request.urgency = Queues.NORMAL - priority;
        scheduler.submit(job.request);
    }

    /** Takes the name of a job; false, with an error, if its clients have left a job of that name that may run. */
    private boolean takeId(Peer client, Request request, String key) {
        String id = ID_PREFIX + (key.length() > MAX_ID_LENGTH ? digest(key.getBytes(StandardCharsets.UTF_8)) : key);
        switch (scheduler.takeReusableId(request, id)) {
            case TAKEN:
                return true;
            case FULL:
                client.error("QUEUE_FULL", "as many unique ids are at work as can be kept");
                return false;
            default:
                client.error("DUPLICATE_UNIQUE", "a job of this name has been left by its clients, and may have run");
                return false;
        }
    }

    /** Accepts a scheduled background job, for durable functions only, since it may be due days from now. */
    void submitScheduled(Peer client, String name, String unique, byte[] data, LongSupplier when) {
        GearmanConfig.Function function = config.function(name);
        long notBeforeMs;
        try {
            notBeforeMs = when.getAsLong();
        } catch (IllegalArgumentException e) {
            scheduler.counters().add("gearman.bad_request");
            client.error("BAD_TIME", e.getMessage());
            return;
        }
        if (function == null) {
            scheduler.counters().add("gearman.bad_request");
            client.error("UNKNOWN_FUNCTION", "no function of that name is mapped here");
        } else if (!function.durable() || durableJobs == null) {
            client.error("NOT_DURABLE", "jobs for later are taken for functions that are durable");
        } else if (data.length > config.maxBodyBytes) {
            client.error("TOO_LARGE", "a job holds " + config.maxBodyBytes / 1024 + " KiB at most");
        } else if (draining) {
            client.error("SHUTTING_DOWN", "no further jobs are taken");
        } else {
            storeDurable(client, function, unique, data, 0, notBeforeMs);
        }
    }

    private static int priority(int type) {
        return type == Packet.SUBMIT_JOB_HIGH || type == Packet.SUBMIT_JOB_HIGH_BG
                ? Queues.HIGH
                : type == Packet.SUBMIT_JOB_LOW || type == Packet.SUBMIT_JOB_LOW_BG ? Queues.LOW : Queues.NORMAL;
    }

    /**
     * Attaches a client to a job that is already queued or running, so that one run answers all its clients.
     * Once submitted as a background job, it runs even if all clients disconnect.
     */
    private void joinExisting(Peer client, Job existing, boolean background) {
        scheduler.counters().add("gearman.joined");
        client.send(Packet.JOB_CREATED, existing.handle);
        if (background) {
            existing.background = true;
        } else if (client.awaitedJobs.add(existing)) {
            existing.clients.add(client);
        }
    }

    /**
     * The key under which equal jobs are coalesced: the function and the unique id, or a digest of the data
     * where the unique id is "-". The digest is cryptographic, because jobs with equal keys are merged. Null if the
     * job can't be coalesced.
     */
    private static String coalescingKey(String function, String unique, byte[] data) {
        if (unique.isEmpty() || unique.equals("-") && data.length == 0) {
            return null;
        }
        if (!unique.equals("-")) {
            return function + '\0' + unique;
        }
        return function + "\0-\0" + digest(data);
    }

    private static String digest(byte[] data) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(data));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Stores a job durably; the client gets its reply once the job is on disk. */
    private void storeDurable(
            Peer client, GearmanConfig.Function function, String unique, byte[] data, int urgency, long notBeforeMs) {
        Peer.PendingReply reply = client.reserveReply();
        String uniqueOrDigest = unique.equals("-") ? digest(data) : unique;
        String key = uniqueOrDigest.isEmpty() ? "" : "gearman/" + function.name() + "/" + uniqueOrDigest;
        durableJobs.submit(
                new DurableJobService.Submission(
                        function.jobClass(),
                        function.name(),
                        key,
                        false,
                        payload(function, unique, data),
                        function.hint(),
                        function.slots(),
                        0,
                        subject(unique),
                        urgency,
                        notBeforeMs),
                result -> {
                    if (result.outcome() == DurableJobService.SubmissionOutcome.ACCEPTED) {
                        reply.complete(Packet.JOB_CREATED, DURABLE_HANDLE_PREFIX + hex(result.id()));
                    } else if (result.outcome() == DurableJobService.SubmissionOutcome.FULL) {
                        reply.complete(
                                Packet.ERROR,
                                "QUEUE_FULL",
                                "come back in " + Math.ceil(result.retryAfter() * 1000) / 1000 + " s");
                    } else {
                        reply.complete(Packet.ERROR, "STORE_FAILED", "no durable job is taken on until a restart");
                    }
                });
    }

    private static long subject(String unique) {
        return unique.isEmpty() ? 0 : Endpoint.stableId(unique);
    }

    /** The payload in the platform's HTTP form, since an HTTP endpoint may run the job. */
    private Payload payload(GearmanConfig.Function function, String unique, byte[] data) {
        boolean keyed = scheduler.settings().classes[function.jobClass()].effect == Effect.KEYED;
        long key = subject(unique);
        String target = "/" + config.className(function) + (key == 0 ? "" : "?key=" + hex(key));
        return new Payload("POST", target, UniqueIds.next(), keyed ? idempotencyKey(unique) : null, data);
    }

    /**
     * The key by which endpoints recognise repeats of a job: the client's unique id, so that the key is the same when
     * the client submits the job again, also after a restart; a digest of it if it is no header value; or a new key if
     * the client has named none.
     */
    private static String idempotencyKey(String unique) {
        if (unique.isEmpty()) {
            return UniqueIds.next();
        }
        return unique.matches("[!-~]{1,128}") ? unique : digest(unique.getBytes(StandardCharsets.UTF_8));
    }

    /** A handle for a job that is not durable. Workers and clients may still use handles of a former process. */
    static String newHandle() {
        return HANDLE_PREFIX + UniqueIds.next();
    }

    private long deadline(GearmanConfig.Function function) {
        return function.deadline() > 0
                ? function.deadline()
                : (long) (scheduler.settings().classes[function.jobClass()].deadline * 1e6);
    }

    /** Adopts a new version of the functions; workers that have already announced new ones get their jobs at once. */
    public List<String> adopt(GearmanConfig other) {
        List<String> deferred = config.adopt(other);
        config.functions.keySet().forEach(queues::counts);
        peers.forEach(peer -> peer.worker.functionsChanged());
        return deferred;
    }

    private Request request(Job job, byte[] data) {
        GearmanConfig.Function function = job.function;
        Request request = new Request(
                this,
                job.slot,
                payload(function, job.unique, data),
                function.jobClass(),
                loop.micros() + deadline(function));
        request.hint = function.hint();
        request.slots = function.slots();
        request.function = function.name();
        return request;
    }

    private static String hex(long number) {
        return String.format("%016x", number);
    }

    /**
     * Parses a worker's handle of a durable job into job id and lease number; null if it is no such handle.
     */
    static long[] parseLeaseHandle(String handle) {
        int dot = handle.indexOf('.');
        if (!handle.startsWith(DURABLE_HANDLE_PREFIX) || dot < 0) {
            return null;
        }
        try {
            return new long[] {
                Long.parseUnsignedLong(handle.substring(DURABLE_HANDLE_PREFIX.length(), dot), 16),
                Integer.parseInt(handle.substring(dot + 1))
            };
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Parses a client's handle of a durable job into the job id, or 0. */
    private static long parseDurableHandle(String handle) {
        boolean wellFormed =
                handle.startsWith(DURABLE_HANDLE_PREFIX) && handle.length() == DURABLE_HANDLE_PREFIX.length() + 16;
        try {
            return wellFormed ? Long.parseUnsignedLong(handle.substring(DURABLE_HANDLE_PREFIX.length()), 16) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    void status(Peer client, String handle) {
        DurableJobService.JobView view = durableJobs == null ? null : durableJobs.peek(parseDurableHandle(handle));
        if (view != null) {
            boolean open = !view.ended();
            client.send(
                    Packet.STATUS_RES, handle, open ? 1 : 0, open && view.running() ? 1 : 0, view.done(), view.total());
            return;
        }
        Job job = byHandle.get(handle);
        client.send(
                Packet.STATUS_RES,
                handle,
                job == null ? 0 : 1,
                job != null && job.running ? 1 : 0,
                job == null ? 0 : job.done,
                job == null ? 0 : job.total);
    }

    /** Replies with the status by unique id, of any function, and the number of waiting clients. */
    void statusByUnique(Peer client, String unique) {
        List<Job> sameUnique = byUnique.get(unique);
        Job job = sameUnique == null ? null : sameUnique.get(sameUnique.size() - 1);
        client.send(
                Packet.STATUS_RES_UNIQUE,
                unique,
                job == null ? 0 : 1,
                job != null && job.running ? 1 : 0,
                job == null ? 0 : job.done,
                job == null ? 0 : job.total,
                job == null ? 0 : job.clients.size());
    }

    /** Sends a worker's intermediate output to all waiting clients. */
    void forwardOutput(Job job, int type, byte[] output) {
        for (Peer client : new ArrayList<>(job.clients)) {
            client.send(type, job.handle, output);
        }
    }

    /** The job of a request of this front, or null. */
    Job job(Request request) {
        return request.front == this ? jobs.get(request.tag) : null;
    }

    // ---- answers ----

    @Override
    public String name() {
        return "gearman";
    }

    /**
     * A job is left by its clients once all of them have closed. Bulk submitters send far ahead of their replies, so a
     * client whose end can't be seen counts as present.
     */
    @Override
    public ClientState clientState(long tag) {
        Job job = jobs.get(tag);
        boolean hasClient = job == null
                || job.background
                || job.clients.stream().anyMatch(client -> client.peerState() != PeerState.ENDED);
        return hasClient ? ClientState.PRESENT : ClientState.LEFT;
    }

    @Override
    public void served(long tag, byte[] result) {
        Job job = jobs.get(tag);
        for (Peer client : removeAndGetClients(job)) {
            client.send(Packet.WORK_COMPLETE, job.handle, result);
        }
    }

    /** Sends WORK_FAIL as for a failure: the protocol has no refusal and no retry-after time. */
    @Override
    public void refused(long tag, double retryAfter) {
        failed(tag);
    }

    @Override
    public void failed(long tag) {
        Job job = jobs.get(tag);
        for (Peer client : removeAndGetClients(job)) {
            if (job.exception != null && client.wantsExceptions) {
                client.send(Packet.WORK_EXCEPTION, job.handle, job.exception);
            }
            client.send(Packet.WORK_FAIL, job.handle);
        }
    }

    @Override
    public void started(long tag) {
        Job job = jobs.get(tag);
        if (job != null) {
            job.attempts++;
            if (!job.running) {
                job.running = true;
                queues.recordStarted(job.function.name(), job.priority);
            }
        }
    }

    @Override
    public void progress(long tag, long done, long total) {
        Job job = jobs.get(tag);
        if (job != null) {
            job.done = done;
            job.total = total;
            for (Peer client : new ArrayList<>(job.clients)) {
                client.send(Packet.WORK_STATUS, job.handle, done, total);
            }
        }
    }

    private List<Peer> removeAndGetClients(Job job) {
        List<Peer> clients = job == null ? List.of() : new ArrayList<>(job.clients);
        if (job != null) {
            removeJob(job);
        }
        return clients;
    }

    private void removeJob(Job job) {
        job.clients.forEach(client -> client.awaitedJobs.remove(job));
        job.clients.clear();
        jobs.remove(job.slot);
        byHandle.remove(job.handle);
        queues.recordEnded(job.function.name(), job.priority, job.running);
        if (job.coalescingKey != null) {
            byCoalescingKey.remove(job.coalescingKey, job);
            byUnique.computeIfPresent(job.unique, (unique, sameUnique) -> {
                sameUnique.remove(job);
                return sameUnique.isEmpty() ? null : sameUnique;
            });
        }
    }

    // ---- for operators ----

    void eachPeer(Consumer<Peer> action) {
        peers.forEach(action);
    }

    void eachJob(Consumer<Job> action) {
        jobs.forEach(action);
    }

    /** The result of cancelling a job. */
    enum CancelResult {
        CANCELLED,
        NO_SUCH_JOB,
        STARTED
    }

    /** Cancels a job that no endpoint has started; waiting clients get WORK_FAIL. */
    CancelResult cancel(String handle) {
        Job job = byHandle.get(handle);
        if (job == null) {
            return CancelResult.NO_SUCH_JOB;
        }
        if (job.attempts > 0) {
            return CancelResult.STARTED;
        }
        List<Peer> clients = removeAndGetClients(job);
        scheduler.withdraw(job.request);
        clients.forEach(client -> client.send(Packet.WORK_FAIL, job.handle));
        return CancelResult.CANCELLED;
    }

    /** Sets the action of the admin command "shutdown"; ignored where the configuration does not allow it. */
    public void onShutdownCommand(Runnable command) {
        shutdownCommand = config.shutdownAllowed ? command : null;
    }
}
