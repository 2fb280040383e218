package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.fleet.Fleet;
import laneflow.fleet.Peer;
import laneflow.net.Loop;
import laneflow.policy.decision.Grant;
import laneflow.policy.decision.LeaderState;
import laneflow.policy.decision.LeaderState.Step;
import laneflow.policy.decision.Ledger;
import laneflow.policy.decision.Ledger.View;
import laneflow.policy.decision.Renewal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A voter's duties beyond Raft. As leader it has a majority confirm its leadership, handles the schedulers'
 * renewals, grants leases and carries changes through; otherwise it forwards renewals to the leader. On the
 * loop's thread.
 */
final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    /** Ends the reasons of failures that are temporary; {@link PolicyApi} answers those with 503. */
    static final String RETRY_SUFFIX = "; ask again";

    private static final int CONFIRMATIONS_PER_LEASE = 4;
    private static final int SILENCE_LEASE_DIVISOR = 2;

    private final Loop loop;
    private final Fleet fleet;
    private final PolicyConfig config;
    private final Counters counters;
    private final RaftVoter voter;
    private final VoterGroup group;
    private final PolicyAgent policy;
    private final FleetTrial trial;
    private final RenewalExtensions extensions;
    private final Deadline confirmTimer;
    private final Deadline stepTimer;
    /** The link on which each scheduler's last renewal came; grants go back on it. */
    private final Map<String, Peer> routes = new HashMap<>();

    private final Map<Long, String> contents = new LinkedHashMap<>();
    private LeaderState state;
    private View view;
    private int term;
    private String leader = "";
    private Set<String> voters = Set.of();
    /** The voters' names, sent with each grant. */
    private JsonArray voterNames = new JsonArray();

    private boolean confirming;
    private boolean confirmAgain;
    private boolean stopped;
    /** Id of the store that this leader last invited to start voting. */
    private String invitedStore = "";

    Leadership(
            Loop loop,
            Fleet fleet,
            PolicyConfig config,
            Counters counters,
            RaftVoter voter,
            VoterGroup group,
            PolicyAgent policy,
            FleetTrial trial,
            RenewalExtensions extensions) {
        this.loop = loop;
        this.fleet = fleet;
        this.config = config;
        this.counters = counters;
        this.voter = voter;
        this.group = group;
        this.policy = policy;
        this.trial = trial;
        this.extensions = extensions;
        confirmTimer = loop.deadlines().create(this::confirm);
        stepTimer = loop.deadlines().create(this::step);
    }

    void start() {
        fleet.handle("renew", this::onRenewal);
        fleet.handle("want", (from, message) -> onContentRequest(from, message));
        fleet.handle("left", (from, message) -> {
            if (!forwardToLeader(message)) {
                onSchedulerLeft(message.get("who").getAsString());
            }
        });
        fleet.onLinkChange(peer -> group.onLinksChanged(), peer -> {
            group.onLinksChanged();
            routes.values().removeIf(route -> route == peer);
        });
    }

    // ---- leadership ----

    void onRole(int newTerm, boolean leads, String newLeader, Set<String> newVoters) {
        term = newTerm;
        voters = newVoters;
        voterNames = new JsonArray();
        newVoters.forEach(id -> voterNames.add(VoterId.parse(id).name()));
        group.onVoters(newVoters);
        if (!newLeader.equals(leader)) {
            leader = newLeader;
            LOG.info("policy: term {}, leader {}", newTerm, newLeader.isEmpty() ? "none yet" : newLeader);
        }
        if (!leads) {
            state = null;
            extensions.onLeadershipLost();
        } else if (state == null || state.term() != newTerm) {
            counters.add("policy.elected");
            state = new LeaderState(
                    newTerm,
                    policy.now(),
                    new LeaderState.Times(
                            config.leaseMicros, config.leaseMicros / SILENCE_LEASE_DIVISOR, config.prepareMicros));
            view = null;
            trial.start(policy.now());
            extensions.onElected(newTerm);
            confirm();
        }
    }

    void onStopped(String reason) {
        if (stopVoting()) {
            counters.set("policy.vote_lost", 1);
            LOG.error("policy: this process has stopped voting: {}", reason);
        }
    }

    void onRemoved() {
        if (stopVoting()) {
            LOG.info("policy: removed from the voters, this process has stopped voting");
        }
    }

    /** Returns true on the first call. */
    private boolean stopVoting() {
        boolean first = !stopped;
        stopped = true;
        state = null;
        extensions.onLeadershipLost();
        // This process no longer learns of elections: like a scheduler that does not vote, it knows the leader
        // from its grants.
        leader = "";
        voters = Set.of();
        return first;
    }

    /** Handles the extensions' data of this process's own renewal, sent at that instant. */
    void renewExtensions(long renewalSentAt) {
        if (state != null) {
            extensions.renewLocally(fleet.self().id(), renewalSentAt, policy::now);
        }
    }

    boolean isLeader() {
        return state != null;
    }

    /** True if schedulers must send their counts with renewals. */
    boolean needsTallies() {
        return trial.isEnabled();
    }

    /** Has a majority confirm that this is still the leader, and reads the state as of then. */
    private void confirm() {
        if (state == null || stopped) {
            return;
        }
        long intervalMicros = config.leaseMicros / CONFIRMATIONS_PER_LEASE;
        loop.deadlines().set(confirmTimer, loop.micros() + intervalMicros * 9 / 10, loop.micros() + intervalMicros);
        if (confirming) {
            confirmAgain = true;
            return;
        }
        confirming = true;
        LeaderState confirmed = state;
        long submittedAt = policy.now();
        voter.query(
                confirmed.term(), ledger -> new ConfirmedState(ledger.view(), extensions.partViews(ledger)), result -> {
                    confirming = false;
                    boolean repeat = confirmAgain;
                    confirmAgain = false;
                    if (state == confirmed && result instanceof ConfirmedState seen) {
                        onConfirmed(submittedAt, seen.view());
                        if (state == confirmed) {
                            extensions.onConfirmed(submittedAt, seen.parts());
                        }
                    }
                    if (repeat) {
                        confirm();
                    }
                });
    }

    /** The state of the changes and of the extensions' parts at one moment. */
    private record ConfirmedState(View view, Map<String, Object> parts) {}

    private void onConfirmed(long submittedAt, View confirmedView) {
        View before = view;
        view = confirmedView;
        state.onConfirmed(submittedAt, confirmedView);
        if (before != null && confirmedView.inForce() > before.inForce()) {
            trial.onApplied(policy.now(), before, confirmedView);
        }
        boolean isChanged = before == null
                || confirmedView.inForce() != before.inForce()
                || (confirmedView.open() == null ? 0 : confirmedView.open().number())
                        != (before.open() == null ? 0 : before.open().number());
        if (isChanged) {
            contents.clear();
            contents.put(confirmedView.inForce(), confirmedView.merged().toString());
            if (confirmedView.open() != null) {
                contents.put(
                        confirmedView.open().number(),
                        confirmedView.openMerged().toString());
            }
            step();
            broadcast(confirmedView.open() == null ? 0 : confirmedView.open().number());
        } else {
            step();
        }
    }

    // ---- schedulers ----

    private void onRenewal(Peer from, JsonObject message) {
        if (forwardToLeader(message)) {
            return;
        }
        if (state == null) {
            return;
        }
        String processId = message.get("who").getAsString();
        routes.put(processId, from);
        trial.onTallies(processId, message.getAsJsonArray("tallies"));
        state.onRenewal(policy.now(), processId, PolicyMessages.renewal(message));
        step();
        extensions.onRenewal(processId, message);
        sendGrant(processId, message.get("at").getAsLong());
    }

    /** Handles this process's own renewal; null if there is no grant for it. */
    Grant onRenewal(Renewal own, JsonArray tallies) {
        String processId = fleet.self().id();
        trial.onTallies(processId, tallies);
        state.onRenewal(policy.now(), processId, own);
        step();
        return state == null ? null : state.grant(policy.now(), processId);
    }

    /** Forwards a scheduler's message to the leader; false if this process is the leader. */
    private boolean forwardToLeader(JsonObject message) {
        if (state != null) {
            return false;
        }
        Peer leaderPeer = fleet.peer(leader());
        if (leaderPeer != null && !message.has("passed")) {
            message.addProperty("passed", fleet.self().name());
            leaderPeer.send(message);
        }
        return true;
    }

    /** Forwards the leader's message to a scheduler that is linked to this voter. */
    void forwardToScheduler(JsonObject message) {
        String processId = message.get("for").getAsString();
        Peer peer = fleet.acceptedPeer(processId);
        if (peer != null) {
            peer.send(message);
        }
    }

    void onSchedulerLeft(String processId) {
        if (state != null) {
            state.removeScheduler(processId);
            extensions.onSchedulerLeft(processId);
            routes.remove(processId);
            step();
        }
    }

    void onContentRequest(Peer from, JsonObject message) {
        if (forwardToLeader(message)) {
            return;
        }
        String processId = message.get("who").getAsString();
        if (from != null) {
            routes.put(processId, from);
        }
        sendContent(processId, message.get("number").getAsLong());
    }

    private void sendContent(String processId, long number) {
        String text = contents.get(number);
        if (text == null) {
            return;
        }
        JsonObject message = new JsonObject();
        message.addProperty("t", "content");
        message.addProperty("for", processId);
        message.addProperty("number", number);
        message.addProperty("policy", text);
        if (processId.equals(fleet.self().id())) {
            policy.onContent(message);
        } else if (routes.containsKey(processId)) {
            counters.add("policy.contents_sent");
            routes.get(processId).send(message);
        }
    }

    void sendGrant(String processId, long renewalSentAt) {
        Grant grant = state == null ? null : state.grant(policy.now(), processId);
        Peer route = routes.get(processId);
        if (processId.equals(fleet.self().id())) {
            policy.renewNow();
        } else if (grant != null && route != null) {
            JsonObject message =
                    PolicyMessages.grant(grant, processId, fleet.self().name(), renewalSentAt, voterNames);
            message.addProperty("trial", trial.isEnabled());
            extensions.addGrantData(message, processId, renewalSentAt < 0);
            route.send(message);
        }
    }

    /** Sends all schedulers a grant, preceded by the content of the open change, if any. */
    private void broadcast(long openNumber) {
        for (String processId : List.copyOf(routes.keySet())) {
            if (openNumber > 0) {
                sendContent(processId, openNumber);
            }
            sendGrant(processId, -1);
        }
        policy.renewNow();
    }

    // ---- decisions ----

    private void step() {
        if (state == null) {
            return;
        }
        Step step = state.step(policy.now());
        switch (step.operation()) {
            case APPLY -> replicateDecision(Ledger.apply(step.name(), System.currentTimeMillis()));
            case ABANDON -> replicateDecision(Ledger.abandon(step.name(), step.reasons(), System.currentTimeMillis()));
            default -> {}
        }
        if (step.broadcast()) {
            broadcast(0);
        }
        long next = state.nextCheckAt(policy.now());
        if (next == Long.MAX_VALUE) {
            loop.deadlines().cancel(stepTimer);
        } else {
            loop.deadlines().set(stepTimer, loop.micros() + Math.max(1, next - policy.now()));
        }
        rollBackIfWorse();
    }

    /** Replicates an operation of another ledger part, then has the state confirmed again. */
    void replicate(JsonObject operation, Consumer<JsonObject> callback) {
        voter.replicate(operation, answer -> {
            callback.accept(answer);
            confirm();
        });
    }

    private void replicateDecision(JsonObject operation) {
        LeaderState requester = state;
        voter.replicate(operation, answer -> {
            if (state == requester && answer == null) {
                // The operation's fate is unknown: the next confirmation shows it, and repeating the request does no
                // harm.
                requester.onDecisionFailed();
            }
            confirm();
        });
    }

    private void rollBackIfWorse() {
        JsonObject rollback = view == null || state == null ? null : trial.check(policy.now());
        if (rollback != null) {
            counters.add("policy.taken_back");
            LOG.warn(
                    "policy: {} is rolled back: {}",
                    rollback.get("of").getAsString(),
                    rollback.get("why").getAsString());
            propose(
                    rollback.get("name").getAsString(),
                    rollback.getAsJsonObject("types"),
                    "the trial: " + rollback.get("why").getAsString(),
                    answer -> {});
        }
    }

    // ---- requests of operators ----

    /**
     * Proposes a change; the answer is the change as it then is, an error, or null if the outcome is unknown.
     */
    void propose(String name, JsonObject types, String proposer, Consumer<JsonObject> callback) {
        voter.replicate(Ledger.propose(name, types, proposer, System.currentTimeMillis()), answer -> {
            confirm();
            callback.accept(answer);
        });
    }

    /**
     * Adds a voter, or replaces one that has lost its store. Answers null on success, else why it failed.
     *
     * @param replacing true if it was a voter before
     */
    void addVoter(String name, boolean replacing, Consumer<String> callback) {
        String storeId = group.storeId(name);
        boolean known = voterNamed(name) != null;
        if (replacing && !known && !config.voters.contains(name)) {
            callback.accept("'" + name + "' is not a voter; the voters are " + voters);
        } else if (!replacing && known && !voters.contains(storeId)) {
            callback.accept("'" + name + "' is already a voter, with another store: use --replace");
        } else if (!replacing && !known && voters.size() >= PolicyConfig.MAX_VOTERS) {
            callback.accept(voters.size() + " voters already; remove one first");
        } else if (storeId != null && voters.contains(storeId)) {
            callback.accept(name + " already votes with this store");
        } else if (!group.dial(name)) {
            callback.accept("[fleet.peers] has no address of '" + name + "' here");
        } else if (storeId == null || fleet.peer(name) == null) {
            callback.accept(name + " can't be reached from here yet, or has no [policy] dir" + RETRY_SUFFIX);
        } else if (!group.isEmpty(name) && !storeId.equals(invitedStore)) {
            callback.accept(name + "'s store has voted before: empty its [policy] dir and restart it");
        } else if (!group.invite(name)) {
            callback.accept(name + " can't be reached from here");
        } else {
            invitedStore = storeId;
            voter.addVoter(VoterId.parse(storeId), callback);
        }
    }

    /** Removes a voter. Answers null on success, else why it failed. */
    void removeVoter(String name, Consumer<String> callback) {
        String id = voterNamed(name);
        if (id == null) {
            callback.accept("'" + name + "' is not a voter; the voters are " + voters);
        } else if (voters.size() == 1) {
            callback.accept("'" + name + "' is the only voter: add another one first");
        } else if (id.equals(voter.self().text())) {
            voter.stepDown();
            callback.accept(name + " is the leader and hands over now" + RETRY_SUFFIX);
        } else {
            voter.removeVoter(VoterId.parse(id), callback);
        }
    }

    /** The id of the voter of that name, or null. */
    private String voterNamed(String name) {
        return voters.stream()
                .filter(id -> VoterId.parse(id).name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Reads the state as a majority holds it; the answer is null if that is unknown. */
    void read(RaftVoter.LedgerQuery query, Consumer<Object> callback) {
        if (state == null) {
            callback.accept(null);
        } else {
            voter.query(state.term(), query, callback);
        }
    }

    /** Name of the leader, or empty if unknown. */
    String leader() {
        return leader.isEmpty() ? policy.leader() : leader;
    }

    void addReport(JsonObject report) {
        JsonObject voterReport = new JsonObject();
        voterReport.addProperty("store", voter.self().text());
        voterReport.addProperty("votes", voter.isStarted() && !stopped);
        voterReport.addProperty("lost", group.isStoreLost());
        voterReport.addProperty("candidate", group.isCandidate());
        voterReport.addProperty("removed", group.isRemoved());
        JsonArray names = new JsonArray();
        voters.forEach(names::add);
        voterReport.add("voters", names);
        voterReport.addProperty("term", term);
        report.add("voter", voterReport);
        if (state == null || view == null) {
            return;
        }
        JsonObject leadership = new JsonObject();
        leadership.addProperty("in_force", view.inForce());
        leadership.addProperty("digest", view.digest());
        if (view.open() != null) {
            leadership.add("open", view.open().toJson(false));
            JsonArray awaited = new JsonArray();
            // The membership view only adds an explanation; what is waited for depends on leases alone.
            state.awaitedSchedulers(policy.now()).forEach(processId -> {
                String described = fleet.description(processId.substring(0, Math.max(0, processId.lastIndexOf('#'))));
                awaited.add(described.isEmpty() ? processId : processId + " (" + described + ")");
            });
            leadership.add("waits_for", awaited);
        }
        JsonArray schedulers = new JsonArray();
        state.schedulerStatuses(policy.now()).forEach(status -> {
            JsonObject scheduler = new JsonObject();
            scheduler.addProperty("who", status.processId());
            scheduler.addProperty("policy", status.activePolicy());
            scheduler.addProperty("heard_ms", status.lastRenewalMs());
            scheduler.addProperty("lease_ms", status.leaseMs());
            schedulers.add(scheduler);
        });
        leadership.add("schedulers", schedulers);
        report.add("leads", leadership);
    }
}
