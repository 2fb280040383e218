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
 * A scheduler's part in changes of policy: it renews its lease, reads and checks what is to be decided, says
 * whether it is ready for it, begins with what was decided at the instant that the leader named, and stops
 * deciding where its lease has run out. On the control thread, but for reading; requests ask the
 * {@link LeaseGate}, which gets what holds from here and tells what it has adopted.
 *
 * <p>Who leads is found out by asking: a voter that does not lead passes a renewal on to the one that does.
 */
final class Policy {
    private static final Logger LOG = LoggerFactory.getLogger(Policy.class);
    private static final int RENEWALS_A_LEASE = 4;
    /** A voter that has not answered so many renewals is passed by for a lease. */
    private static final int MOST_UNANSWERED = 2;

    private static final int MOST_PREPARED = 4;
    private static final double TOLD_AFTER_PART = 0.1;

    private final Loop loop;
    private final Fleet fleet;
    private final LeaseGate gate;
    private final Runnable tally;
    private final Counters counters;
    private final PolicyConfig config;
    private final PolicyTypes types;
    private final Executor reading;
    private final SplittableRandom random;
    private final LongSupplier clock;
    private final Lease lease = new Lease();
    private final Deadline renewal;
    /** What was read, by number; the own file is ready from the start. */
    private final TreeMap<Long, PolicyTypes.Prepared> prepared = new TreeMap<>();

    private final Set<Long> asked = new HashSet<>();
    private final Map<String, Long> passedBy = new LinkedHashMap<>();
    private RenewalExtensions riders = new RenewalExtensions(List.of());
    /** Null where this process does not vote. */
    private Leadership leadership;

    private String leader = "";
    private String target = "";
    private int unanswered;
    private long open;
    private long adopted;
    private List<String> waitsForRestart = List.of();
    private long lastRoundTrip;
    /** Classes' counts as they were when they were last asked for; empty where the leader needs none. */
    private JsonArray tallies = new JsonArray();
    /** Since when it has no leave; the largest number while it has, the next to it once that was told. */
    private long stoppedAt = Long.MAX_VALUE - 1;
    /** Whom to ask: those who vote, and those of the file. */
    private final List<String> voters;

    private JsonElement toldVoters;
    private boolean everDecided;
    private boolean left;

    /**
     * What it is made of.
     *
     * @param loop of the control thread
     * @param reading a thread that reads policies, one after the other
     * @param clock the lease's
     * @param tally has the classes' counts read, and told by {@link #tallied}
     */
    record Parts(
            Loop loop,
            Fleet fleet,
            Counters counters,
            PolicyConfig config,
            PolicyTypes types,
            Executor reading,
            long seed,
            LongSupplier clock,
            Runnable tally) {}

    /** One that may not decide yet. */
    Policy(Parts parts, LeaseGate gate) {
        loop = parts.loop();
        fleet = parts.fleet();
        counters = parts.counters();
        config = parts.config();
        types = parts.types();
        reading = parts.reading();
        clock = parts.clock();
        tally = parts.tally();
        this.gate = gate;
        voters = new ArrayList<>(config.voters);
        random = new SplittableRandom(parts.seed());
        renewal = loop.deadlines().create(this::renew);
        prepared.put(0L, types.read(new JsonObject()));
    }

    /** A process's clock for leases: monotonic, read now, by any thread. */
    static LongSupplier clock(Loop loop, double rate) {
        long origin = loop.currentMicros();
        return () -> {
            long passed = loop.currentMicros() - origin;
            return origin + (rate == 1 ? passed : (long) (passed * rate));
        };
    }

    /** Begins to ask for leave to decide. */
    void begin(Leadership own) {
        leadership = own;
        fleet.handle("grant", this::granted);
        fleet.handle("content", (from, message) -> content(message));
        fleet.onLinkChange(
                peer -> {
                    if (deciding() < 0) {
                        renewNow();
                    }
                },
                peer -> {});
        config.voters.forEach(fleet::dial);
        renew();
    }

