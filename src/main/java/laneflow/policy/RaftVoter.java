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
 * A voter: a node of the Raft library (MicroRaft) with this program's store, transport and clock. The library
 * runs on a thread of its own, since it waits for the disk; its notifications are passed to the loop. The
 * library counts time in whole seconds, while a lease lasts about one second: its timers and its clock
 * therefore run faster than real time by a constant factor. The clock is monotonic, so that jumps of the wall
 * clock don't affect elections.
 */
final class RaftVoter implements Transport, StateMachine, RaftNodeExecutor, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RaftVoter.class);
    private static final String NEW_TERM = "";
    /** The library's seconds per lease. */
    private static final int RAFT_SECONDS_PER_LEASE = 20;
    /** Longer than the timeout of this class's own check, see {@link #watchLeader}. */
    private static final int HEARTBEAT_TIMEOUT_S = 21;

    private static final int HEARTBEAT_PERIOD_S = 4;
    private static final int REPORT_PERIOD_S = 30;
    /** The library adds random noise up to ELECTION_NOISE_MS, see {@link #schedule}. */
    private static final int ELECTION_TIMEOUT_MS = 8000;

    private static final int ELECTION_NOISE_MS = 100;
    /**
     * The first voter gives up a silent leader after this share of a lease, the last one after the spread in
     * addition.
     */
    private static final double FIRST_TIMEOUT_LEASES = 0.75;

    private static final double TIMEOUT_SPREAD_LEASES = 0.25;
    private static final int WATCHES_PER_LEASE = 10;
    private static final int STALL_WATCH_PERIODS = 3;
    private static final long TRANSFER_TIMEOUT_MS = 300;
    private static final int COMMITS_PER_SNAPSHOT = 1000;
    private static final int MAX_PENDING_ENTRIES = 256;

    /** Reads the leader's state; never written to the log. */
    interface LedgerQuery extends Function<Ledger, Object> {}

    /** Receives notifications on the loop's thread. */
    interface Listener {
        /** @param leader the leader of that term, or empty if unknown */
        void onRole(int term, boolean leads, String leader, Set<String> voters);

        /** The voter stopped because of a fault. */
        void onStopped(String reason);

        /** The voter stopped because it was removed from the group. */
        void onRemoved();
    }

    private final Consumer<Runnable> loopExecutor;
    private final BiConsumer<String, JsonObject> sender;
    private final Listener listener;
    private final VoteStore store;
    private final VoterId self;
    private final double timeScale;
    private final long leaseNs;
    private final Random random = new Random();
    /** When the leader's last message came, and the timeout that started then; on the voter thread. */
    private long leaderLastHeardNs;

    private long leaderTimeoutNs;
    /** When the next check of the leader is due. */
    private long nextWatchNs;

    private volatile boolean leads;
    private final long origin = System.nanoTime();
    private final Ledger ledger;
    private final ScheduledThreadPoolExecutor thread;
    private RaftNode node;
    private Collection<RaftEndpoint> initialVoters = List.of();
    /** Names of voters to which a link is up; written by the loop. */
    private volatile Set<String> reachable = Set.of();

    private volatile boolean closed;
    /** A write to the store failed; set on the voter thread. */
    private volatile boolean storeFailed;

    private String lastRole = "";

    /**
     * Creates a voter that has not started.
     *
     * @param ledger empty
     * @param leaseMicros duration of a lease
     * @param loopExecutor runs a call on the loop
     * @param sender sends a message to the scheduler of that name; called on the loop
     */
    RaftVoter(
            VoteStore store,
            Ledger ledger,
            long leaseMicros,
            Consumer<Runnable> loopExecutor,
            BiConsumer<String, JsonObject> sender,
            Listener listener) {
        this.store = store;
        this.ledger = ledger;
        this.self = store.self();
        this.loopExecutor = loopExecutor;
        this.sender = sender;
        this.listener = listener;
        leaseNs = leaseMicros * 1000;
        timeScale = RAFT_SECONDS_PER_LEASE * 1e6 / leaseMicros;
        thread = new ScheduledThreadPoolExecutor(1, task -> Threads.daemon(task, "voter"));
        store.onFailure(this::onStoreFailure);
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    VoterId self() {
        return self;
    }

    /**
     * Called when the disk is full or fails. The library would continue with its state in memory: a leader
     * would keep leading without committing anything, and its messages would cover entries that no disk
     * holds. Therefore nothing is sent from this call on, none of the library's tasks runs any more, and the
     * other voters time out.
     */
    private void onStoreFailure(String reason) {
        storeFailed = true;
        leads = false;
        reportStopped("writing its store failed: " + reason);
    }

    /** Starts to vote, with the restored state or else as one of these initial voters. */
    void start(RestoredRaftState restored, Collection<RaftEndpoint> voters) {
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(RaftCodec.groupId())
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
                        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S)
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_S)
                        .setCommitCountToTakeSnapshot(COMMITS_PER_SNAPSHOT)
                        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                        .setRaftNodeReportPublishPeriodSecs(REPORT_PERIOD_S)
                        .build())
                .setExecutor(this)
                .setTransport(this)
                .setStateMachine(this)
                .setStore(store)
                .setModelFactory(RaftCodec.models())
                .setRaftNodeReportListener(this::onReport)
                .setRandom(new Random(self.hashCode() ^ origin))
                .setClock(new ScaledClock());
        if (restored != null) {
            builder.setRestoredState(restored);
            initialVoters = restored.getInitialGroupMembers().getVotingMembers();
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(voters);
            initialVoters = voters;
        }
        node = builder.build();
        node.start().whenComplete((started, failed) -> {
            if (failed != null) {
                reportStopped("the Raft node failed to start: " + failed.getMessage());
            }
        });
        scheduleWatch(leaseNs);
    }

    /**
     * Starts an election when the leader is silent, before the library's own timeout does. A follower of this
     * library (0.7) that receives a leader's message during its own pre-vote keeps that pre-vote open, and
     * while it is open the follower's leader timeout never fires: restarted voters did not elect a new leader
     * for as long as one waited. Moreover, all followers time out at once and split their votes. Here one
     * voter after the other times out, and the election is started with the message by which a leader
     * transfers its leadership. An election without a pre-vote is as safe.
     */
    private void watchLeader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        long now = System.nanoTime();
        if (storeFailed || thread.isShutdown()) {
            return;
        }
        // After a stall of this process the leader's messages may still be waiting to be read.
        boolean stalled = now - nextWatchNs > STALL_WATCH_PERIODS * leaseNs / WATCHES_PER_LEASE;
        checkLeader(leader, now, stalled);
        // No checks while the leader sends messages: they would run ten times per lease for nothing.
        scheduleWatch(Math.max(leaseNs / WATCHES_PER_LEASE, leaderLastHeardNs + leaderTimeoutNs - now));
    }

    private void scheduleWatch(long ns) {
        nextWatchNs = System.nanoTime() + ns;
        try {
            thread.schedule(this::watchLeader, ns, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    private void checkLeader(RaftEndpoint leader, long now, boolean stalled) {
        if (stalled || leads || leader == null || node.getStatus() != RaftNodeStatus.ACTIVE) {
            resetLeaderTimeout(now);
        } else if (now - leaderLastHeardNs > leaderTimeoutNs) {
            resetLeaderTimeout(now);
            node.getReport().whenComplete((response, failed) -> {
                if (failed == null) {
                    RaftNodeReport report = response.getResult();
                    LOG.info("policy: leader {} has timed out, starting an election", leader.getId());
                    node.handle(RaftCodec.models()
                            .createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(RaftCodec.groupId())
                            .setSender(leader)
                            .setTerm(report.getTerm().getTerm())
                            .setLastLogTerm(report.getLog().getLastLogOrSnapshotTerm())
                            .setLastLogIndex(report.getLog().getLastLogOrSnapshotIndex())
                            .build());
                }
            });
        }
    }

    private void resetLeaderTimeout(long now) {
        leaderLastHeardNs = now;
        leaderTimeoutNs = (long) (leaseNs * (FIRST_TIMEOUT_LEASES + TIMEOUT_SPREAD_LEASES * timeoutRank()));
    }

    /**
     * This voter's rank among those that may time out, in [0, 1]. All of them got the leader's last message at
     * the same time: with random timeouts two of three voters called an election at once in one of five
     * cases.
     */
    private double timeoutRank() {
        TreeSet<String> others = new TreeSet<>();
        node.getEffectiveMembers()
                .getVotingMembers()
                .forEach(endpoint -> others.add(endpoint.getId().toString()));
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        if (leader != null) {
            others.remove(leader.getId().toString());
        }
        int before = others.headSet(self.text()).size();
        return others.size() < 2 ? 0 : Math.min(1, before / (others.size() - 1.0));
    }

    boolean isStarted() {
        return node != null;
    }

    /** Ids of the initial voters, the same at all voters of a group. */
    List<String> initialVoterIds() {
        List<String> names = new ArrayList<>();
        initialVoters.forEach(endpoint -> names.add(endpoint.getId().toString()));
        names.sort(null);
        return names;
    }

    /** Called on the loop with the names of voters to which a link is up. */
    void setReachable(Set<String> names) {
        reachable = Set.copyOf(names);
    }

    /** Called on the loop with another voter's message. */
    void onMessage(String from, JsonObject message) {
        if (node == null || !message.get("to").getAsString().equals(self.text())) {
            return;
        }
        JsonObject raftMessage = message.getAsJsonObject("m");
        try {
            thread.execute(() -> {
                RaftMessage decoded;
                try {
                    decoded = RaftCodec.read(raftMessage);
                } catch (RuntimeException e) {
                    LOG.warn("unreadable message from another voter: {}", e.toString());
                    return;
                }
                if (decoded instanceof AppendEntriesRequest || decoded instanceof InstallSnapshotRequest) {
                    resetLeaderTimeout(System.nanoTime());
                } else if (isVoteOfRemoved(decoded)) {
                    if (leads) {
                        runOnLoop(() -> sender.accept(from, removedMessage(decoded.getSender())));
                    }
                    return;
                }
                node.handle(decoded);
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    /**
     * True for a vote request of a removed voter. A voter that has not learnt of its removal times out, and
     * its requests would only unseat a working leader. Only the leader knows the members for sure, and tells
     * the removed voter.
     */
    private boolean isVoteOfRemoved(RaftMessage message) {
        return (message instanceof VoteRequest || message instanceof PreVoteRequest)
                && System.nanoTime() - leaderLastHeardNs < leaseNs / 2
                && !node.getEffectiveMembers().getMembers().contains(message.getSender())
                && !node.getCommittedMembers().getMembers().contains(message.getSender());
    }

    private static JsonObject removedMessage(RaftEndpoint voter) {
        JsonObject message = new JsonObject();
        message.addProperty("t", "removed");
        message.addProperty("id", voter.getId().toString());
        return message;
    }

    /** Called on the loop when this voter was removed: stops voting. */
    void stopAfterRemoval() {
        closed = true;
        runOnVoterThread(() -> node.terminate(), () -> {});
        runOnLoop(listener::onRemoved);
    }

    /**
     * Reads the state as a majority holds it now. The answer comes on the loop; it is null if this voter is
     * not the leader or no majority answers.
     *
     * @param term the answer is null if the term has changed by then
     */
    void query(int term, LedgerQuery query, Consumer<Object> callback) {
        runOnVoterThread(
                () -> node.<Object>query(query, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                        .whenComplete((done, failed) -> {
                            boolean sameTerm = failed == null && node.getTerm().getTerm() == term;
                            runOnLoop(() -> callback.accept(sameTerm ? done.getResult() : null));
                        }),
                () -> callback.accept(null));
    }

    /**
     * Replicates an operation; the answer comes on the loop and is null if the operation's fate is unknown.
     */
    void replicate(JsonObject operation, Consumer<JsonObject> callback) {
        runOnVoterThread(
                () -> node.<Object>replicate(operation.toString()).whenComplete((done, failed) -> {
                    JsonObject answer = failed == null
                            ? JsonParser.parseString((String) done.getResult()).getAsJsonObject()
                            : null;
                    runOnLoop(() -> callback.accept(answer));
                }),
                () -> callback.accept(null));
    }

    /**
     * Adds a voter. A lost store of the same name is removed first, so that no two voters have one name, and
     * the new voter starts as a learner. Answers null on success, else why it failed; a retry continues where
     * it stopped.
     */
    void addVoter(VoterId voter, Consumer<String> callback) {
        runOnVoterThread(
                () -> {
                    RaftGroupMembers now = node.getCommittedMembers();
                    Optional<RaftEndpoint> former = now.getMembers().stream()
                            .filter(endpoint ->
                                    ((VoterId) endpoint).name().equals(voter.name()) && !endpoint.equals(voter))
                            .findFirst();
                    CompletableFuture<Long> changed = former.isEmpty()
                            ? CompletableFuture.completedFuture(now.getLogIndex())
                            : changeMembership(former.get(), MembershipChangeMode.REMOVE_MEMBER, now.getLogIndex());
                    if (!now.getMembers().contains(voter)) {
                        changed = changed.thenCompose(
                                index -> changeMembership(voter, MembershipChangeMode.ADD_LEARNER, index));
                    }
                    reportOutcome(
                            changed.thenCompose(index ->
                                    changeMembership(voter, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER, index)),
                            callback);
                },
                () -> callback.accept("this process is stopping"));
    }

    /** Removes a voter. Answers null on success, else why it failed. */
    void removeVoter(VoterId voter, Consumer<String> callback) {
        runOnVoterThread(
                () -> reportOutcome(
                        changeMembership(
                                voter,
                                MembershipChangeMode.REMOVE_MEMBER,
                                node.getCommittedMembers().getLogIndex()),
                        reason -> {
                            if (reason == null) {
                                sender.accept(voter.name(), removedMessage(voter));
                            }
                            callback.accept(reason);
                        }),
                () -> callback.accept("this process is stopping"));
    }

    /** Transfers leadership to another voter, so that this one can be removed. */
    void stepDown() {
        runOnVoterThread(() -> transferTarget().ifPresent(node::transferLeadership), () -> {});
    }

    private Optional<RaftEndpoint> transferTarget() {
        return node.getEffectiveMembers().getVotingMembers().stream()
                .filter(endpoint -> !endpoint.equals(self) && isReachable(endpoint))
                .findFirst();
    }

    private void reportOutcome(CompletableFuture<Long> change, Consumer<String> callback) {
        change.whenComplete((done, failed) -> runOnLoop(() -> callback.accept(
                failed == null
                        ? null
                        : String.valueOf(
                                failed.getCause() == null
                                        ? failed.getMessage()
                                        : failed.getCause().getMessage()))));
    }

    private CompletableFuture<Long> changeMembership(RaftEndpoint voter, MembershipChangeMode mode, long index) {
        return node.changeMembership(voter, mode, index).thenApply(Ordered::getCommitIndex);
    }

    private void runOnVoterThread(Runnable work, Runnable otherwise) {
        try {
            thread.execute(() -> {
                if (storeFailed) {
                    runOnLoop(otherwise);
                } else {
                    work.run();
                }
            });
        } catch (RejectedExecutionException e) {
            otherwise.run();
        }
    }

    private void runOnLoop(Runnable call) {
        try {
            loopExecutor.accept(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("the loop has ended");
        }
    }

    private void reportStopped(String reason) {
        runOnLoop(() -> listener.onStopped(reason));
    }

    private void onReport(RaftNodeReport report) {
        if (report.getStatus() == RaftNodeStatus.TERMINATED && !closed) {
            reportStopped("the Raft library terminated the node, usually because a disk is full or fails");
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
                .forEach(endpoint -> voters.add(endpoint.getId().toString()));
        String role = term + " " + leadsNow + " " + name + " " + voters;
        if (!role.equals(lastRole)) {
            lastRole = role;
            runOnLoop(() -> listener.onRole(term, leadsNow, name, voters));
        }
    }

    // ---- transport ----

    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
        if (storeFailed) {
            return;
        }
        VoterId to = (VoterId) target;
        JsonObject envelope = new JsonObject();
        envelope.addProperty("t", "raft");
        envelope.addProperty("to", to.text());
        envelope.add("m", RaftCodec.write(message));
        runOnLoop(() -> sender.accept(to.name(), envelope));
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return reachable.contains(((VoterId) endpoint).name());
    }

    // ---- state machine ----

    @Override
    public Object runOperation(long commitIndex, Object operation) {
        if (operation instanceof LedgerQuery query) {
            return query.apply(ledger);
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

    // ---- thread and time ----

    @Override
    public void execute(Runnable task) {
        submit(task);
    }

    @Override
    public void submit(Runnable task) {
        try {
            thread.execute(unlessStoreFailed(task));
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    private Runnable unlessStoreFailed(Runnable task) {
        return () -> {
            if (!storeFailed) {
                task.run();
            }
        };
    }

    /**
     * The library's random delay after a split vote amounts to five milliseconds of real time: voters that
     * started elections at once did so again, term after term. An election therefore times out after one to
     * two times its timeout.
     */
    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        long ms = unit.toMillis(delay);
        boolean election = ms >= ELECTION_TIMEOUT_MS && ms < ELECTION_TIMEOUT_MS + ELECTION_NOISE_MS;
        double factor = election ? 1 + random.nextDouble() : 1;
        try {
            thread.schedule(
                    unlessStoreFailed(task), (long) (unit.toNanos(delay) * factor / timeScale), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("closed");
        }
    }

    /** Monotonic, and faster than real time by the same factor as the timers. */
    private final class ScaledClock extends Clock {
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
            return (long) ((System.nanoTime() - origin) / 1e6 * timeScale);
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }

    /** A leader that stops gracefully names a successor, so that no voter has to time out first. */
    private void transferLeadership() throws InterruptedException {
        Optional<RaftEndpoint> successor = transferTarget();
        if (leads && successor.isPresent()) {
            try {
                node.transferLeadership(successor.get()).get(TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException e) {
                LOG.debug("leadership transfer failed, the other voters elect a leader themselves", e);
            }
        }
    }

    /** Stops voting; the store is kept. Not to be called on the loop's thread. */
    @Override
    public void close() throws IOException, InterruptedException {
        closed = true;
        if (node != null && !storeFailed) {
            try {
                transferLeadership();
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
