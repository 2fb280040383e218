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
 * Whole settings as a scheduler may be told them, in the wire page's words and over all that it allows, with the
 * fleet they speak of. No two deployments are alike: what holds must hold for any draw. Each figure is drawn by
 * itself, so that a fault shrinks to the ones it needs.
 */
final class RandomSettings {
    /** One class; its mean work is no part of the settings, but of the traffic. */
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

        /** An aim that its work could not keep anywhere would show nothing. */
        int aimMs() {
            return stretchTenths > 0 ? aimMs : Math.max(aimMs, ENOUGH * workMs);
        }

        int deadlineMs() {
            return Math.max(deadlineMs, ENOUGH * workMs);
        }

        @Override
        public String toString() {
            return "{" + SEMANTICS[semantics] + " of " + GROUPS[group] + ", aim " + aimMs() + " + " + stretchTenths
                    + "/10, deadline " + deadlineMs() + ", window " + windowMs + ", worth " + worth + ", late "
                    + lateTenths + "/10, kind " + kind + ", work " + workMs + ", slots " + slots + "}";
        }
    }

    /** Times its mean work that a class may take at least. */
    private static final int ENOUGH = 5;

    private static final String[] SEMANTICS = {"pure", "token", "side_effect"};
    private static final String[] GROUPS = {"all", "zone", "cell"};
    private static final String[] SOURCES = {"answers", "probe", "none"};
    private static final String[] ORDERS = {"fifo", "backfill", "priority"};
    private static final String[] WEIGHTS = {"nominal", "none", "rough", "live"};

    List<RandomClass> classes = new ArrayList<>();
    int zones;
    int siblings;
    int kinds;
    int workersEach;
    int cells;
    int slots;
    int speedTenths;
    int source;
    int fields;
    int order;
    int weights;
    boolean asked;
    boolean cancel;
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
    /** Times that the first tenant asks for what each other asks. */
    int greed = 1;
    /** Requests a second of each tenant's share; 0: some few, the more the later it stands. */
    double quota;

    int memory;
    /** How a job's work is told, from not at all to badly. */
    int hints;
    /** Sixths of a halving of the load, from what the fleet can do just so. */
    int loadDown;

    int reportEveryMs;
    /** Spread of a class's works, of their logarithm's normal, in tenths. */
    int workSpread;

    boolean lopsided;
    int seed;

    private static Arbitrary<Integer> of(int least, int most) {
        return Arbitraries.integers().between(least, most).shrinkTowards(least);
    }

    private static Arbitrary<Boolean> coin() {
        return Arbitraries.of(false, true);
    }

    private static Arbitrary<RandomClass> anyClass() {
        return Builders.withBuilder(RandomClass::new)
                .use(of(0, 2))
                .inSetter((c, v) -> c.semantics = v)
                .use(of(0, 2))
                .inSetter((c, v) -> c.group = v)
                .use(of(50, 1000))
                .inSetter((c, v) -> c.aimMs = v)
                .use(Arbitraries.oneOf(of(20, 40), Arbitraries.just(0)))
                .inSetter((c, v) -> c.stretchTenths = v)
                .use(of(500, 12_000))
                .inSetter((c, v) -> c.deadlineMs = v)
                .use(of(1000, 20_000))
                .inSetter((c, v) -> c.windowMs = v)
                .use(of(1, 10))
                .inSetter((c, v) -> c.worth = v)
                .use(of(0, 5))
                .inSetter((c, v) -> c.lateTenths = v)
                .use(of(-4, 2))
                .inSetter((c, v) -> c.kind = v)
                .use(of(50, 800))
                .inSetter((c, v) -> c.workMs = v)
                .use(of(1, 2))
                .inSetter((c, v) -> c.slots = v)
                .build();
    }

    /** Any whole settings, and a fleet for them. */
    static Arbitrary<RandomSettings> any() {
        return Builders.withBuilder(RandomSettings::new)
                .use(anyClass().list().ofMinSize(1).ofMaxSize(5))
                .inSetter((s, v) -> s.classes = v)
                .use(of(1, 5))
                .inSetter((s, v) -> s.zones = v)
                .use(Arbitraries.oneOf(of(1, 6), of(1, 40)))
                .inSetter((s, v) -> s.siblings = v)
                .use(of(1, 3))
                .inSetter((s, v) -> s.kinds = v)
                .use(of(1, 5))
                .inSetter((s, v) -> s.workersEach = v)
                .use(of(1, 4))
                .inSetter((s, v) -> s.cells = v)
                .use(of(1, 6))
                .inSetter((s, v) -> s.slots = v)
                .use(of(7, 23))
                .inSetter((s, v) -> s.speedTenths = v)
                .use(of(0, 2))
                .inSetter((s, v) -> s.source = v)
                .use(of(0, 15))
                .inSetter((s, v) -> s.fields = v)
                .use(of(0, 2))
                .inSetter((s, v) -> s.order = v)
                .use(of(0, 3))
                .inSetter((s, v) -> s.weights = v)
                .use(coin())
                .inSetter((s, v) -> s.asked = v)
                .use(coin())
                .inSetter((s, v) -> s.cancel = v)
                .use(coin())
                .inSetter((s, v) -> s.probes = v)
                .use(coin())
                .inSetter((s, v) -> s.tellsStart = v)
                .use(Arbitraries.of(0, 100, 500))
                .inSetter((s, v) -> s.progressMs = v)
                .use(of(1, 6))
                .inSetter((s, v) -> s.maxAttempts = v)
                .use(coin())
                .inSetter((s, v) -> s.retryAfter = v)
                .use(of(100, 5000))
                .inSetter((s, v) -> s.maxRetryAfterMs = v)
                .use(of(100, 1000))
                .inSetter((s, v) -> s.graceMs = v)
                .use(of(5, 60))
                .inSetter((s, v) -> s.coldFromPercent = v)
                .use(of(3000, 25_000))
                .inSetter((s, v) -> s.coldMs = v)
                .use(of(20, 50))
                .inSetter((s, v) -> s.multipleTenths = v)
                .use(of(500, 2500))
                .inSetter((s, v) -> s.fallMs = v)
                .use(of(1, 20))
                .inSetter((s, v) -> s.tickMs = v)
                .use(of(0, 4))
                .inSetter((s, v) -> s.tenants = v)
                .use(of(0, 10))
                .inSetter((s, v) -> s.overShareTenths = v)
                .use(of(0, 1))
                .inSetter((s, v) -> s.memory = v)
                .use(of(0, 3))
                .inSetter((s, v) -> s.hints = v)
                .use(of(0, 60))
                .inSetter((s, v) -> s.loadDown = v)
                .use(of(0, 1500))
                .inSetter((s, v) -> s.reportEveryMs = v)
                .use(coin())
                .inSetter((s, v) -> s.lopsided = v)
                .use(of(0, 12))
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

    /** The kind a class is tied to, -1 where any will do. */
    int kindOf(RandomClass of) {
        return of.kind < 0 ? -1 : of.kind % kinds;
    }

    /** No job is wider than the worker it may come to. */
    int slotsOf(RandomClass of) {
        int least = Integer.MAX_VALUE;
        for (int kind = 0; kind < kinds; kind++) {
            least = Math.min(least, slotsOf(kind));
        }
        return Math.min(of.slots, least);
    }

    /** Schedulers are spread over the zones, or all in the first one. */
    int zoneOf(int number) {
        return lopsided ? 0 : number % zones;
    }

    /** Part of what the fleet can do that is asked of it. */
    double load() {
        return Math.pow(2, -loadDown / 6.0);
    }

    boolean tells(int field) {
        return (fields & 1 << field) != 0;
    }

    String source() {
        return SOURCES[source];
    }

    /** What one scheduler is told. */
    Settings of(int number) {
        try {
            return SettingsReader.read(text(number)).settings;
        } catch (WireException e) {
            throw new AssertionError(text(number), e);
        }
    }

    /** The settings' text, as the wire page has it. */
    String text(int number) {
        JsonObject root = new JsonObject();
        root.add("areas", names("zone", zones));
        root.addProperty("az", zoneOf(number));
        root.addProperty("siblings", siblings);
        root.addProperty("slotNo", number);
        root.addProperty("discovery", asked ? "ask" : "push");
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

    private static JsonArray names(String stem, int count) {
        JsonArray names = new JsonArray();
        for (int i = 0; i < count; i++) {
            names.add(stem + i);
        }
        return names;
    }

    private JsonArray classes() {
        JsonArray all = new JsonArray();
        for (RandomClass from : classes) {
            JsonObject to = new JsonObject();
            to.addProperty("name", "class" + all.size());
            to.addProperty("aim", from.aimMs() / 1e3);
            to.addProperty("hardLimit", from.deadlineMs() / 1e3);
            to.addProperty("semantics", SEMANTICS[from.semantics]);
            to.addProperty("group", GROUPS[from.group]);
            to.addProperty("dedupWindow", from.windowMs / 1e3);
            to.addProperty("worth", from.worth);
            to.addProperty("lateWorth", from.lateTenths / 10.0);
            all.add(to);
        }
        return all;
    }

    private JsonObject familyInfo() {
        JsonObject info = new JsonObject();
        JsonArray kind = new JsonArray();
        JsonArray stretch = new JsonArray();
        for (RandomClass from : classes) {
            kind.add(kindOf(from));
            stretch.add(from.stretchTenths / 10.0);
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
        limits.addProperty("cancel", cancel);
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
        JsonArray all = new JsonArray();
        for (int i = 0; i < tenants; i++) {
            JsonObject one = new JsonObject();
            one.addProperty("name", "tenant" + i);
            one.addProperty("quotaPerS", quota > 0 ? quota : 5.0 + 10 * i);
            one.addProperty("portion", 1.0 / tenants);
            all.add(one);
        }
        return all;
    }

    @Override
    public String toString() {
        return classes + " hints " + hints + ", load " + load() + ", workers " + kinds + " x " + workersEach
                + " of " + slots + " slots, speed " + speedTenths + "/10, cells " + cells + ", reports "
                + fields + " every " + reportEveryMs + " ms, spread " + workSpread + "/10, memory " + memory
                + ", seed " + seed + " " + text(0);
    }
}