    /** From now on that rides on renewals; before {@link #begin}. */
    void carry(RenewalExtensions with) {
        riders = with;
        with.ride(new RenewalExtension.Carriage() {
            @Override
            public long now() {
                return Policy.this.now();
            }

            @Override
            public void replicate(JsonObject operation, Consumer<JsonObject> then) {
                leadership.replicate(operation, then);
            }

            @Override
            public boolean leads() {
                return leadership != null && leadership.leads();
            }

            @Override
            public void read(String part, Consumer<Object> then) {
                if (leads()) {
                    leadership.read(ledger -> ledger.part(part), then);
                } else {
                    then.accept(null);
                }
            }

            @Override
            public void tell(String who) {
                leadership.tell(who, -1);
            }

            @Override
            public void renewNow() {
                Policy.this.renewNow();
            }

            @Override
            public String leader() {
                return leadership != null ? leadership.leader() : leader;
            }

            @Override
            public long lease() {
                return config.lease;
            }
        });
    }

    /** This process votes from now on, too. */
    void votes(Leadership own) {
        leadership = own;
        renewNow();
    }

    /** This process's clock for leases. */
    long now() {
        return clock.getAsLong();
    }

    /** The policy by which requests are decided on now, or -1. */
    private long deciding() {
        long number = left ? -1 : lease.deciding(now());
        number = number == adopted && everDecided ? number : -1;
        if (number >= 0) {
            stoppedAt = Long.MAX_VALUE;
        } else if (stoppedAt == Long.MAX_VALUE) {
            stoppedAt = loop.micros();
        }
        return number;
    }

    /** Between two policies it decides by none for a moment; told is what lasts, once. */
    private void tellLoss() {
        if (deciding() < 0 && everDecided && loop.micros() - stoppedAt > config.lease * TOLD_AFTER_PART) {
            stoppedAt = Long.MAX_VALUE - 1;
            counters.add("policy.lease_lost");
            LOG.warn(
                    "policy: no leave to decide any more, {}",
                    config.servesCutOff
                            ? "served on by policy " + adopted + " as cut_off says"
                            : "clients are turned away");
        }
    }

    /** What holds goes to where requests are taken, before this turn tells anybody that it is obeyed. */
    private void publish() {
        Map<Long, PolicyTypes.Prepared> ready = new HashMap<>();
        LeaseSnapshot leave = lease.leave();
        prepared.forEach((number, read) -> {
            if (read.findings.isEmpty() && (number == leave.number() || number == leave.next())) {
                ready.put(number, read);
            }
        });
        gate.publish(new LeaseGate.Published(leave, Map.copyOf(ready)));
    }

    /** Requests are decided on by that policy now, of which this waits for a restart. */
    void adopted(long number, List<String> waits) {
        adopted = number;
        everDecided = true;
        waitsForRestart = waits;
        prepared.headMap(number).clear();
        deciding();
    }

    /** The classes' counts. */
    void tallied(JsonArray counts) {
        tallies = counts;
    }

    // ---- renewing ----

    private void renew() {
        if (left) {
            return;
        }
        long every = config.lease / RENEWALS_A_LEASE;
        loop.deadlines()
                .set(
                        renewal,
                        loop.micros() + every * 17 / 20,
                        loop.micros() + every * 9 / 10 + random.nextLong(1 + every / 10));
        tellLoss();
        if (leadership != null && leadership.leads()) {
            leader = fleet.self().name();
            unanswered = 0;
            // Its stamp lies between these two readings, however long the process stood still meanwhile.
            long asked = now();
            if (leadership.tries()) {
                tally.run();
            }
            Grant own = leadership.renewed(renewalOf(), tallies);
            if (own != null) {
                take(own, asked, now());
            }
            leadership.ride(asked);
            return;
        }
        Peer to = whom();
        if (to != null) {
            unanswered++;
            JsonObject message = Words.renewal(renewalOf());
            message.addProperty("who", fleet.self().id());
            message.addProperty("at", now());
            message.add("tallies", tallies);
            riders.say(message);
            to.send(message);
        }
    }

