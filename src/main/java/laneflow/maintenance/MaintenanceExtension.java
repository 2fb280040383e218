package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.maintenance.decision.Sending;
import laneflow.maintenance.decision.WindowLedger;
import laneflow.net.Loop;
import laneflow.policy.RenewalExtension;
import laneflow.policy.decision.Ledger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintenance windows in a process, as far as they ride on policy's renewals: each scheduler tells whether
 * it still has calls at what is banned, and a coordinator its orders; the leader tells a coordinator how
 * things stand, and puts its orders into the log. On the control thread. Also where a file has no table for
 * windows: whoever decides by the fleet's policy has to say when it has stopped sending.
 */
public final class MaintenanceExtension implements RenewalExtension {
    private static final Logger LOG = LoggerFactory.getLogger(MaintenanceExtension.class);
    private static final int LOST_AFTER = 3;
    private static final double HALF_MS = 60_000;
    /** So soon a call that was out is looked for again. */
    private static final long AGAIN = 20_000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Counters counters;
    /** Null where this file has no table for windows. */
    private final MaintenanceConfig config;

    private final CallWatch watch;
    private final Deadline again;
    private Context by;
    /** What this process saw of itself last; null before the first look. */
    private CallWatch.Seen seen;

    private double[][] demand = new double[0][];
    private long demandAt;
    private boolean toldOnce;
    /** Null where this process coordinates nothing. */
    private Coordination coordination;
    /** Milliseconds of the longest deadline of a class that was ever in force here. */
    private long longest;

    // ---- while this process leads ----

    /** Null where it does not lead. */
    private Sending sending;

    private int term;
    private WindowLedger.View view;
    private final Map<String, Follower> followers = new HashMap<>();

    /** One that rides here, as the leader knows it. */
    private static final class Follower {
        private double[][] demand = new double[0][];
        private long heardAt;
        /** The coordinator's token, or negative. */
        private long token = -1;

        private String known = "";
        private long taken;
        private int open;
        private long answeredAt;
        private long done;
    }

    /**
     * Rides from here on.
     *
     * @param policy the one in force, on the traffic's thread
     * @param config null where this file has no table for windows
     */
    public MaintenanceExtension(
            Loop loop,
            Loop traffic,
            Scheduler scheduler,
            Counters counters,
            LongSupplier policy,
            MaintenanceConfig config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.counters = counters;
        this.config = config;
        watch = new CallWatch(
                loop, traffic, scheduler, policy, config == null ? LOST_AFTER : config.lostAfter, this::seen);
        again = loop.deadlines().create(watch::look);
        // One that leads before its first look must not hold calls for shorter than they are.
        longest = CallWatch.longest(scheduler);
    }

    /** This process takes part in coordinating. */
    void coordinate(Coordination by) {
        coordination = by;
    }

    Context carriage() {
        return by;
    }

    // ---- as a rider: at a scheduler ----

    @Override
    public String ledgerPart() {
        return WindowLedger.NAME;
    }

    @Override
    public void start(Context carriage) {
        by = carriage;
    }

    private void seen(CallWatch.Seen now) {
        boolean news = seen == null
                || seen.policy() != now.policy()
                || !seen.busy().equals(now.busy())
                || !seen.lost().equals(now.lost());
        seen = now;
        peak(now.demand());
        longest = Math.max(longest, now.longest());
        if (sending != null) {
            sending.longest(callsLast());
        }
        if (!now.busy().isEmpty()) {
            loop.deadlines().set(again, loop.micros() + AGAIN);
        }
        if (news) {
            by.renewNow();
        }
    }

    /**
     * The most that was asked for of late, its memory decaying: in a shortage requests are refused at once,
     * and what is open then says nothing of what is missing.
     */
    private void peak(double[][] open) {
        long passed = loop.micros() - demandAt;
        demandAt = loop.micros();
        double half = 1000 * (config == null ? HALF_MS : config.demandHalf);
        double left = Math.pow(0.5, passed / half);
        for (int t = 0; t < open.length; t++) {
            for (int k = 0; k < open[t].length; k++) {
                boolean known = t < demand.length && k < demand[t].length;
                open[t][k] = Math.max(open[t][k], known ? demand[t][k] * left : 0);
            }
        }
        demand = open;
    }

    @Override
    public JsonElement renewalData() {
        if (config == null && scheduler.banned().isEmpty() && !toldOnce) {
            return null;
        }
        // Behind a first word it goes on: what was said once must not stand for ever.
        toldOnce = config != null || !scheduler.banned().isEmpty();
        watch.look();
        if (seen == null) {
            return null;
        }
        JsonObject all = new JsonObject();
        all.addProperty("policy", seen.policy());
        all.add("busy", CoordinatorSnapshot.texts(seen.busy()));
        all.add("lost", CoordinatorSnapshot.texts(seen.lost()));
        all.add("demand", CoordinatorSnapshot.rows(demand));
        if (coordination != null) {
            coordination.say(all);
        }
        return all;
    }

    @Override
    public void onGrant(JsonElement word, long sentAt, long heardAt) {
        if (coordination != null) {
            coordination.told(word.getAsJsonObject());
        }
    }

    // ---- as a rider: at the leader ----

    @Override
    public void onElected(int now) {
        term = now;
        view = null;
        followers.clear();
        sending = new Sending(by.now(), by.leaseMicros(), callsLast());
        watch.look();
    }

