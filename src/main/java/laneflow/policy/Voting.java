package laneflow.policy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.RaftRole;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import laneflow.net.Threads;
import laneflow.policy.decision.Ledger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A voter: one node of the consensus library (MicroRaft) with this program's store, transport and clock. The
 * library runs on a thread of its own, since it waits for the disk; what it has to tell comes to the loop.
 * The library counts in whole seconds, leases last about one: its time runs faster than the wall's by a
 * factor, in its timers and its clock alike. The clock is monotonic: no jump of the wall's moves an election.
 */
final class Voting implements Transport, StateMachine, RaftNodeExecutor, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Voting.class);
    private static final String NEW_TERM = "";
    /** Seconds of the library's in a lease. */
    private static final int SECONDS_A_LEASE = 20;
    /** Behind what this class does itself: see {@link #watch}. */
    private static final int HEARTBEAT_TIMEOUT_S = 21;

    private static final int HEARTBEAT_PERIOD_S = 4;
    private static final int REPORT_PERIOD_S = 30;
    /** The library adds up to this noise; see {@link #schedule}. */
    private static final int ELECTION_TIMEOUT_MS = 8000;

    private static final int ELECTION_NOISE_MS = 100;
    /** The first voter misses a leader that is gone after this share of a lease, the last after this more. */
    private static final double MISSED_AFTER = 0.75;

    private static final double SPREAD = 0.25;
    private static final int WATCHES_A_LEASE = 10;
    private static final int STOOD_STILL = 3;
    private static final long HAND_OVER_MS = 300;
    private static final int COMMITS_A_SNAPSHOT = 1000;
    private static final int MOST_PENDING = 256;

    /** Reads the state, at the leader; never written to the log. */
    interface Look extends Function<Ledger, Object> {}

    /** What it has to tell, on the loop's thread. */
    interface News {
        /** @param leader the voter that leads in that term, as far as is known, or empty */
        void role(int term, boolean leads, String leader, Set<String> voters);

        /** It votes no more, for a fault. */
        void stopped(String why);

        /** It votes no more, by order. */
        void takenOut();
    }

    private final Consumer<Runnable> later;
    private final BiConsumer<String, JsonObject> sender;
    private final News news;
    private final VoteStore store;
    private final VoterId self;
    private final double speed;
    private final long leaseNs;
    private final Random random = new Random();
    /** When the leader was last heard of, and how long it may be silent from then; on the voter's thread. */
    private long leaderHeardNs;

    private long leaderMaySilentNs;
    /** When it is to be looked for again. */
    private long watchAtNs;

    private volatile boolean leads;
    private final long origin = System.nanoTime();
    private final Ledger ledger;
    private final ScheduledThreadPoolExecutor thread;
    private RaftNode node;
    private Collection<RaftEndpoint> first = List.of();
    /** Names of voters that a link is up to; written by the loop. */
    private volatile Set<String> reachable = Set.of();

    private volatile boolean closed;
    /** Its store could not be written; set on the voter's thread. */
    private volatile boolean muted;

    private String said = "";

    /**
     * One that does not vote yet.
     *
     * @param ledger empty
     * @param lease microseconds
     * @param later runs a call on the loop
     * @param sender on the loop: sends a message to the scheduler of that name
     */
    Voting(
            VoteStore store,
            Ledger ledger,
            long lease,
            Consumer<Runnable> later,
            BiConsumer<String, JsonObject> sender,
            News news) {
        this.store = store;
        this.ledger = ledger;
        this.self = store.self();
        this.later = later;
        this.sender = sender;
        this.news = news;
        leaseNs = lease * 1000;
        speed = SECONDS_A_LEASE * 1e6 / lease;
        thread = new ScheduledThreadPoolExecutor(1, task -> Threads.daemon(task, "voter"));
        store.whenItFails(this::mute);
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    VoterId self() {
        return self;
    }

    /**
     * The disk is full, or fails. The library would go on with what it has in memory: as a leader it would
     * lead, and carry nothing through; what it says of entries would be of more than a disk holds. So nothing
     * that it says gets out from this very call on, nothing of it runs again, and the others miss it.
     */
    private void mute(String why) {
        muted = true;
        leads = false;
        stopped("its store can't be written: " + why);
    }

    /** Votes from now on, with what its store holds, or else as one of these first voters. */
    void begin(RestoredRaftState restored, Collection<RaftEndpoint> firstVoters) {
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(RaftCodec.group())
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
                        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S)
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_S)
                        .setCommitCountToTakeSnapshot(COMMITS_A_SNAPSHOT)
                        .setMaxPendingLogEntryCount(MOST_PENDING)
                        .setRaftNodeReportPublishPeriodSecs(REPORT_PERIOD_S)
                        .build())
                .setExecutor(this)
                .setTransport(this)
                .setStateMachine(this)
                .setStore(store)
                .setModelFactory(RaftCodec.models())
                .setRaftNodeReportListener(this::report)
                .setRandom(new Random(self.hashCode() ^ origin))
                .setClock(new Fast());
        if (restored != null) {
            builder.setRestoredState(restored);
            first = restored.getInitialGroupMembers().getVotingMembers();
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(firstVoters);
            first = firstVoters;
        }
        node = builder.build();
        node.start().whenComplete((started, failed) -> {
            if (failed != null) {
                stopped("it could not begin to vote: " + failed.getMessage());
            }
        });
        watchIn(leaseNs);
    }

    /**
     * A follower of this library (0.7) that hears of a leader amid a pre-vote of its own keeps that pre-vote
     * open, and while one is open it never misses its leader: voters that had been started anew did not elect
     * another for as long as one waited. And all its voters miss their leader at once, and split their votes.
     * So a leader that is silent is missed here, one voter behind the other and before the library does, by
     * the word with which a leader hands over. An election without a pre-vote is as safe.
     */
    private void watch() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        long now = System.nanoTime();
        if (muted || thread.isShutdown()) {
            return;
        }
        // One that stood still itself blames nobody: what the leader has said waits to be read.
        boolean stoodStill = now - watchAtNs > STOOD_STILL * leaseNs / WATCHES_A_LEASE;
        look(leader, now, stoodStill);
        // While it is heard of nothing is looked at: that would be ten times a lease for nothing.
        watchIn(Math.max(leaseNs / WATCHES_A_LEASE, leaderHeardNs + leaderMaySilentNs - now));
    }

    private void watchIn(long ns) {
        watchAtNs = System.nanoTime() + ns;
        try {
            thread.schedule(this::watch, ns, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    private void look(RaftEndpoint leader, long now, boolean stoodStill) {
        if (stoodStill || leads || leader == null || node.getStatus() != RaftNodeStatus.ACTIVE) {
            heardOfLeader(now);
        } else if (now - leaderHeardNs > leaderMaySilentNs) {
            heardOfLeader(now);
            node.getReport().whenComplete((found, failed) -> {
                if (failed == null) {
                    RaftNodeReport report = found.getResult();
                    LOG.info("policy: {} has not been heard of, another is to be elected", leader.getId());
                    node.handle(RaftCodec.models()
                            .createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(RaftCodec.group())
                            .setSender(leader)
                            .setTerm(report.getTerm().getTerm())
                            .setLastLogTerm(report.getLog().getLastLogOrSnapshotTerm())
                            .setLastLogIndex(report.getLog().getLastLogOrSnapshotIndex())
                            .build());
                }
            });
        }
    }

    private void heardOfLeader(long now) {
        leaderHeardNs = now;
        leaderMaySilentNs = (long) (leaseNs * (MISSED_AFTER + SPREAD * place()));
    }

    /**
     * This voter's place among those that may miss their leader, in [0, 1]. All of them have heard of it last
     * at the same time: with drawn times two of three called for each other's votes at once, once in five.
     */
    private double place() {
        TreeSet<String> others = new TreeSet<>();
        node.getEffectiveMembers()
                .getVotingMembers()
                .forEach(one -> others.add(one.getId().toString()));
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        if (leader != null) {
            others.remove(leader.getId().toString());
        }
        int before = others.headSet(self.text()).size();
        return others.size() < 2 ? 0 : Math.min(1, before / (others.size() - 1.0));
    }

    boolean isBegun() {
        return node != null;
    }

    /** The voters that were there at the beginning; the same at all that belong together. */
    List<String> firstVoters() {
        List<String> names = new ArrayList<>();
        first.forEach(one -> names.add(one.getId().toString()));
        names.sort(null);
        return names;
    }

    /** On the loop: the names that links are up to now. */
    void reachable(Set<String> names) {
        reachable = Set.copyOf(names);
    }

    /** On the loop: another voter's message. */
    void take(String from, JsonObject message) {
        if (node == null || !message.get("to").getAsString().equals(self.text())) {
            return;
        }
        JsonObject inner = message.getAsJsonObject("m");
        try {
            thread.execute(() -> {
                RaftMessage read;
                try {
                    read = RaftCodec.read(inner);
                } catch (RuntimeException e) {
                    LOG.warn("a voter's message can't be read: {}", e.toString());
                    return;
                }
                if (read instanceof AppendEntriesRequest || read instanceof InstallSnapshotRequest) {
                    heardOfLeader(System.nanoTime());
                } else if (disturbs(read)) {
                    if (leads) {
                        back(() -> sender.accept(from, removed(read.getSender())));
                    }
                    return;
                }
                node.handle(read);
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    /**
     * A voter that was taken out, and has not heard of it, misses its leader: while there is one its votes
     * would only unseat it. Only the leader knows for sure, and tells it.
     */
    private boolean disturbs(RaftMessage read) {
        return (read instanceof VoteRequest || read instanceof PreVoteRequest)
                && System.nanoTime() - leaderHeardNs < leaseNs / 2
                && !node.getEffectiveMembers().getMembers().contains(read.getSender())
                && !node.getCommittedMembers().getMembers().contains(read.getSender());
    }

    private static JsonObject removed(RaftEndpoint who) {
        JsonObject all = new JsonObject();
        all.addProperty("t", "removed");
        all.addProperty("id", who.getId().toString());
        return all;
    }

    /** On the loop: this one was taken out, and votes no more. */
    void leave() {
        closed = true;
        onThread(() -> node.terminate(), () -> {});
        back(news::takenOut);
    }

    /**
     * Reads the state as a majority holds it to be now; the answer comes on the loop, with null where this
     * voter does not lead, or no majority answers.
     *
     * @param term the answer is null if it is another by then
     */
    void look(int term, Look what, Consumer<Object> then) {
        onThread(
                () -> node.<Object>query(what, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                        .whenComplete((done, failed) -> {
                            boolean still = failed == null && node.getTerm().getTerm() == term;
                            back(() -> then.accept(still ? done.getResult() : null));
                        }),
                () -> then.accept(null));
    }

    /** Puts an operation into the log; the answer comes on the loop, null where it is not known to be in. */
    void replicate(JsonObject operation, Consumer<JsonObject> then) {
        onThread(
                () -> node.<Object>replicate(operation.toString()).whenComplete((done, failed) -> {
                    JsonObject answer = failed == null
                            ? JsonParser.parseString((String) done.getResult()).getAsJsonObject()
                            : null;
                    back(() -> then.accept(answer));
                }),
                () -> then.accept(null));
    }

    /**
     * Takes a voter in. A store of its name that it has lost goes first, so that no two of one name vote, and
     * the new one listens before it votes. Tells null, or why it was not done; asked again it goes on.
     */
    void takeIn(VoterId by, Consumer<String> then) {
        onThread(
                () -> {
                    RaftGroupMembers now = node.getCommittedMembers();
                    Optional<RaftEndpoint> former = now.getMembers().stream()
                            .filter(one -> ((VoterId) one).name().equals(by.name()) && !one.equals(by))
                            .findFirst();
                    CompletableFuture<Long> gone = former.isEmpty()
                            ? CompletableFuture.completedFuture(now.getLogIndex())
                            : change(former.get(), MembershipChangeMode.REMOVE_MEMBER, now.getLogIndex());
                    if (!now.getMembers().contains(by)) {
                        gone = gone.thenCompose(index -> change(by, MembershipChangeMode.ADD_LEARNER, index));
                    }
                    ended(
                            gone.thenCompose(
                                    index -> change(by, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, index)),
                            then);
                },
                () -> then.accept("this process ends"));
    }

    /** Takes a voter out. Tells null, or why it was not done. */
    void takeOut(VoterId who, Consumer<String> then) {
        onThread(
                () -> ended(
                        change(
                                who,
                                MembershipChangeMode.REMOVE_MEMBER,
                                node.getCommittedMembers().getLogIndex()),
                        why -> {
                            if (why == null) {
                                sender.accept(who.name(), removed(who));
                            }
                            then.accept(why);
                        }),
                () -> then.accept("this process ends"));
    }

    /** Has another voter lead, so that this one can be taken out. */
    void stepDown() {
        onThread(() -> other().ifPresent(node::transferLeadership), () -> {});
    }

    private Optional<RaftEndpoint> other() {
        return node.getEffectiveMembers().getVotingMembers().stream()
                .filter(one -> !one.equals(self) && isReachable(one))
                .findFirst();
    }

    private void ended(CompletableFuture<Long> change, Consumer<String> then) {
        change.whenComplete((done, failed) -> back(() -> then.accept(
                failed == null
                        ? null
                        : String.valueOf(
                                failed.getCause() == null
                                        ? failed.getMessage()
                                        : failed.getCause().getMessage()))));
    }

    private CompletableFuture<Long> change(RaftEndpoint who, MembershipChangeMode how, long index) {
        return node.changeMembership(who, how, index).thenApply(Ordered::getCommitIndex);
    }

    private void onThread(Runnable work, Runnable unless) {
        try {
            thread.execute(() -> {
                if (muted) {
                    back(unless);
                } else {
                    work.run();
                }
            });
        } catch (RejectedExecutionException e) {
            unless.run();
        }
    }

    private void back(Runnable call) {
        try {
            later.accept(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("the loop has ended");
        }
    }

    private void stopped(String why) {
        back(() -> news.stopped(why));
    }

    private void report(RaftNodeReport report) {
        if (report.getStatus() == RaftNodeStatus.TERMINATED && !closed) {
            stopped("the library ended it; a disk that is full or fails is the usual cause");
            return;
        }
        int term = report.getTerm().getTerm();
        boolean leadsNow = report.getRole() == RaftRole.LEADER;
        leads = leadsNow;
        RaftEndpoint leader = report.getTerm().getLeaderEndpoint();
        String name =
                leader == null ? "" : VoterId.parse(leader.getId().toString()).name();
        Set<String> voters = new TreeSet<>();
        report.getEffectiveMembers()
                .getVotingMembers()
                .forEach(one -> voters.add(one.getId().toString()));
        String now = term + " " + leadsNow + " " + name + " " + voters;
        if (!now.equals(said)) {
            said = now;
            back(() -> news.role(term, leadsNow, name, voters));
        }
    }

    // ---- transport ----

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        if (muted) {
            return;
        }
        VoterId to = (VoterId) target;
        JsonObject all = new JsonObject();
        all.addProperty("t", "raft");
        all.addProperty("to", to.text());
        all.add("m", RaftCodec.write(message));
        back(() -> sender.accept(to.name(), all));
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return reachable.contains(((VoterId) endpoint).name());
    }

    // ---- state machine ----

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        if (operation instanceof Look look) {
            return look.apply(ledger);
        }
        if (operation == null || operation.equals(NEW_TERM)) {
            return null;
        }
        JsonElement op = JsonParser.parseString((String) operation);
        return ledger.run(op.getAsJsonObject()).toString();
    }

    @Override
    public void takeSnapshot(long commitIndex, Consumer<Object> chunks) {
        chunks.accept(ledger.snapshot().toString());
    }

    @Override
    public void installSnapshot(long commitIndex, List<Object> chunks) {
        ledger.restore(JsonParser.parseString((String) chunks.get(0)).getAsJsonObject());
    }

    @Override
    public Object getNewTermOperation() {
        return NEW_TERM;
    }

    // ---- its thread and its time ----

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        try {
            thread.execute(unlessMuted(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    private Runnable unlessMuted(Runnable task) {
        return () -> {
            if (!muted) {
                task.run();
            }
        };
    }

    /**
     * What the library draws so that voters whose votes were split do not try again together is five
     * milliseconds of real time: voters that tried at once did so again, term by term. An election is given
     * up after once to twice its time.
     */
    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        long ms = unit.toMillis(delay);
        boolean election = ms >= ELECTION_TIMEOUT_MS && ms < ELECTION_TIMEOUT_MS + ELECTION_NOISE_MS;
        double times = election ? 1 + random.nextDouble() : 1;
        try {
            thread.schedule(unlessMuted(task), (long) (unit.toNanos(delay) * times / speed), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    /** Monotonic, and as much faster as the timers. */
    private final class Fast extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return (long) ((System.nanoTime() - origin) / 1e6 * speed);
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }

    /** One that leads and ends in order names another, so that nobody has to miss it first. */
    private void handOver() throws InterruptedException {
        Optional<RaftEndpoint> to = other();
        if (leads && to.isPresent()) {
            try {
                node.transferLeadership(to.get()).get(HAND_OVER_MS, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException e) {
                LOG.debug("the others elect another by themselves", e);
            }
        }
    }

    /** Votes no more; what is in its store stays. On any thread but the loop's. */
    @Override
    public void close() throws IOException, InterruptedException {
        closed = true;
        if (node != null && !muted) {
            try {
                handOver();
                node.terminate().get(2, TimeUnit.SECONDS);
            } catch (ExecutionException | TimeoutException e) {
                LOG.debug("terminate", e);
            }
        }
        thread.shutdown();
        thread.awaitTermination(2, TimeUnit.SECONDS);
        store.close();
    }
}