    /** In this turn or the next, and not again until the next is due: something has changed. */
    void renewNow() {
        if (!left) {
            loop.deadlines().set(renewal, loop.micros());
        }
    }

    /** The voter that leads, as far as is known and it answers; else the next one that a link is up to. */
    private Peer whom() {
        if (unanswered >= MOST_UNANSWERED && !target.isEmpty()) {
            passedBy.put(target, loop.micros() + config.lease);
            target = "";
            unanswered = 0;
        }
        passedBy.values().removeIf(until -> until <= loop.micros());
        Peer lead = fleet.peer(leader);
        if (lead != null && !passedBy.containsKey(leader)) {
            target = leader;
            return lead;
        }
        Peer now = fleet.peer(target);
        if (now != null && !passedBy.containsKey(target)) {
            return now;
        }
        List<String> all = new ArrayList<>(voters);
        all.removeIf(name -> fleet.peer(name) == null || passedBy.containsKey(name));
        if (all.isEmpty()) {
            passedBy.clear();
            return null;
        }
        target = all.get(random.nextInt(all.size()));
        return fleet.peer(target);
    }

    private Renewal renewalOf() {
        Set<Long> ready = new HashSet<>();
        long refused = 0;
        List<String> reasons = List.of();
        for (Map.Entry<Long, PolicyTypes.Prepared> one : prepared.entrySet()) {
            if (one.getValue().findings.isEmpty()) {
                ready.add(one.getKey());
            } else if (one.getKey() == open) {
                refused = open;
                reasons = one.getValue().findings;
            }
        }
        // Begun with is what the traffic's thread has adopted, however long that has taken it.
        long begun = everDecided ? Math.min(adopted, lease.begun()) : -1;
        return new Renewal(lease.term(), lease.seq(), begun, ready, refused, reasons, lastRoundTrip);
    }

    /** A leader's word that came over a link. */
    private void granted(Peer from, JsonObject message) {
        if (!message.get("for").getAsString().equals(fleet.self().id())) {
            if (leadership != null) {
                leadership.passBack(message);
            }
            return;
        }
        long at = message.get("at").getAsLong();
        long now = now();
        if (at >= 0) {
            unanswered = 0;
            lastRoundTrip = now - at;
        }
        Grant grant = Words.grant(message);
        if (grant.term() >= lease.term()) {
            leader = message.get("leader").getAsString();
            voters(message.get("voters"));
        }
        take(grant, at, now);
        // Builds that do not say always want them.
        if (at >= 0 && (!message.has("trial") || message.get("trial").getAsBoolean())) {
            tally.run();
        }
        riders.told(message, at, now);
        if (at < 0) {
            // It waits to hear that this is obeyed.
            renewNow();
        }
    }

    /** Who votes now, where the leader's build says so: they may be others than in the file. */
    private void voters(JsonElement told) {
        if (told == null || told.equals(toldVoters)) {
            return;
        }
        toldVoters = told;
        voters.clear();
        told.getAsJsonArray().forEach(one -> voters.add(one.getAsString()));
        voters.removeIf(name -> fleet.address(name) == null);
        voters.forEach(fleet::dial);
        // Those of the file as well: what was told may be old one day.
        config.voters.stream().filter(name -> !voters.contains(name)).forEach(voters::add);
    }

    private void take(Grant grant, long sentAt, long heardAt) {
        if (!lease.take(grant, sentAt, heardAt)) {
            counters.add("policy.old_grants");
            return;
        }
        open = grant.open();
        publish();
        want(grant.number());
        want(open);
        deciding();
    }

    // ---- making ready ----

