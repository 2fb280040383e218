package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.fleet.Fleet;
import laneflow.fleet.Peer;
import laneflow.net.Loop;
import laneflow.policy.decision.Grant;
import laneflow.policy.decision.Lease;
import laneflow.policy.decision.LeaseSnapshot;
import laneflow.policy.decision.Renewal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A scheduler's part in policy changes. It renews the lease, reads and validates open changes, reports
 * whether it is ready for them, switches to an applied change at the instant named by the leader, and stops
 * deciding when the lease expires. On the control thread, except for the reading of policies. Requests ask
 * the {@link LeaseGate}, which gets its snapshots from here and reports the policies that it adopts.
 *
 * <p>The leader is found by asking any voter: one that is not the leader forwards the renewal.
 */
final class PolicyAgent {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyAgent.class);
    private static final int RENEWALS_PER_LEASE = 4;
    /** A voter that leaves so many renewals unanswered is skipped for the duration of a lease. */
    private static final int MAX_UNANSWERED = 2;

    private static final int MAX_PREPARED = 4;
    private static final double LOSS_REPORT_LEASE_SHARE = 0.1;

    private final Loop loop;
    private final Fleet fleet;
    private final LeaseGate gate;
    private final Runnable requestTallies;
    private final Counters counters;
    private final PolicyConfig config;
    private final PolicyTypes types;
    private final Executor reader;
    private final SplittableRandom random;
    private final LongSupplier clock;
    private final Lease lease = new Lease();
    private final Deadline renewalTimer;
    /** Policies read, by number; the configuration file's own is ready from the start. */
    private final TreeMap<Long, PolicyTypes.Prepared> prepared = new TreeMap<>();

    private final Set<Long> contentRequested = new HashSet<>();
    private final Map<String, Long> skippedUntil = new LinkedHashMap<>();
    private RenewalExtensions extensions = new RenewalExtensions(List.of());
    /** Null if this process does not vote. */
    private Leadership leadership;

    private String leader = "";
    private String target = "";
    private int unanswered;
    private long openNumber;
    private long adoptedPolicy;
    private List<String> waitsForRestart = List.of();
    private long lastRoundTrip;
    /** The classes' counts as last read; empty if the leader needs none. */
    private JsonArray tallies = new JsonArray();
    /** Since when the lease is lost: MAX_VALUE while it is held, MAX_VALUE - 1 once the loss was reported. */
    private long leaseLostAt = Long.MAX_VALUE - 1;
    /** Names of the current voters and of those in the configuration file. */
    private final List<String> voterNames;

    private JsonElement lastAnnouncedVoters;
    private boolean everDecided;
    private boolean stopped;

    /**
     * What the agent depends on.
     *
     * @param loop the control thread's
     * @param reader runs the reading of policies in order, on another thread
     * @param clock the clock for leases
     * @param requestTallies has the classes' counts read and passed to {@link #onTallies}
     */
    record Dependencies(
            Loop loop,
            Fleet fleet,
            Counters counters,
            PolicyConfig config,
            PolicyTypes types,
            Executor reader,
            long seed,
            LongSupplier clock,
            Runnable requestTallies) {}

    /** Creates an agent without a lease. */
    PolicyAgent(Dependencies deps, LeaseGate gate) {
        loop = deps.loop();
        fleet = deps.fleet();
        counters = deps.counters();
        config = deps.config();
        types = deps.types();
        reader = deps.reader();
        clock = deps.clock();
        requestTallies = deps.requestTallies();
        this.gate = gate;
        voterNames = new ArrayList<>(config.voters);
        random = new SplittableRandom(deps.seed());
        renewalTimer = loop.deadlines().create(this::renew);
        prepared.put(0L, types.read(new JsonObject()));
    }

    /** A process's clock for leases: monotonic, not cached, callable on any thread. */
    static LongSupplier clock(Loop loop, double rate) {
        long origin = loop.currentMicros();
        return () -> {
            long passed = loop.currentMicros() - origin;
            return origin + (rate == 1 ? passed : (long) (passed * rate));
        };
    }

    /** Starts to renew the lease. */
    void start(Leadership ownLeadership) {
        leadership = ownLeadership;
        fleet.handle("grant", this::onGrant);
        fleet.handle("content", (from, message) -> onContent(message));
        fleet.onLinkChange(
                peer -> {
                    if (decidingPolicy() < 0) {
                        renewNow();
                    }
                },
                peer -> {});
        config.voters.forEach(fleet::dial);
        renew();
    }

    /** Attaches the extensions; to be called before {@link #start}. */
    void attach(RenewalExtensions attached) {
        extensions = attached;
        attached.start(new RenewalExtension.Context() {
            @Override
            public long now() {
                return PolicyAgent.this.now();
            }

            @Override
            public void replicate(JsonObject operation, Consumer<JsonObject> then) {
                leadership.replicate(operation, then);
            }

            @Override
            public boolean isLeader() {
                return leadership != null && leadership.isLeader();
            }

            @Override
            public void read(String part, Consumer<Object> then) {
                if (isLeader()) {
                    leadership.read(ledger -> ledger.partView(part), then);
                } else {
                    then.accept(null);
                }
            }

            @Override
            public void sendGrant(String who) {
                leadership.sendGrant(who, -1);
            }

            @Override
            public void renewNow() {
                PolicyAgent.this.renewNow();
            }

            @Override
            public String leader() {
                return leadership != null ? leadership.leader() : leader;
            }

            @Override
            public long leaseMicros() {
                return config.leaseMicros;
            }
        });
    }

    /** Called when this process becomes a voter. */
    void becomeVoter(Leadership ownLeadership) {
        leadership = ownLeadership;
        renewNow();
    }

    /** Now, by this process's clock for leases. */
    long now() {
        return clock.getAsLong();
    }

    /** The policy by which requests are decided now, or -1. */
    private long decidingPolicy() {
        long number = stopped ? -1 : lease.policyAt(now());
        number = number == adoptedPolicy && everDecided ? number : -1;
        if (number >= 0) {
            leaseLostAt = Long.MAX_VALUE;
        } else if (leaseLostAt == Long.MAX_VALUE) {
            leaseLostAt = loop.micros();
        }
        return number;
    }

    /**
     * Reports the loss of the lease, once and only if it lasts: between two policies there is always a short
     * gap.
     */
    private void reportLeaseLoss() {
        if (decidingPolicy() < 0
                && everDecided
                && loop.micros() - leaseLostAt > config.leaseMicros * LOSS_REPORT_LEASE_SHARE) {
            leaseLostAt = Long.MAX_VALUE - 1;
            counters.add("policy.lease_lost");
            LOG.warn(
                    "policy: the lease has expired, {}",
                    config.servesWithoutLease
                            ? "serving on by policy " + adoptedPolicy + " as set by cut_off"
                            : "clients are refused");
        }
    }

    /** Publishes the lease to the gate before any message of this turn acknowledges it. */
    private void publish() {
        Map<Long, PolicyTypes.Prepared> usable = new HashMap<>();
        LeaseSnapshot snapshot = lease.snapshot();
        prepared.forEach((number, policy) -> {
            if (policy.findings.isEmpty() && (number == snapshot.current() || number == snapshot.next())) {
                usable.put(number, policy);
            }
        });
        gate.publish(new LeaseGate.Published(snapshot, Map.copyOf(usable)));
    }

    /**
     * Called when requests are decided by that policy; {@code waiting} lists what of it waits for a restart.
     */
    void onAdopted(long number, List<String> waiting) {
        adoptedPolicy = number;
        everDecided = true;
        waitsForRestart = waiting;
        prepared.headMap(number).clear();
        decidingPolicy();
    }

    /** Takes the classes' counts. */
    void onTallies(JsonArray counts) {
        tallies = counts;
    }

    // ---- renewing ----

    private void renew() {
        if (stopped) {
            return;
        }
        long period = config.leaseMicros / RENEWALS_PER_LEASE;
        loop.deadlines()
                .set(
                        renewalTimer,
                        loop.micros() + period * 17 / 20,
                        loop.micros() + period * 9 / 10 + random.nextLong(1 + period / 10));
        reportLeaseLoss();
        if (leadership != null && leadership.isLeader()) {
            leader = fleet.self().name();
            unanswered = 0;
            // The leader's stamp lies between these two readings, however long the process is suspended
            // meanwhile.
            long sentAt = now();
            if (leadership.needsTallies()) {
                requestTallies.run();
            }
            Grant own = leadership.onRenewal(buildRenewal(), tallies);
            if (own != null) {
                accept(own, sentAt, now());
            }
            leadership.renewExtensions(sentAt);
            return;
        }
        Peer peer = renewalTarget();
        if (peer != null) {
            unanswered++;
            JsonObject message = PolicyMessages.renewal(buildRenewal());
            message.addProperty("who", fleet.self().id());
            message.addProperty("at", now());
            message.add("tallies", tallies);
            extensions.addRenewalData(message);
            peer.send(message);
        }
    }

    /**
     * Sends a renewal in this turn or the next because something has changed; the following one is due a
     * period later.
     */
    void renewNow() {
        if (!stopped) {
            loop.deadlines().set(renewalTimer, loop.micros());
        }
    }

    /** The leader if it is known and answers, else any linked voter; null if there is none. */
    private Peer renewalTarget() {
        if (unanswered >= MAX_UNANSWERED && !target.isEmpty()) {
            skippedUntil.put(target, loop.micros() + config.leaseMicros);
            target = "";
            unanswered = 0;
        }
        skippedUntil.values().removeIf(until -> until <= loop.micros());
        Peer leaderPeer = fleet.peer(leader);
        if (leaderPeer != null && !skippedUntil.containsKey(leader)) {
            target = leader;
            return leaderPeer;
        }
        Peer currentPeer = fleet.peer(target);
        if (currentPeer != null && !skippedUntil.containsKey(target)) {
            return currentPeer;
        }
        List<String> candidates = new ArrayList<>(voterNames);
        candidates.removeIf(name -> fleet.peer(name) == null || skippedUntil.containsKey(name));
        if (candidates.isEmpty()) {
            skippedUntil.clear();
            return null;
        }
        target = candidates.get(random.nextInt(candidates.size()));
        return fleet.peer(target);
    }

    private Renewal buildRenewal() {
        Set<Long> ready = new HashSet<>();
        long refused = 0;
        List<String> reasons = List.of();
        for (Map.Entry<Long, PolicyTypes.Prepared> entry : prepared.entrySet()) {
            if (entry.getValue().findings.isEmpty()) {
                ready.add(entry.getKey());
            } else if (entry.getKey() == openNumber) {
                refused = openNumber;
                reasons = entry.getValue().findings;
            }
        }
        // Active is what the traffic thread has adopted, however long that takes it.
        long activePolicy = everDecided ? Math.min(adoptedPolicy, lease.current()) : -1;
        return new Renewal(lease.term(), lease.seq(), activePolicy, ready, refused, reasons, lastRoundTrip);
    }

    /** Handles a grant that came over a link. */
    private void onGrant(Peer from, JsonObject message) {
        if (!message.get("for").getAsString().equals(fleet.self().id())) {
            if (leadership != null) {
                leadership.forwardToScheduler(message);
            }
            return;
        }
        long renewalSentAt = message.get("at").getAsLong();
        long now = now();
        if (renewalSentAt >= 0) {
            unanswered = 0;
            lastRoundTrip = now - renewalSentAt;
        }
        Grant grant = PolicyMessages.grant(message);
        if (grant.term() >= lease.term()) {
            leader = message.get("leader").getAsString();
            updateVoters(message.get("voters"));
        }
        accept(grant, renewalSentAt, now);
        // Leaders of builds that don't send this field always need the counts.
        if (renewalSentAt >= 0 && (!message.has("trial") || message.get("trial").getAsBoolean())) {
            requestTallies.run();
        }
        extensions.onGrant(message, renewalSentAt, now);
        if (renewalSentAt < 0) {
            // The leader waits for the acknowledgement of an unsolicited grant.
            renewNow();
        }
    }

    /**
     * Takes the current voters from a grant, if the leader's build sends them: they may differ from the
     * file's.
     */
    private void updateVoters(JsonElement announced) {
        if (announced == null || announced.equals(lastAnnouncedVoters)) {
            return;
        }
        lastAnnouncedVoters = announced;
        voterNames.clear();
        announced.getAsJsonArray().forEach(element -> voterNames.add(element.getAsString()));
        voterNames.removeIf(name -> fleet.address(name) == null);
        voterNames.forEach(fleet::dial);
        // The file's voters stay as candidates: what was announced may become outdated.
        config.voters.stream().filter(name -> !voterNames.contains(name)).forEach(voterNames::add);
    }

    private void accept(Grant grant, long sentAt, long receivedAt) {
        if (!lease.accept(grant, sentAt, receivedAt)) {
            counters.add("policy.old_grants");
            return;
        }
        openNumber = grant.open();
        publish();
        requestContent(grant.number());
        requestContent(openNumber);
        decidingPolicy();
    }

    // ---- preparing policies ----

    private void requestContent(long number) {
        if (number <= 0 || prepared.containsKey(number) || contentRequested.contains(number)) {
            return;
        }
        contentRequested.add(number);
        JsonObject message = new JsonObject();
        message.addProperty("t", "want");
        message.addProperty("who", fleet.self().id());
        message.addProperty("number", number);
        Peer peer = renewalTarget();
        if (leadership != null && leadership.isLeader()) {
            leadership.onContentRequest(null, message);
        } else if (peer != null) {
            peer.send(message);
        }
        // The request may be lost: it is repeated.
        loop.deadlines().at(loop.micros() + config.leaseMicros / RENEWALS_PER_LEASE, () -> {
            if (contentRequested.remove(number) && !prepared.containsKey(number)) {
                renewNow();
            }
        });
    }

    /** Handles a policy's content: it is read on another thread, and the next renewal reports the result. */
    void onContent(JsonObject message) {
        if (message.has("for")
                && !message.get("for").getAsString().equals(fleet.self().id())) {
            if (leadership != null) {
                leadership.forwardToScheduler(message);
            }
            return;
        }
        long number = message.get("number").getAsLong();
        String text = message.get("policy").getAsString();
        if (prepared.containsKey(number) || number < adoptedPolicy) {
            return;
        }
        try {
            reader.execute(() -> {
                PolicyTypes.Prepared parsed =
                        types.read(JsonParser.parseString(text).getAsJsonObject());
                runOnLoop(() -> onPrepared(number, parsed));
            });
        } catch (RejectedExecutionException e) {
            LOG.warn("policy: too many policies wait to be read");
        }
    }

    private void runOnLoop(Runnable call) {
        try {
            loop.later(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("the loop has ended");
        }
    }

    private void onPrepared(long number, PolicyTypes.Prepared parsed) {
        contentRequested.remove(number);
        prepared.put(number, parsed);
        while (prepared.size() > MAX_PREPARED && prepared.firstKey() < adoptedPolicy) {
            prepared.pollFirstEntry();
        }
        if (!parsed.findings.isEmpty()) {
            counters.add("policy.refused");
            LOG.warn("policy {} is rejected by this scheduler: {}", number, String.join("; ", parsed.findings));
        }
        publish();
        renewNow();
    }

    // ---- shutdown ----

    /** Stops deciding and tells the leader, so that the others need not wait for this process's lease. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        loop.deadlines().cancel(renewalTimer);
        if (leadership != null && leadership.isLeader()) {
            leadership.onSchedulerLeft(fleet.self().id());
            return;
        }
        JsonObject message = new JsonObject();
        message.addProperty("t", "left");
        message.addProperty("who", fleet.self().id());
        Peer peer = fleet.peer(leader);
        if (peer != null) {
            peer.send(message);
        }
    }

    // ---- reports ----

    /** Name of the leader, or empty if unknown. */
    String leader() {
        return leader;
    }

    /** This scheduler's state, for reports. */
    JsonObject report() {
        long deciding = decidingPolicy();
        JsonObject report = new JsonObject();
        report.addProperty("scheduler", fleet.self().name());
        report.addProperty("life", fleet.self().instance());
        report.addProperty(
                "state",
                deciding >= 0
                        ? "deciding"
                        : config.servesWithoutLease && everDecided
                                ? "cut off, serving"
                                : config.servesWithoutLease ? "not decided yet, serving" : "not deciding");
        report.addProperty("policy", adoptedPolicy);
        report.addProperty("lease_ms", deciding >= 0 ? (lease.end() - now()) / 1000 : 0);
        report.addProperty("leader", leader);
        report.addProperty("term", lease.term());
        report.addProperty("open", openNumber);
        if (!waitsForRestart.isEmpty()) {
            JsonArray waiting = new JsonArray();
            waitsForRestart.forEach(waiting::add);
            report.add("restart_needed", waiting);
        }
        JsonElement refused = rejectedPolicies();
        if (refused != null) {
            report.add("turned_down", refused);
        }
        if (leadership != null) {
            leadership.addReport(report);
        }
        return report;
    }

    private JsonElement rejectedPolicies() {
        JsonObject rejected = new JsonObject();
        prepared.forEach((number, policy) -> {
            if (!policy.findings.isEmpty()) {
                JsonArray reasons = new JsonArray();
                policy.findings.forEach(reasons::add);
                rejected.add(String.valueOf(number), reasons);
            }
        });
        return rejected.size() == 0 ? null : rejected;
    }

    /** Parses a body; null if it is not a JSON object. */
    static JsonObject parseObject(byte[] body) {
        try {
            return JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }
}
