package laneflow.core;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import laneflow.decision.Dispatch.Settings;
import laneflow.wire.SettingsReader;
import laneflow.wire.WireException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Builders;

/**
 * Random settings of a scheduler, in the format and over the whole range of the wire protocol, with a fleet that
 * matches them. Each value is drawn separately, so that a failing case shrinks to the values that cause it.
 */
final class RandomSettings {
    /** A job class. Its mean work describes the traffic and is not part of the settings. */
    static final class RandomClass {
        int semantics;
        int group;
        int aimMs;
        int stretchTenths;
        int deadlineMs;
        int windowMs;
        int worth;
        int lateTenths;
        int kind;
        int workMs;
        int slots;

        /** The aim, at least a multiple of the mean work: with one that no endpoint can meet, all are refused. */
        int aimMs() {
            return stretchTenths > 0 ? aimMs : Math.max(aimMs, MIN_TIME_FACTOR * workMs);
        }

        int deadlineMs() {
            return Math.max(deadlineMs, MIN_TIME_FACTOR * workMs);
        }

        @Override
        public String toString() {
            return "{" + SEMANTICS[semantics] + " of " + GROUPS[group] + ", aim " + aimMs() + " + " + stretchTenths
                    + "/10, deadline " + deadlineMs() + ", window " + windowMs + ", worth " + worth + ", late "
                    + lateTenths + "/10, kind " + kind + ", work " + workMs + ", slots " + slots + "}";
        }
    }

    /** Lower bound of a class's aim and deadline, as a multiple of its mean work. */
    private static final int MIN_TIME_FACTOR = 5;

    private static final String[] SEMANTICS = {"pure", "token", "side_effect"};
    private static final String[] GROUPS = {"all", "zone", "cell"};
    private static final String[] SOURCES = {"answers", "probe", "none"};
    private static final String[] ORDERS = {"fifo", "backfill", "priority"};
    private static final String[] WEIGHTS = {"nominal", "none", "rough", "live"};

    List<RandomClass> classes = new ArrayList<>();
    int zones;
    int siblings;
    int kinds;
    int workersPerKind;
    int cells;
    int slots;
    int speedTenths;
    int source;
    int fields;
    int order;
    int weights;
    boolean asksDiscovery;
    boolean mayCancel;
    boolean probes;
    boolean tellsStart;
    int progressMs;
    int maxAttempts;
    boolean retryAfter;
    int maxRetryAfterMs;
    int graceMs;
    int coldFromPercent;
    int coldMs;
    int multipleTenths;
    int fallMs;
    int tickMs;
    int tenants;
    int overShareTenths;
    /** How many times as much the first tenant requests as each other tenant. */
    int firstTenantFactor = 1;
    /** Each tenant's quota in requests per second; 0 for small quotas that grow with the tenant's index. */
    double quota;

    int memory;
    /** 0 for no hints, 1 for exact hints, larger for more error. */
    int hintQuality;
    /** How far the load is below the fleet's capacity: every 6 halve it. */
    int loadReduction;

    int reportEveryMs;
    /** Standard deviation of the logarithm of the work of a class's jobs, in tenths. */
    int workSpread;

    boolean allInFirstZone;
    int seed;

    private static Arbitrary<Integer> between(int min, int max) {
        return Arbitraries.integers().between(min, max).shrinkTowards(min);
    }

    private static Arbitrary<Boolean> anyBoolean() {
        return Arbitraries.of(false, true);
    }

    private static Arbitrary<RandomClass> anyClass() {
        return Builders.withBuilder(RandomClass::new)
                .use(between(0, 2))
                .inSetter((c, v) -> c.semantics = v)
                .use(between(0, 2))
                .inSetter((c, v) -> c.group = v)
                .use(between(50, 1000))
                .inSetter((c, v) -> c.aimMs = v)
                .use(Arbitraries.oneOf(between(20, 40), Arbitraries.just(0)))
                .inSetter((c, v) -> c.stretchTenths = v)
                .use(between(500, 12_000))
                .inSetter((c, v) -> c.deadlineMs = v)
                .use(between(1000, 20_000))
                .inSetter((c, v) -> c.windowMs = v)
                .use(between(1, 10))
                .inSetter((c, v) -> c.worth = v)
                .use(between(0, 5))
                .inSetter((c, v) -> c.lateTenths = v)
                .use(between(-4, 2))
                .inSetter((c, v) -> c.kind = v)
                .use(between(50, 800))
                .inSetter((c, v) -> c.workMs = v)
                .use(between(1, 2))
                .inSetter((c, v) -> c.slots = v)
                .build();
    }