    /** Microseconds for which a call may be out. */
    private long callsLast() {
        return config == null || config.silent < 0 ? longest * 1000 : config.silent;
    }

    @Override
    public void onLeadershipLost() {
        sending = null;
        view = null;
        followers.clear();
    }

    @Override
    public void onConfirmed(long submittedAt, Object part) {
        if (sending == null) {
            return;
        }
        view = (WindowLedger.View) part;
        for (Map.Entry<String, Follower> one : followers.entrySet()) {
            Follower follower = one.getValue();
            if (follower.open == 0 && follower.done < follower.taken && submittedAt >= follower.answeredAt) {
                follower.done = follower.taken;
                by.sendGrant(one.getKey());
            }
        }
    }

    @Override
    public void onRenewal(String who, JsonElement word) {
        if (sending == null || !word.isJsonObject()) {
            return;
        }
        JsonObject said = word.getAsJsonObject();
        long now = by.now();
        sending.heard(
                now,
                who,
                new Sending.Said(
                        said.get("policy").getAsLong(),
                        CoordinatorSnapshot.texts(said, "busy"),
                        CoordinatorSnapshot.texts(said, "lost")));
        Follower follower = followers.computeIfAbsent(who, name -> new Follower());
        follower.heardAt = now;
        follower.demand = CoordinatorSnapshot.rows(said.getAsJsonArray("demand"));
        follower.token = said.has("token") ? said.get("token").getAsLong() : -1;
        follower.known = said.has("known") ? said.get("known").getAsString() : "";
        if (said.has("ops") && said.get("id").getAsLong() > follower.taken && follower.open == 0) {
            follower.taken = said.get("id").getAsLong();
            carryOut(who, follower, said.getAsJsonArray("ops"));
        }
    }

    private void carryOut(String who, Follower follower, JsonArray ops) {
        follower.open = ops.size();
        for (JsonElement each : ops) {
            JsonObject op = each.getAsJsonObject();
            boolean own =
                    op.has(Ledger.PART) && op.get(Ledger.PART).getAsString().equals(WindowLedger.NAME);
            boolean bans = op.has("by") && op.get("by").getAsString().equals(WindowLedger.NAME);
            if (!own && !bans) {
                follower.open--;
                LOG.warn("maintenance: {} orders what is no coordinator's: {}", who, op);
                continue;
            }
            by.replicate(op, answer -> {
                follower.open--;
                follower.answeredAt = by.now();
                counters.add(answer == null || answer.has("error") ? "maintenance.turned_down" : "maintenance.logged");
                if (answer != null && answer.has("error")) {
                    LOG.info("maintenance: {}", answer.get("error").getAsString());
                }
            });
        }
    }

    @Override
    public JsonElement grantData(String who, boolean unasked) {
        if (sending == null) {
            return null;
        }
        sending.told(by.now(), who);
        Follower follower = followers.get(who);
        if (follower == null || follower.token < 0 || view == null) {
            return null;
        }
        CoordinatorSnapshot picture = picture(follower.done);
        return picture.json(follower.known.equals(term + "/" + view.version()));
    }

    @Override
    public void onSchedulerLeft(String who) {
        if (sending != null) {
            sending.left(who);
            followers.remove(who);
        }
    }

    // ---- what the leader knows ----

    /** Null where this process does not lead, or no majority has confirmed it yet. */
    CoordinatorSnapshot picture(long done) {
        if (sending == null || view == null) {
            return null;
        }
        long now = by.now();
        Set<String> clear = new TreeSet<>();
        view.racks()
                .values()
                .forEach(names -> names.forEach(name -> {
                    if (view.bans().contains(name)
                            && sending.sending(now, view.inForce(), name).isEmpty()) {
                        clear.add(name);
                    }
                }));
        double[][] demand = new double[0][];
        for (Follower one : followers.values()) {
            if (now - one.heardAt <= by.leaseMicros()) {
                demand = demand.length < one.demand.length ? larger(one.demand, demand) : demand;
                if (demand != one.demand) {
                    CoordinatorSnapshot.add(demand, one.demand);
                }
            }
        }
        return new CoordinatorSnapshot(
                term, view, clear, sending.hasBegun(now, view.inForce()), sending.lost(now), demand, done);
    }

    private static double[][] larger(double[][] form, double[][] with) {
        double[][] all = new double[form.length][];
        for (int i = 0; i < form.length; i++) {
            all[i] = new double[form[i].length];
        }
        CoordinatorSnapshot.add(all, with);
        return all;
    }

    /** Who still sends, or may, to racks of that window; at the leader. */
    List<String> sends(List<String> racks) {
        Set<String> all = new TreeSet<>();
        for (String rack : view == null ? List.<String>of() : racks) {
            for (String name : view.racks().getOrDefault(rack, List.of())) {
                all.addAll(sending.sending(by.now(), view.inForce(), name));
            }
        }
        return new ArrayList<>(all);
    }

    /** The process that coordinates, as the leader has heard, and its token; or null. */
    Map.Entry<String, Long> coordinator() {
        String who = null;
        long token = -1;
        for (Map.Entry<String, Follower> one : followers.entrySet()) {
            if (one.getValue().token > token && by.now() - one.getValue().heardAt <= by.leaseMicros()) {
                who = one.getKey();
                token = one.getValue().token;
            }
        }
        return who == null ? null : Map.entry(who, token);
    }
}
