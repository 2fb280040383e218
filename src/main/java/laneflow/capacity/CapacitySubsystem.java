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
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.net.Loop;

/**
 * Capacity gossip in a scheduler process. Load reports from the scheduler's own attempts are sent with the
 * membership datagrams; peer reports are delivered to the decision module with their age. Runs on the control
 * thread and exchanges messages with the traffic loop.
 */
public final class CapacitySubsystem
        implements CapacityGossip.Callbacks, Members.PayloadHandler, Scheduler.AttemptListener {
    private static final String PATH = "/capacity";
    private static final long LIST_INTERVAL_MICROS = 500_000;
    private static final long MICROS_PER_MILLI = 1000;
    /** Draws made to find a member in the same zone. */
    private static final int SAME_ZONE_TRIES = 8;

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
    /** Names of the endpoints listed as ready, by id. */
    private final Map<Long, String> listed = new HashMap<>();
    /** Names of the schedulers that have sent a message, by number. */
    private final Map<Integer, String> names = new HashMap<>();

    private long lastListedAt = Long.MIN_VALUE / 2;

    /** @param zones in the order of the configuration */
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
        capacity = new CapacityGossip(schedulerNumber(fleet.self().name()), zone, LoadEstimator.SELECTIVE, this);
    }

    private static int schedulerNumber(String name) {
        return (int) Endpoint.stableId(name) & 0xffff;
    }

    /** Starts to send and receive. On the control thread. */
    public void begin() {
        traffic.later(() -> scheduler.setAttemptListener(this));
        members.setPayloadHandler(this);
        fleet.serve(PATH, (verb, path, body, answer) -> {
            if (verb.equals("GET") && path.equals(PATH)) {
                answer.respond(200, "application/json", "", status() + "\n");
            } else {
                answer.respond(
                        verb.equals("GET") ? 404 : 405, "text/plain", "", "only GET " + PATH + " is supported\n");
            }
        });
        sendRound();
    }

    private void sendRound() {
        long now = loop.micros();
        loop.deadlines().at(now + config.roundMicros, this::sendRound);
        if (now - lastListedAt >= LIST_INTERVAL_MICROS) {
            lastListedAt = now;
            traffic.later(this::collectReady);
        }
        if (!capacity.hasDataToSend()) {
            return;
        }
        List<MemberRecord> live = members.liveMembers();
        for (int i = 0; i < config.fanout && !live.isEmpty(); i++) {
            MemberRecord to = live.get(random.nextInt(live.size()));
            for (int k = 0; k < SAME_ZONE_TRIES && i % 2 == 0 && zoneOf(to) != zone; k++) {
                to = live.get(random.nextInt(live.size()));
            }
            members.sendPayload(to.instance().name(), null);
        }
    }

    /** An endpoint that is ready by the endpoint lists. */
    private record ReadyEndpoint(long id, String name, int zone, int kind, long bornMs) {}

    /** Runs on the traffic thread. */
    private void collectReady() {
        List<ReadyEndpoint> ready = new ArrayList<>();
        scheduler.endpoints().forEach(endpoint -> {
            if (endpoint.state() == State.READY && !scheduler.isDown(endpoint)) {
                ready.add(new ReadyEndpoint(
                        endpoint.id,
                        endpoint.name,
                        endpoint.zone,
                        endpoint.kind,
                        endpoint.startedAt / MICROS_PER_MILLI));
            }
        });
        loop.later(() -> updateEndpoints(ready));
    }

    /** Endpoints that drain or are gone are removed: their reports are neither sent nor accepted. */
    private void updateEndpoints(List<ReadyEndpoint> ready) {
        Map<Long, String> now = new HashMap<>();
        for (ReadyEndpoint one : ready) {
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

    private int zoneOf(MemberRecord member) {
        return zones.indexOf(member.metadata().zone());
    }

    // ---- attempts of the scheduler ----

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

    // ---- messages of peers ----

    @Override
    public byte[] nextPayload(MemberRecord to, int room) {
        return capacity.buildMessage(loop.micros(), zoneOf(to), room);
    }

    @Override
    public void payloadReceived(MemberRecord from, byte[] bytes) {
        int sender = schedulerNumber(from.instance().name());
        names.put(sender, from.instance().name());
        counters.add("capacity.received");
        capacity.receive(loop.micros(), sender, zoneOf(from), bytes, members.maxPayloadBytes());
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
        // Deferred: membership must not be re-entered while it delivers a message.
        loop.deadlines().at(loop.micros(), () -> members.sendPayload(names.getOrDefault(to, ""), bytes));
    }

    @Override
    public void count(String what) {
        counters.add("capacity." + what);
    }

    // ---- status ----

    private JsonObject status() {
        long now = loop.micros();
        JsonObject all = new JsonObject();
        all.addProperty("known_share", capacity.knownShare());
        all.addProperty("overshoot", capacity.overshoot());
        JsonObject zoneStatus = new JsonObject();
        for (int i = 0; i < zones.size(); i++) {
            CapacityGossip.FreeSlots estimate = capacity.freeSlotsInZone(now, i);
            JsonObject one = new JsonObject();
            one.addProperty("endpoints", estimate.endpoints());
            one.addProperty("heard_of", estimate.reported());
            one.addProperty("free", estimate.free());
            one.addProperty("error", estimate.error());
            zoneStatus.add(zones.get(i), one);
        }
        all.add("zones", zoneStatus);
        JsonObject endpoints = new JsonObject();
        listed.forEach((id, name) -> {
            CapacityReport latest = capacity.latestReport(id);
            if (latest != null) {
                JsonObject one = new JsonObject();
                one.addProperty("free", latest.freeSlots());
                one.addProperty("queue", latest.queued());
                one.addProperty("age_ms", (now - latest.observedAt()) / MICROS_PER_MILLI);
                one.addProperty(
                        "own", latest.source() == schedulerNumber(fleet.self().name()));
                endpoints.add(name, one);
            }
        });
        all.add("endpoints", endpoints);
        return all;
    }
}
