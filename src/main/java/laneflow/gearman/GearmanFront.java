package laneflow.gearman;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.DurableJobService;
import laneflow.core.Endpoint;
import laneflow.core.Front;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.core.SlotTable;
import laneflow.decision.Dispatch.Effect;
import laneflow.gearman.decision.Queues;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Gearman front: its clients' jobs are requests of the core like any other, and its workers are endpoints
 * that the core may send any front's requests to.
 */
public final class GearmanFront implements Front {
    private static final Logger LOG = LoggerFactory.getLogger(GearmanFront.class);
    private static final int LEAST_RING = 1 << 20;
    /** Handles of kept jobs: with an id for clients, with a lease's number behind it for workers. */
    static final String KEPT = "H:laneflow:d";

    final Loop loop;
    final Scheduler scheduler;
    final GearmanConfig config;
    final GearmanConnector connector;
    private final SplittableRandom random;
    private final SlotTable<Peer> peers = new SlotTable<>();
    private final SlotTable<Job> jobs = new SlotTable<>();
    private final Map<String, Job> byHandle = new HashMap<>();
    private final Map<String, Job> byKey = new HashMap<>();
    /** Jobs by what their clients call unique, of all functions: a status is asked by that alone. */
    private final Map<String, List<Job>> byUnique = new HashMap<>();

    final Queues queues;
    final AdminText text = new AdminText(this);
    /** Null where operators may not end the program. */
    Runnable ending;
    /** Null where durable jobs are off. */
    DurableJobService keeper;

    private Loop.Listener listener;
    private boolean draining;
    private long handles;
    private long came;