    private void want(long number) {
        if (number <= 0 || prepared.containsKey(number) || asked.contains(number)) {
            return;
        }
        asked.add(number);
        JsonObject message = new JsonObject();
        message.addProperty("t", "want");
        message.addProperty("who", fleet.self().id());
        message.addProperty("number", number);
        Peer to = whom();
        if (leadership != null && leadership.leads()) {
            leadership.wanted(null, message);
        } else if (to != null) {
            to.send(message);
        }
        // Lost, it is asked for again.
        loop.deadlines().at(loop.micros() + config.lease / RENEWALS_A_LEASE, () -> {
            if (asked.remove(number) && !prepared.containsKey(number)) {
                renewNow();
            }
        });
    }

    /** A policy's content: it is read off the loop, and whether it is fit goes with the next renewal. */
    void content(JsonObject message) {
        if (message.has("for")
                && !message.get("for").getAsString().equals(fleet.self().id())) {
            if (leadership != null) {
                leadership.passBack(message);
            }
            return;
        }
        long number = message.get("number").getAsLong();
        String text = message.get("policy").getAsString();
        if (prepared.containsKey(number) || number < adopted) {
            return;
        }
        try {
            reading.execute(() -> {
                PolicyTypes.Prepared read =
                        types.read(JsonParser.parseString(text).getAsJsonObject());
                back(() -> made(number, read));
            });
        } catch (RejectedExecutionException e) {
            LOG.warn("policy: too much waits to be read");
        }
    }

    private void back(Runnable call) {
        try {
            loop.later(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("the loop has ended");
        }
    }

    private void made(long number, PolicyTypes.Prepared read) {
        asked.remove(number);
        prepared.put(number, read);
        while (prepared.size() > MOST_PREPARED && prepared.firstKey() < adopted) {
            prepared.pollFirstEntry();
        }
        if (!read.findings.isEmpty()) {
            counters.add("policy.refused");
            LOG.warn("policy {} is turned down here: {}", number, String.join("; ", read.findings));
        }
        publish();
        renewNow();
    }

    // ---- the end ----

    /** This process decides no more, and says so: the others need not wait for its lease. */
    void leave() {
        if (left) {
            return;
        }
        left = true;
        loop.deadlines().cancel(renewal);
        if (leadership != null && leadership.leads()) {
            leadership.left(fleet.self().id());
            return;
        }
        JsonObject message = new JsonObject();
        message.addProperty("t", "left");
        message.addProperty("who", fleet.self().id());
        Peer to = fleet.peer(leader);
        if (to != null) {
            to.send(message);
        }
    }

    // ---- reports ----

    /** The leader as far as is known, or empty. */
    String leader() {
        return leader;
    }

    /** How things stand here, for whoever asks. */
    JsonObject report() {
        long deciding = deciding();
        JsonObject all = new JsonObject();
        all.addProperty("scheduler", fleet.self().name());
        all.addProperty("life", fleet.self().instance());
        all.addProperty(
                "state",
                deciding >= 0
                        ? "deciding"
                        : config.servesCutOff && everDecided
                                ? "cut off, serving"
                                : config.servesCutOff ? "not decided yet, serving" : "not deciding");
        all.addProperty("policy", adopted);
        all.addProperty("lease_ms", deciding >= 0 ? (lease.stop() - now()) / 1000 : 0);
        all.addProperty("leader", leader);
        all.addProperty("term", lease.term());
        all.addProperty("open", open);
        if (!waitsForRestart.isEmpty()) {
            JsonArray waits = new JsonArray();
            waitsForRestart.forEach(waits::add);
            all.add("restart_needed", waits);
        }
        JsonElement refused = refused();
        if (refused != null) {
            all.add("turned_down", refused);
        }
        if (leadership != null) {
            leadership.report(all);
        }
        return all;
    }

    private JsonElement refused() {
        JsonObject all = new JsonObject();
        prepared.forEach((number, read) -> {
            if (!read.findings.isEmpty()) {
                JsonArray reasons = new JsonArray();
                read.findings.forEach(reasons::add);
                all.add(String.valueOf(number), reasons);
            }
        });
        return all.size() == 0 ? null : all;
    }

    /** Reads a body; null if it is no JSON object. */
    static JsonObject object(byte[] body) {
        try {
            return JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }
}