    /** Any settings with a matching fleet. */
    static Arbitrary<RandomSettings> any() {
        return Builders.withBuilder(RandomSettings::new)
                .use(anyClass().list().ofMinSize(1).ofMaxSize(5))
                .inSetter((s, v) -> s.classes = v)
                .use(between(1, 5))
                .inSetter((s, v) -> s.zones = v)
                .use(Arbitraries.oneOf(between(1, 6), between(1, 40)))
                .inSetter((s, v) -> s.siblings = v)
                .use(between(1, 3))
                .inSetter((s, v) -> s.kinds = v)
                .use(between(1, 5))
                .inSetter((s, v) -> s.workersPerKind = v)
                .use(between(1, 4))
                .inSetter((s, v) -> s.cells = v)
                .use(between(1, 6))
                .inSetter((s, v) -> s.slots = v)
                .use(between(7, 23))
                .inSetter((s, v) -> s.speedTenths = v)
                .use(between(0, 2))
                .inSetter((s, v) -> s.source = v)
                .use(between(0, 15))
                .inSetter((s, v) -> s.fields = v)
                .use(between(0, 2))
                .inSetter((s, v) -> s.order = v)
                .use(between(0, 3))
                .inSetter((s, v) -> s.weights = v)
                .use(anyBoolean())
                .inSetter((s, v) -> s.asksDiscovery = v)
                .use(anyBoolean())
                .inSetter((s, v) -> s.mayCancel = v)
                .use(anyBoolean())
                .inSetter((s, v) -> s.probes = v)
                .use(anyBoolean())
                .inSetter((s, v) -> s.tellsStart = v)
                .use(Arbitraries.of(0, 100, 500))
                .inSetter((s, v) -> s.progressMs = v)
                .use(between(1, 6))
                .inSetter((s, v) -> s.maxAttempts = v)
                .use(anyBoolean())
                .inSetter((s, v) -> s.retryAfter = v)
                .use(between(100, 5000))
                .inSetter((s, v) -> s.maxRetryAfterMs = v)
                .use(between(100, 1000))
                .inSetter((s, v) -> s.graceMs = v)
                .use(between(5, 60))
                .inSetter((s, v) -> s.coldFromPercent = v)
                .use(between(3000, 25_000))
                .inSetter((s, v) -> s.coldMs = v)
                .use(between(20, 50))
                .inSetter((s, v) -> s.multipleTenths = v)
                .use(between(500, 2500))
                .inSetter((s, v) -> s.fallMs = v)
                .use(between(1, 20))
                .inSetter((s, v) -> s.tickMs = v)
                .use(between(0, 4))
                .inSetter((s, v) -> s.tenants = v)
                .use(between(0, 10))
                .inSetter((s, v) -> s.overShareTenths = v)
                .use(between(0, 1))
                .inSetter((s, v) -> s.memory = v)
                .use(between(0, 3))
                .inSetter((s, v) -> s.hintQuality = v)
                .use(between(0, 60))
                .inSetter((s, v) -> s.loadReduction = v)
                .use(between(0, 1500))
                .inSetter((s, v) -> s.reportEveryMs = v)
                .use(anyBoolean())
                .inSetter((s, v) -> s.allInFirstZone = v)
                .use(between(0, 12))
                .inSetter((s, v) -> s.workSpread = v)
                .use(Arbitraries.integers())
                .inSetter((s, v) -> s.seed = v)
                .build();
    }

    int slotsOf(int kind) {
        return 1 + (slots + kind - 1) % 6;
    }

    double speedOf(int kind) {
        return (7 + (speedTenths - 7 + 5 * kind) % 17) / 10.0;
    }

    /** The kind of endpoint a class is tied to, or -1 for any. */
    int kindOf(RandomClass jobClass) {
        return jobClass.kind < 0 ? -1 : jobClass.kind % kinds;
    }

    /** The slots of a job, limited to those of the smallest endpoint. */
    int slotsOf(RandomClass jobClass) {
        int minSlots = Integer.MAX_VALUE;
        for (int kind = 0; kind < kinds; kind++) {
            minSlots = Math.min(minSlots, slotsOf(kind));
        }
        return Math.min(jobClass.slots, minSlots);
    }

    /** The zone of a scheduler: they are spread over the zones, or all in the first one. */
    int zoneOf(int number) {
        return allInFirstZone ? 0 : number % zones;
    }