    public GearmanFront(Loop loop, Scheduler scheduler, GearmanConfig config, long seed) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.config = config;
        random = new SplittableRandom(seed);
        connector = new GearmanConnector(this);
        queues = new Queues(config.mostQueued);
        config.functions.keySet().forEach(queues::row);
    }

    public void listen(InetSocketAddress at) throws IOException {
        // A packet of the greatest size must fit whole, and going out another one behind it.
        int in = Integer.highestOneBit(config.maxBodyBytes + Packet.NAMES + Packet.HEADER) << 1;
        listener = loop.listen(at, in, Math.max(LEAST_RING, 2 * in), this::makeRoom, () -> new Peer(this, ++came));
        listener.begin();
        LOG.info("Gearman clients and workers at {}", listener.address());
    }

    /** Those that have not yet sent a whole packet give way, the one that came first before others. */
    private boolean makeRoom() {
        Peer[] first = new Peer[1];
        peers.forEach(peer -> {
            if (peer.isBegun() && (first[0] == null || peer.before(first[0]))) {
                first[0] = peer;
            }
        });
        if (first[0] != null) {
            scheduler.counters().add("gearman.gave_way");
            first[0].leave();
        }
        return first[0] != null;
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Background jobs of durable functions go there. */
    public void setDurableJobs(DurableJobService given) {
        keeper = given;
    }

    /** Takes no further jobs; those taken are still answered. */
    public void drain() {
        draining = true;
    }

    /** Lets nobody in any more; those that are here go on. */
    public void stopAccepting() {
        listener.close();
    }

    /** Connections with answers not written yet. */
    public int unflushedConnections() {
        int[] busy = new int[1];
        peers.forEach(peer -> busy[0] += peer.isWritten() ? 0 : 1);
        return busy[0];
    }

    long add(Peer peer) {
        return peers.add(peer);
    }

    void remove(Peer peer, long slot) {
        peers.remove(slot);
        List<Job> waited = new ArrayList<>(peer.waiting);
        peer.waiting.clear();
        waited.forEach(job -> leave(job, peer));
    }

    /** A client that leaves withdraws what nobody else waits for. */
    private void leave(Job job, Peer peer) {
        if (job.clients.remove(peer) && job.clients.isEmpty() && !job.background) {
            end(job);
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
        if (background && function.durable() && keeper != null) {
            keep(client, function, unique, data, Queues.NORMAL - priority, 0);
            return;
        }
        String key = key(name, unique, data);
        Job same = key == null ? null : byKey.get(key);
        if (same != null) {
            join(client, same, background);
            return;
        }
        if (!queues.admits(name, priority)) {
            scheduler.counters().add("gearman.queue_full");
            client.error("QUEUE_FULL", "as many jobs of this function and priority wait as may");
            return;
        }
        Job job = new Job("H:laneflow:" + ++handles, function, unique, key, reducer, priority, background);
        if (!background) {
            job.clients.add(client);
            client.waiting.add(job);
        }
        job.slot = jobs.add(job);
        byHandle.put(job.handle, job);
        if (key != null) {
            byKey.put(key, job);
            byUnique.computeIfAbsent(unique, none -> new ArrayList<>(1)).add(job);
        }
        queues.queued(name, priority);
        // Before the core hears of it: its answer may come at once and must not overtake this.
        client.send(Packet.JOB_CREATED, job.handle);
        job.request = request(job, data);
        job.request.urgency = Queues.NORMAL - priority;
        scheduler.submit(job.request);
    }

    /** A background job for later: only where it outlives the process, since the time may be days away. */
    void submitLater(Peer client, String name, String unique, byte[] data, LongSupplier when) {
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
        } else if (!function.durable() || keeper == null) {
            client.error("NOT_DURABLE", "jobs for later are taken for functions that are durable");
        } else if (data.length > config.maxBodyBytes) {
            client.error("TOO_LARGE", "a job holds " + config.maxBodyBytes / 1024 + " KiB at most");
        } else if (draining) {
            client.error("SHUTTING_DOWN", "no further jobs are taken");
        } else {
            keep(client, function, unique, data, 0, notBeforeMs);
        }
    }

    private static int priority(int type) {
        return type == Packet.SUBMIT_JOB_HIGH || type == Packet.SUBMIT_JOB_HIGH_BG
                ? Queues.HIGH
                : type == Packet.SUBMIT_JOB_LOW || type == Packet.SUBMIT_JOB_LOW_BG ? Queues.LOW : Queues.NORMAL;
    }

    /**
     * The same job again, while it is at work: one run answers all who asked for it. Once somebody handed it
     * in as a background job it is run whoever leaves.
     */
    private void join(Peer client, Job same, boolean background) {
        scheduler.counters().add("gearman.joined");
        client.send(Packet.JOB_CREATED, same.handle);
        if (background) {
            same.background = true;
        } else if (client.waiting.add(same)) {
            same.clients.add(client);
        }
    }

    /**
     * What marks the same job: its unique, or with "-" its data. By a digest: jobs of one mark are merged.
     */
    private static String key(String function, String unique, byte[] data) {
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

    /** Hands a job to whoever keeps it; the client hears of it once it is on disk. */
    private void keep(
            Peer client, GearmanConfig.Function function, String unique, byte[] data, int urgency, long notBeforeMs) {
        Peer.Owed word = client.owe();
        String mark = unique.equals("-") ? digest(data) : unique;
        String key = mark.isEmpty() ? "" : "gearman/" + function.name() + "/" + mark;
        keeper.submit(
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
                said -> {
                    if (said.outcome() == DurableJobService.SubmissionOutcome.ACCEPTED) {
                        word.is(Packet.JOB_CREATED, KEPT + hex(said.id()));
                    } else if (said.outcome() == DurableJobService.SubmissionOutcome.FULL) {
                        word.is(
                                Packet.ERROR,
                                "QUEUE_FULL",
                                "come back in " + Math.ceil(said.retryAfter() * 1000) / 1000 + " s");
                    } else {
                        word.is(Packet.ERROR, "STORE_FAILED", "no durable job is taken on until a restart");
                    }
                });
    }

    private static long subject(String unique) {
        return unique.isEmpty() ? 0 : Endpoint.stableId(unique);
    }

    /** The job in the words of the platform's wire too: an HTTP endpoint may be the one to run it. */
    private Payload payload(GearmanConfig.Function function, String unique, byte[] data) {
        String id = hex(random.nextLong());
        boolean keyed = scheduler.settings().classes[function.jobClass()].effect == Effect.KEYED;
        String repeatKey = !keyed ? null : unique.matches("[!-~]{1,128}") ? unique : id;
        long key = subject(unique);
        String target = "/" + config.className(function) + (key == 0 ? "" : "?key=" + hex(key));
        return new Payload("POST", target, id, repeatKey, data);
    }

    private long deadline(GearmanConfig.Function function) {
        return function.deadline() > 0
                ? function.deadline()
                : (long) (scheduler.settings().classes[function.jobClass()].deadline * 1e6);
    }

    /** A version of the functions: workers that have named new ones already get their jobs at once. */
    public List<String> adopt(GearmanConfig other) {
        List<String> later = config.adopt(other);
        config.functions.keySet().forEach(queues::row);
        peers.forEach(peer -> peer.worker.functionsChanged());
        return later;
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
     * The id of a kept job and the number of a lease, of a worker's handle; null if it is none of that
     * kind.
     */
    static long[] lease(String handle) {
        int point = handle.indexOf('.');
        if (!handle.startsWith(KEPT) || point < 0) {
            return null;
        }
        try {
            return new long[] {
                Long.parseUnsignedLong(handle.substring(KEPT.length(), point), 16),
                Integer.parseInt(handle.substring(point + 1))
            };
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** A client's handle of a kept job as its id, or 0. */
    private static long kept(String handle) {
        boolean is = handle.startsWith(KEPT) && handle.length() == KEPT.length() + 16;
        try {
            return is ? Long.parseUnsignedLong(handle.substring(KEPT.length()), 16) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    void status(Peer client, String handle) {
        DurableJobService.JobView view = keeper == null ? null : keeper.peek(kept(handle));
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
                job == null ? 0 : job.of);
    }

    /** The same by a unique, of whatever function; with how many clients wait for it. */
    void statusOf(Peer client, String unique) {
        List<Job> all = byUnique.get(unique);
        Job job = all == null ? null : all.get(all.size() - 1);
        client.send(
                Packet.STATUS_RES_UNIQUE,
                unique,
                job == null ? 0 : 1,
                job != null && job.running ? 1 : 0,
                job == null ? 0 : job.done,
                job == null ? 0 : job.of,
                job == null ? 0 : job.clients.size());
    }

    /** What a worker says while it works, to all who wait. */
    void said(Job job, int type, byte[] said) {
        for (Peer client : new ArrayList<>(job.clients)) {
            client.send(type, job.handle, said);
        }
    }

    /** The job that a request of this front stands for, or null. */
    Job job(Request request) {
        return request.front == this ? jobs.get(request.tag) : null;
    }

    // ---- answers ----

    @Override
    public String name() {
        return "gearman";
    }

    @Override
    public void served(long tag, byte[] result) {
        Job job = jobs.get(tag);
        for (Peer client : ended(job)) {
            client.send(Packet.WORK_COMPLETE, job.handle, result);
        }
    }

    /** The protocol has one word for both: a client can't be told when to come back. */
    @Override
    public void refused(long tag, double retryAfter) {
        failed(tag);
    }

    @Override
    public void failed(long tag) {
        Job job = jobs.get(tag);
        for (Peer client : ended(job)) {
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
                queues.started(job.function.name(), job.priority);
            }
        }
    }

    @Override
    public void progress(long tag, long done, long of) {
        Job job = jobs.get(tag);
        if (job != null) {
            job.done = done;
            job.of = of;
            for (Peer client : new ArrayList<>(job.clients)) {
                client.send(Packet.WORK_STATUS, job.handle, done, of);
            }
        }
    }

    private List<Peer> ended(Job job) {
        List<Peer> clients = job == null ? List.of() : new ArrayList<>(job.clients);
        if (job != null) {
            end(job);
        }
        return clients;
    }

    private void end(Job job) {
        job.clients.forEach(client -> client.waiting.remove(job));
        job.clients.clear();
        jobs.remove(job.slot);
        byHandle.remove(job.handle);
        queues.ended(job.function.name(), job.priority, job.running);
        if (job.key != null) {
            byKey.remove(job.key, job);
            byUnique.computeIfPresent(job.unique, (unique, all) -> {
                all.remove(job);
                return all.isEmpty() ? null : all;
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

    /** What became of a wish to cancel. */
    enum Cancelled {
        YES,
        NO_SUCH_JOB,
        BEGUN
    }

    /** Takes back a job that no endpoint has begun; whoever waits for it hears that it failed. */
    Cancelled cancel(String handle) {
        Job job = byHandle.get(handle);
        if (job == null) {
            return Cancelled.NO_SUCH_JOB;
        }
        if (job.attempts > 0) {
            return Cancelled.BEGUN;
        }
        List<Peer> clients = ended(job);
        scheduler.withdraw(job.request);
        clients.forEach(client -> client.send(Packet.WORK_FAIL, job.handle));
        return Cancelled.YES;
    }

    /** Called where an operator's word ends the program; null: such words are refused. */
    public void onShutdownCommand(Runnable end) {
        ending = config.mayShutdown ? end : null;
    }
}
