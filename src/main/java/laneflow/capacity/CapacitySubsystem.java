package laneflow.capacity;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import laneflow.capacity.decision.CapacityGossip;
import laneflow.capacity.decision.CapacityReport;
import laneflow.capacity.decision.LoadEstimator;
import laneflow.core.Counters;
import laneflow.core.Endpoint;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;
import laneflow.fleet.Fleet;
import laneflow.membership.Members;
import laneflow.membership.decision.Update.Full;
import laneflow.net.Loop;

/**
 * Free capacity told among schedulers, in a process: what the scheduler's own calls come back with goes along
 * with the view's datagrams, what others told comes to the module as reports of their age. On the control
 * thread; what the scheduler hears comes, and reports go, as messages between the two loops.
 */
public final class CapacitySubsystem implements CapacityGossip.Callbacks, Members.Cargo, Scheduler.AttemptListener {
    private static final String PATH = "/capacity";
    private static final long LISTS_EVERY = 500_000;
    private static final long MILLI = 1000;
    /** Tries to draw one of the same zone. */
    private static final int TRIES = 8;

    private final Loop loop;
    private final Loop traffic;
    private final Counters counters;
    private final Scheduler scheduler;
    private final Fleet fleet;
    private final Members members;
    private final CapacityConfig config;
    private final List<String> zones;
    private final int zone;
    private final SplittableRandom random;
    private final CapacityGossip capacity;
    /** Names of the endpoints that are listed as ready. */
    private final Map<Long, String> listed = new HashMap<>();
    /** Names by the numbers that news calls schedulers by. */
    private final Map<Integer, String> names = new HashMap<>();

    private long listedAt = Long.MIN_VALUE / 2;

    /** @param zones in the order of the settings */
    public CapacitySubsystem(
            Loop loop,
            Loop traffic,
            Counters counters,
            Scheduler scheduler,
            Fleet fleet,
            Members members,
            CapacityConfig config,
            List<String> zones,
            long seed) {
        this.loop = loop;
        this.traffic = traffic;
        this.counters = counters;
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.members = members;
        this.config = config;
        this.zones = List.copyOf(zones);
        zone = scheduler.settings().zone;
        random = new SplittableRandom(seed);
        capacity = new CapacityGossip(number(fleet.self().name()), zone, LoadEstimator.SELECTIVE, this);
    }

    private static int number(String name) {
        return (int) Endpoint.stableId(name) & 0xffff;
    }

    /** News goes out from now on. On the control thread. */
    public void begin() {
        traffic.later(() -> scheduler.setAttemptListener(this));
        members.carry(this);
        fleet.serve(PATH, (verb, path, body, answer) -> {
            if (verb.equals("GET") && path.equals(PATH)) {
                answer.say(200, "application/json", "", report() + "\n");
            } else {
                answer.say(verb.equals("GET") ? 404 : 405, "text/plain", "", "known is GET " + PATH + "\n");
            }
        });
        round();
    }

    private void round() {
        long now = loop.micros();
        loop.deadlines().at(now + config.round, this::round);
        if (now - listedAt >= LISTS_EVERY) {
            listedAt = now;
            traffic.later(this::look);
        }
        if (!capacity.hasNews()) {
            return;
        }
        List<Full> live = members.live();
        for (int i = 0; i < config.fanout && !live.isEmpty(); i++) {
            Full to = live.get(random.nextInt(live.size()));
            for (int k = 0; k < TRIES && i % 2 == 0 && zoneOf(to) != zone; k++) {
                to = live.get(random.nextInt(live.size()));
            }
            members.carry(to.life().name(), null);
        }
    }

    /** One that is ready, as the lists have it. */
    private record Ready(long id, String name, int zone, int kind, long bornMs) {}

    /** On the traffic's thread. */
    private void look() {
        List<Ready> ready = new ArrayList<>();
        scheduler.endpoints().forEach(endpoint -> {
            if (endpoint.state() == State.READY && !scheduler.isDown(endpoint)) {
                ready.add(new Ready(
                        endpoint.id, endpoint.name, endpoint.zone, endpoint.kind, endpoint.startedAt / MILLI));
            }
        });
        loop.later(() -> lists(ready));
    }

    /** What drains or is gone is not told of, and not heard of. */
    private void lists(List<Ready> ready) {
        Map<Long, String> now = new HashMap<>();
        for (Ready one : ready) {
            now.put(one.id, one.name);
            capacity.addEndpoint(one.id, one.zone, one.kind, "", one.bornMs);
        }
        for (long id : listed.keySet()) {
            if (!now.containsKey(id)) {
                capacity.removeEndpoint(id);
            }
        }
        listed.clear();
        listed.putAll(now);
    }

    private int zoneOf(Full member) {
        return zones.indexOf(member.facts().zone());
    }

    // ---- from the scheduler ----

    @Override
    public void sent(Endpoint endpoint) {
        loop.later(() -> capacity.attemptSent(loop.micros(), endpoint.id));
    }

    @Override
    public void ended(Endpoint endpoint, Outcome outcome, LoadReport report) {
        double free = report == null ? Double.NaN : report.freeSlots;
        double queue = report == null ? Double.NaN : report.queue;
        loop.later(() -> capacity.attemptEnded(loop.micros(), endpoint.id, !outcome.neverRan, free, queue));
    }

    // ---- from and to the others ----

    @Override
    public byte[] fill(Full to, int room) {
        return capacity.buildMessage(loop.micros(), zoneOf(to), room);
    }

    @Override
    public void take(Full from, byte[] bytes) {
        int teller = number(from.life().name());
        names.put(teller, from.life().name());
        counters.add("capacity.received");
        capacity.receive(loop.micros(), teller, zoneOf(from), bytes, members.room());
    }

    @Override
    public void report(long endpoint, double age, LoadReport report) {
        LoadReport copy = new LoadReport();
        copy.freeSlots = report.freeSlots;
        copy.queue = report.queue;
        traffic.later(() -> scheduler.reportFromPeer(endpoint, age, copy));
    }

    @Override
    public void send(int to, byte[] bytes) {
        // Not from amid the view's own turn.
        loop.deadlines().at(loop.micros(), () -> members.carry(names.getOrDefault(to, ""), bytes));
    }

    @Override
    public void count(String what) {
        counters.add("capacity." + what);
    }

    // ---- reports ----

    private JsonObject report() {
        long now = loop.micros();
        JsonObject all = new JsonObject();
        all.addProperty("known_share", capacity.knownShare());
        all.addProperty("overshoot", capacity.overshoot());
        JsonObject sums = new JsonObject();
        for (int i = 0; i < zones.size(); i++) {
            CapacityGossip.Sum sum = capacity.ofZone(now, i);
            JsonObject one = new JsonObject();
            one.addProperty("endpoints", sum.endpoints());
            one.addProperty("heard_of", sum.heardOf());
            one.addProperty("free", sum.free());
            one.addProperty("error", sum.error());
            sums.add(zones.get(i), one);
        }
        all.add("zones", sums);
        JsonObject endpoints = new JsonObject();
        listed.forEach((id, name) -> {
            CapacityReport news = capacity.latestReport(id);
            if (news != null) {
                JsonObject one = new JsonObject();
                one.addProperty("free", news.freeSlots());
                one.addProperty("queue", news.queued());
                one.addProperty("age_ms", (now - news.observedAt()) / MILLI);
                one.addProperty("own", news.source() == number(fleet.self().name()));
                endpoints.add(name, one);
            }
        });
        all.add("endpoints", endpoints);
        return all;
    }
}