    /** The requested load as a fraction of the fleet's capacity. */
    double load() {
        return Math.pow(2, -loadReduction / 6.0);
    }

    boolean reports(int field) {
        return (fields & 1 << field) != 0;
    }

    String source() {
        return SOURCES[source];
    }

    /** The settings of one scheduler. */
    Settings settingsOf(int number) {
        try {
            return SettingsReader.read(text(number)).settings;
        } catch (WireException e) {
            throw new AssertionError(text(number), e);
        }
    }

    /** The settings of one scheduler as JSON, in the format of the wire protocol. */
    String text(int number) {
        JsonObject root = new JsonObject();
        root.add("areas", names("zone", zones));
        root.addProperty("az", zoneOf(number));
        root.addProperty("siblings", siblings);
        root.addProperty("slotNo", number);
        root.addProperty("discovery", asksDiscovery ? "ask" : "push");
        root.addProperty("weightSource", WEIGHTS[weights]);
        root.addProperty("tick", tickMs / 1e3);
        root.addProperty("overShareWorth", overShareTenths / 10.0);
        root.add("shapes", names("kind", kinds));
        root.add("classes", classes());
        root.add("familyInfo", familyInfo());
        root.add("limits", limits());
        root.add("rules", rules());
        root.add("customers", customers());
        JsonObject reporting = new JsonObject();
        reporting.addProperty("source", source());
        reporting.add("fields", new JsonArray());
        root.add("reporting", reporting);
        return root.toString();
    }

    private static JsonArray names(String prefix, int count) {
        JsonArray names = new JsonArray();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    private JsonArray classes() {
        JsonArray array = new JsonArray();
        for (RandomClass jobClass : classes) {
            JsonObject json = new JsonObject();
            json.addProperty("name", "class" + array.size());
            json.addProperty("aim", jobClass.aimMs() / 1e3);
            json.addProperty("hardLimit", jobClass.deadlineMs() / 1e3);
            json.addProperty("semantics", SEMANTICS[jobClass.semantics]);
            json.addProperty("group", GROUPS[jobClass.group]);
            json.addProperty("dedupWindow", jobClass.windowMs / 1e3);
            json.addProperty("worth", jobClass.worth);
            json.addProperty("lateWorth", jobClass.lateTenths / 10.0);
            array.add(json);
        }
        return array;
    }

    private JsonObject familyInfo() {
        JsonObject info = new JsonObject();
        JsonArray kind = new JsonArray();
        JsonArray stretch = new JsonArray();
        for (RandomClass jobClass : classes) {
            kind.add(kindOf(jobClass));
            stretch.add(jobClass.stretchTenths / 10.0);
        }
        info.add("classKind", kind);
        info.add("classStretch", stretch);
        info.addProperty("tellsStart", tellsStart);
        info.addProperty("progress", progressMs / 1e3);
        info.addProperty("queueOrder", ORDERS[order]);
        return info;
    }

    private JsonObject limits() {
        JsonObject limits = new JsonObject();
        limits.addProperty("cancel", mayCancel);
        limits.addProperty("probes", probes);
        limits.addProperty("maxAttempts", maxAttempts);
        limits.addProperty("retryAfter", retryAfter);
        limits.addProperty("maxRetryAfter", maxRetryAfterMs / 1e3);
        return limits;
    }

    private JsonObject rules() {
        JsonObject rules = new JsonObject();
        rules.addProperty("stopSendingWithin", graceMs / 1e3);
        rules.addProperty("coldFrom", coldFromPercent / 100.0);
        rules.addProperty("cold", coldMs / 1e3);
        rules.addProperty("tipMultiple", multipleTenths / 10.0);
        rules.addProperty("fall", fallMs / 1e3);
        return rules;
    }

    private JsonArray customers() {
        JsonArray array = new JsonArray();
        for (int i = 0; i < tenants; i++) {
            JsonObject tenant = new JsonObject();
            tenant.addProperty("name", "tenant" + i);
            tenant.addProperty("quotaPerS", quota > 0 ? quota : 5.0 + 10 * i);
            tenant.addProperty("portion", 1.0 / tenants);
            array.add(tenant);
        }
        return array;
    }

    @Override
    public String toString() {
        return classes + " hints " + hintQuality + ", load " + load() + ", workers " + kinds + " x " + workersPerKind
                + " of " + slots + " slots, speed " + speedTenths + "/10, cells " + cells + ", reports "
                + fields + " every " + reportEveryMs + " ms, spread " + workSpread + "/10, memory " + memory
                + ", seed " + seed + " " + text(0);
    }
}
