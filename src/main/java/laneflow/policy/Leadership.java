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
import laneflow.policy.decision.Lead;
import laneflow.policy.decision.Lead.Step;
import laneflow.policy.decision.Ledger;
import laneflow.policy.decision.Ledger.View;
import laneflow.policy.decision.Renewal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A voter's part besides voting: while it leads it has a majority confirm that, hears the schedulers'
 * renewals, grants leases, and carries changes through; while it does not lead it passes renewals on to the
 * voter that does. On the loop's thread.
 */
final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    /** So end reasons that pass by themselves. */
    static final String ASK_AGAIN = "; ask again";

    private static final int ROUNDS_A_LEASE = 4;
    private static final int QUIET_PARTS = 2;

    private final Loop loop;
    private final Fleet fleet;
    private final PolicyConfig config;
    private final Counters counters;
    private final Voting voting;
    private final VoterGroup group;
    private final Policy policy;
    private final FleetTrial trial;
    private final RenewalExtensions riders;
    private final Deadline round;
    private final Deadline look;
    /** How each scheduler is reached: by the link of its last renewal. */
    private final Map<String, Peer> routes = new HashMap<>();

    private final Map<Long, String> contents = new LinkedHashMap<>();
    private Lead lead;
    private View view;
    private int term;
    private String leader = "";
    private Set<String> voters = Set.of();
    /** By which names they go; each grant tells. */
    private JsonArray voterNames = new JsonArray();

    private boolean looking;
    private boolean lookAgain;
    private boolean stopped;
    /** The store that this leader has last asked to begin. */
    private String invited = "";

    Leadership(
            Loop loop,
            Fleet fleet,
            PolicyConfig config,
            Counters counters,
            Voting voting,
            VoterGroup group,
            Policy policy,
            FleetTrial trial,
            RenewalExtensions riders) {
        this.loop = loop;
        this.fleet = fleet;
        this.config = config;
        this.counters = counters;
        this.voting = voting;
        this.group = group;
        this.policy = policy;
        this.trial = trial;
        this.riders = riders;
        round = loop.deadlines().create(this::confirm);
        look = loop.deadlines().create(this::step);
    }

    void begin() {
        fleet.handle("renew", this::renewed);
        fleet.handle("want", (from, message) -> wanted(from, message));
        fleet.handle("left", (from, message) -> {
            if (!passOn(message)) {
                left(message.get("who").getAsString());
            }
        });
        fleet.onLinkChange(peer -> group.linked(), peer -> {
            group.linked();
            routes.values().removeIf(route -> route == peer);
        });
    }

    // ---- who leads ----

    void role(int now, boolean leads, String who, Set<String> members) {
        term = now;
        voters = members;
        voterNames = new JsonArray();
        members.forEach(id -> voterNames.add(VoterId.parse(id).name()));
        group.members(members);
        if (!who.equals(leader)) {
            leader = who;
            LOG.info("policy: term {}, led by {}", now, who.isEmpty() ? "nobody yet" : who);
        }
        if (!leads) {
            lead = null;
            riders.leadsNoMore();
        } else if (lead == null || lead.term() != now) {
            counters.add("policy.elected");
            lead = new Lead(
                    now, policy.now(), new Lead.Times(config.lease, config.lease / QUIET_PARTS, config.prepare));
            view = null;
            trial.begin(policy.now());
            riders.leads(now);
            confirm();
        }
    }

    void stopped(String why) {
        if (end()) {
            counters.set("policy.vote_lost", 1);
            LOG.error("policy: this process votes no more: {}", why);
        }
    }

    void takenOut() {
        if (end()) {
            LOG.info("policy: taken out, this process votes no more");
        }
    }

    /** True the first time. */
    private boolean end() {
        boolean first = !stopped;
        stopped = true;
        lead = null;
        riders.leadsNoMore();
        // It hears of no election any more: who leads is known from leases, as by those that do not vote.
        leader = "";
        voters = Set.of();
        return first;
    }

    /** What rides on this process's own renewal, asked at that instant. */
    void ride(long asked) {
        if (lead != null) {
            riders.ride(fleet.self().id(), asked, policy::now);
        }
    }

    boolean leads() {
        return lead != null;
    }

    /** True where schedulers' counts are wanted with their renewals. */
    boolean tries() {
        return trial.isOn();
    }

    /** Has a majority say that this is still the leader, and what holds. */
    private void confirm() {
        if (lead == null || stopped) {
            return;
        }
        long every = config.lease / ROUNDS_A_LEASE;
        loop.deadlines().set(round, loop.micros() + every * 9 / 10, loop.micros() + every);
        if (looking) {
            lookAgain = true;
            return;
        }
        looking = true;
        Lead of = lead;
        long submitted = policy.now();
        voting.look(of.term(), ledger -> new Seen(ledger.view(), riders.parts(ledger)), found -> {
            looking = false;
            boolean again = lookAgain;
            lookAgain = false;
            if (lead == of && found instanceof Seen seen) {
                confirmed(submitted, seen.changes());
                if (lead == of) {
                    riders.confirmed(submitted, seen.parts());
                }
            }
            if (again) {
                confirm();
            }
        });
    }

    /** Both of one moment. */
    private record Seen(View changes, Map<String, Object> parts) {}

    private void confirmed(long submitted, View found) {
        View before = view;
        view = found;
        lead.confirmed(submitted, found);
        if (before != null && found.inForce() > before.inForce()) {
            trial.applied(policy.now(), before, found);
        }
        boolean news = before == null
                || found.inForce() != before.inForce()
                || (found.open() == null ? 0 : found.open().number())
                        != (before.open() == null ? 0 : before.open().number());
        if (news) {
            contents.clear();
            contents.put(found.inForce(), found.merged().toString());
            if (found.open() != null) {
                contents.put(found.open().number(), found.openMerged().toString());
            }
            step();
            tellAll(found.open() == null ? 0 : found.open().number());
        } else {
            step();
        }
    }

    // ---- schedulers ----

    private void renewed(Peer from, JsonObject message) {
        if (passOn(message)) {
            return;
        }
        if (lead == null) {
            return;
        }
        String who = message.get("who").getAsString();
        routes.put(who, from);
        trial.heard(who, message.getAsJsonArray("tallies"));
        lead.heard(policy.now(), who, Words.renewal(message));
        step();
        riders.heard(who, message);
        tell(who, message.get("at").getAsLong());
    }

    /** This process's own renewal; null where there is no answer to it. */
    Grant renewed(Renewal own, JsonArray tallies) {
        String who = fleet.self().id();
        trial.heard(who, tallies);
        lead.heard(policy.now(), who, own);
        step();
        return lead == null ? null : lead.grant(policy.now(), who);
    }

    /** Passes a scheduler's word on to the voter that leads; true unless it is for this one. */
    private boolean passOn(JsonObject message) {
        if (lead != null) {
            return false;
        }
        Peer to = fleet.peer(leader());
        if (to != null && !message.has("passed")) {
            message.addProperty("passed", fleet.self().name());
            to.send(message);
        }
        return true;
    }

    /** A word of the leader's to a scheduler that came by this voter. */
    void passBack(JsonObject message) {
        String who = message.get("for").getAsString();
        Peer to = fleet.acceptedPeer(who);
        if (to != null) {
            to.send(message);
        }
    }

    void left(String who) {
        if (lead != null) {
            lead.left(who);
            riders.left(who);
            routes.remove(who);
            step();
        }
    }

    void wanted(Peer from, JsonObject message) {
        if (passOn(message)) {
            return;
        }
        String who = message.get("who").getAsString();
        if (from != null) {
            routes.put(who, from);
        }
        content(who, message.get("number").getAsLong());
    }

    private void content(String who, long number) {
        String text = contents.get(number);
        if (text == null) {
            return;
        }
        JsonObject message = new JsonObject();
        message.addProperty("t", "content");
        message.addProperty("for", who);
        message.addProperty("number", number);
        message.addProperty("policy", text);
        if (who.equals(fleet.self().id())) {
            policy.content(message);
        } else if (routes.containsKey(who)) {
            counters.add("policy.contents_sent");
            routes.get(who).send(message);
        }
    }

    void tell(String who, long at) {
        Grant grant = lead == null ? null : lead.grant(policy.now(), who);
        Peer route = routes.get(who);
        if (who.equals(fleet.self().id())) {
            policy.renewNow();
        } else if (grant != null && route != null) {
            JsonObject message = Words.grant(grant, who, fleet.self().name(), at, voterNames);
            message.addProperty("trial", trial.isOn());
            riders.word(message, who, at < 0);
            route.send(message);
        }
    }

    /** All schedulers hear how things stand, and the content of what is to be decided. */
    private void tellAll(long opened) {
        for (String who : List.copyOf(routes.keySet())) {
            if (opened > 0) {
                content(who, opened);
            }
            tell(who, -1);
        }
        policy.renewNow();
    }

    // ---- what follows ----

    private void step() {
        if (lead == null) {
            return;
        }
        Step step = lead.step(policy.now());
        switch (step.ask()) {
            case APPLY -> ask(Ledger.apply(step.name(), System.currentTimeMillis()));
            case ABANDON -> ask(Ledger.abandon(step.name(), step.reasons(), System.currentTimeMillis()));
            default -> {}
        }
        if (step.tell()) {
            tellAll(0);
        }
        long next = lead.nextLook(policy.now());
        if (next == Long.MAX_VALUE) {
            loop.deadlines().cancel(look);
        } else {
            loop.deadlines().set(look, loop.micros() + Math.max(1, next - policy.now()));
        }
        takeBack();
    }

    /** Puts an operation of another part into the log, and has the state confirmed again. */
    void replicate(JsonObject operation, Consumer<JsonObject> then) {
        voting.replicate(operation, answer -> {
            then.accept(answer);
            confirm();
        });
    }

    private void ask(JsonObject operation) {
        Lead of = lead;
        voting.replicate(operation, answer -> {
            if (lead == of && answer == null) {
                // Whether it is in the log is not known: the next look tells, and asking twice does no harm.
                of.notTaken();
            }
            confirm();
        });
    }

    private void takeBack() {
        JsonObject worse = view == null || lead == null ? null : trial.look(policy.now());
        if (worse != null) {
            counters.add("policy.taken_back");
            LOG.warn(
                    "policy: {} is taken back: {}",
                    worse.get("of").getAsString(),
                    worse.get("why").getAsString());
            propose(
                    worse.get("name").getAsString(),
                    worse.getAsJsonObject("types"),
                    "the trial: " + worse.get("why").getAsString(),
                    answer -> {});
        }
    }

    // ---- for those who ask ----

    /** Proposes a change; the answer is the change as it stands, an error, or null: not known. */
    void propose(String name, JsonObject types, String by, Consumer<JsonObject> then) {
        voting.replicate(Ledger.propose(name, types, by, System.currentTimeMillis()), answer -> {
            confirm();
            then.accept(answer);
        });
    }

    /**
     * Takes a voter in: one that has lost its store, or another; tells null, or why it was not done.
     *
     * @param anew true if it is one that was a voter
     */
    void takeIn(String name, boolean anew, Consumer<String> then) {
        String mark = group.mark(name);
        boolean known = named(name) != null;
        if (anew && !known && !config.voters.contains(name)) {
            then.accept("'" + name + "' is no voter; those are " + voters);
        } else if (!anew && known && !voters.contains(mark)) {
            then.accept("'" + name + "' is a voter already, and has another store: --replace takes that in");
        } else if (!anew && !known && voters.size() >= PolicyConfig.MOST_VOTERS) {
            then.accept(voters.size() + " vote already; take one out first");
        } else if (mark != null && voters.contains(mark)) {
            then.accept(name + " votes with this store already");
        } else if (!group.dial(name)) {
            then.accept("[fleet.peers] does not say here where '" + name + "' is");
        } else if (mark == null || fleet.peer(name) == null) {
            then.accept(name + " can't be reached from here yet, or has no 'dir' for votes" + ASK_AGAIN);
        } else if (!group.isEmpty(name) && !mark.equals(invited)) {
            then.accept(name + "'s store has voted before: empty its 'dir' and start it anew");
        } else if (!group.invite(name)) {
            then.accept(name + " can't be reached from here");
        } else {
            invited = mark;
            voting.takeIn(VoterId.parse(mark), then);
        }
    }

    /** Takes a voter out; tells null, or why it was not done. */
    void takeOut(String name, Consumer<String> then) {
        String id = named(name);
        if (id == null) {
            then.accept("'" + name + "' is no voter; those are " + voters);
        } else if (voters.size() == 1) {
            then.accept("'" + name + "' is the only voter: take another in first");
        } else if (id.equals(voting.self().text())) {
            voting.stepDown();
            then.accept(name + " leads, and hands over now" + ASK_AGAIN);
        } else {
            voting.takeOut(VoterId.parse(id), then);
        }
    }

    /** The voter of that name, with its store, or null. */
    private String named(String name) {
        return voters.stream()
                .filter(id -> VoterId.parse(id).name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Reads the state as a majority holds it; null where it is not known. */
    void read(Voting.Look what, Consumer<Object> then) {
        if (lead == null) {
            then.accept(null);
        } else {
            voting.look(lead.term(), what, then);
        }
    }

    /** The voter that leads, or empty. */
    String leader() {
        return leader.isEmpty() ? policy.leader() : leader;
    }

    void report(JsonObject all) {
        JsonObject own = new JsonObject();
        own.addProperty("store", voting.self().text());
        own.addProperty("votes", voting.isBegun() && !stopped);
        own.addProperty("lost", group.isLost());
        own.addProperty("candidate", group.isCandidate());
        own.addProperty("removed", group.isRemoved());
        JsonArray names = new JsonArray();
        voters.forEach(names::add);
        own.add("voters", names);
        own.addProperty("term", term);
        all.add("voter", own);
        if (lead == null || view == null) {
            return;
        }
        JsonObject leads = new JsonObject();
        leads.addProperty("in_force", view.inForce());
        leads.addProperty("digest", view.digest());
        if (view.open() != null) {
            leads.add("open", view.open().json(false));
            JsonArray waits = new JsonArray();
            // What the view has on them explains; the lease alone decides.
            lead.waitsFor(policy.now()).forEach(who -> {
                String known = fleet.description(who.substring(0, Math.max(0, who.lastIndexOf('#'))));
                waits.add(known.isEmpty() ? who : who + " (" + known + ")");
            });
            leads.add("waits_for", waits);
        }
        JsonArray schedulers = new JsonArray();
        lead.known(policy.now()).forEach(one -> {
            JsonObject known = new JsonObject();
            known.addProperty("who", one.who());
            known.addProperty("policy", one.begun());
            known.addProperty("heard_ms", one.heardMs());
            known.addProperty("lease_ms", one.leaseMs());
            schedulers.add(known);
        });
        leads.add("schedulers", schedulers);
        all.add("leads", leads);
    }
}
