package laneflow.maintenance.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import laneflow.maintenance.decision.Windows.State;
import laneflow.maintenance.decision.Windows.Window;
import laneflow.policy.decision.Ledger;

/**
 * Windows as a part of the voters' ledger, beside changes of policy, so that neither moves without the
 * other: leave is given only while the policy in force bans a window's racks, and no change comes into force
 * that would give them back. Which endpoints stand in a rack is said by the step with which it begins to
 * drain, so all voters judge alike whatever their files say. Not thread-safe; no I/O, no clock.
 */
public final class WindowLedger implements Ledger.Part {
    /** By this name it stands in the ledger. */
    public static final String NAME = "maintenance";
    /** The most windows that are not over. */
    public static final int MOST_OPEN = 1000;

    private static final String BANS = "bans";

    private final Windows windows = new Windows();
    /** The endpoints of each rack of a window that is away, as the step said that made it drain. */
    private final SortedMap<String, List<String>> racks = new TreeMap<>();
    /** Endpoints that a change of the coordinator's bans, or is about to, and none had banned before. */
    private final SortedSet<String> own = new TreeSet<>();
    /** What each tenant has lost, as {@link Accounts#state} tells it. */
    private final SortedMap<String, double[]> accounts = new TreeMap<>();

    private Set<String> bans = Set.of();
    private Set<String> undecidedBans = Set.of();
    private long inForce;
    private boolean undecided;
    private long version;
    private View view;

    /**
     * All of it at one moment; never changed.
     *
     * @param version counts operations
     * @param inForce the number of the policy in force
     * @param undecided true if a change of policy is
     * @param bans the endpoints that the policy in force bans
     * @param own those of them, and of a change that is undecided, that are banned for windows only
     * @param racks the endpoints of racks that are away
     * @param windows a copy; nobody changes it
     */
    public record View(
            long version,
            long inForce,
            boolean undecided,
            Set<String> bans,
            Set<String> own,
            SortedMap<String, List<String>> racks,
            Windows windows,
            SortedMap<String, double[]> accounts) {
        /** True if the policy in force bans all of a rack that is away. */
        public boolean isBanned(String rack) {
            return racks.containsKey(rack) && bans.containsAll(racks.get(rack));
        }

        /**
         * What a policy has to ban so that these racks are banned, and no others that windows alone have
         * banned; in order.
         */
        public SortedSet<String> bansFor(Set<String> away) {
            SortedSet<String> all = new TreeSet<>(bans);
            all.removeAll(own);
            away.forEach(rack -> all.addAll(racks.getOrDefault(rack, List.of())));
            return all;
        }

        /** As it goes to a coordinator: of the windows, those that it may have anything to do with. */
        public JsonObject json() {
            Set<String> named = new TreeSet<>();
            windows.all().stream().filter(one -> !one.state().isFinal()).forEach(one -> {
                named.add(one.name());
                named.addAll(one.request().after());
            });
            JsonObject all = state(windows.snapshot(one -> named.contains(one.name())), racks, own, accounts);
            all.addProperty("version", version);
            all.addProperty("in_force", inForce);
            all.addProperty("undecided", undecided);
            all.add(BANS, array(bans));
            return all;
        }

        /** Reads what {@link #json} has written. */
        public static View of(JsonObject from) {
            Windows windows = new Windows();
            windows.restore(from);
            SortedMap<String, List<String>> racks = new TreeMap<>();
            from.getAsJsonObject("racks").entrySet().forEach(one -> racks.put(one.getKey(), texts(one.getValue())));
            return new View(
                    from.get("version").getAsLong(),
                    from.get("in_force").getAsLong(),
                    from.get("undecided").getAsBoolean(),
                    new TreeSet<>(texts(from.get(BANS))),
                    new TreeSet<>(texts(from.get("own"))),
                    racks,
                    windows,
                    sums(from.getAsJsonObject("accounts")));
        }
    }

    private static JsonObject state(
            JsonObject all, Map<String, List<String>> racks, Set<String> own, Map<String, double[]> accounts) {
        JsonObject endpoints = new JsonObject();
        racks.forEach((rack, names) -> endpoints.add(rack, array(names)));
        all.add("racks", endpoints);
        all.add("own", array(own));
        all.add("accounts", write(accounts));
        return all;
    }

    public WindowLedger() {
        look();
    }

    // ---- operations ----

    /** An operation on one window, as {@link Windows} makes it, for the ledger's log. */
    public static JsonObject op(JsonObject of) {
        of.addProperty(Ledger.PART, NAME);
        return of;
    }

    /** Requests that are taken together or not at all. */
    public static JsonObject requests(List<Request> all) {
        JsonObject op = op(new JsonObject());
        op.addProperty("op", "requests");
        JsonArray list = new JsonArray();
        all.forEach(one -> list.add(MaintenanceJson.write(one)));
        op.add("requests", list);
        return op;
    }

    /** A step that makes racks drain: these are their endpoints. */
    public static JsonObject drains(JsonObject step, Map<String, List<String>> endpoints) {
        JsonObject to = new JsonObject();
        endpoints.forEach((rack, names) -> to.add(rack, array(names)));
        step.add("endpoints", to);
        return op(step);
    }

    /** What tenants have lost, by the coordinator of that token. */
    public static JsonObject accounts(long token, Map<String, double[]> state) {
        JsonObject op = op(new JsonObject());
        op.addProperty("op", "accounts");
        op.addProperty("token", token);
        op.add("accounts", write(state));
        return op;
    }

    private static JsonArray array(Iterable<String> texts) {
        JsonArray all = new JsonArray();
        texts.forEach(all::add);
        return all;
    }

    private static List<String> texts(JsonElement from) {
        List<String> all = new ArrayList<>();
        from.getAsJsonArray().forEach(one -> all.add(one.getAsString()));
        return List.copyOf(all);
    }

    private static JsonObject write(Map<String, double[]> state) {
        JsonObject to = new JsonObject();
        state.forEach((tenant, sums) -> {
            JsonArray list = new JsonArray();
            for (double sum : sums) {
                list.add(sum);
            }
            to.add(tenant, list);
        });
        return to;
    }

    private static SortedMap<String, double[]> sums(JsonObject from) {
        SortedMap<String, double[]> all = new TreeMap<>();
        from.entrySet().forEach(one -> {
            JsonArray list = one.getValue().getAsJsonArray();
            double[] sums = new double[list.size()];
            for (int i = 0; i < sums.length; i++) {
                sums[i] = list.get(i).getAsDouble();
            }
            all.put(one.getKey(), sums);
        });
        return all;
    }

    private static JsonObject error(String text) {
        JsonObject answer = new JsonObject();
        answer.addProperty("error", text);
        return answer;
    }

    @Override
    public JsonObject run(JsonObject op) {
        JsonObject answer = switch (op.get("op").getAsString()) {
            case "requests" -> request(op.getAsJsonArray("requests"));
            case "accounts" -> accounts(op);
            case "step" -> step(op);
            default -> windows.run(op, this::isBanned);
        };
        version++;
        clean();
        look();
        return answer;
    }

    private boolean isBanned(String rack) {
        return racks.containsKey(rack) && bans.containsAll(racks.get(rack));
    }

    private JsonObject request(JsonArray all) {
        long open = windows.all().stream().filter(one -> !one.state().isFinal()).count();
        List<Request> wanted = new ArrayList<>();
        for (JsonElement one : all) {
            Request request = MaintenanceJson.request(one.getAsJsonObject());
            Window known = windows.window(request.name());
            if (known != null && !known.request().equals(request)) {
                return error("the name '" + request.name() + "' is that of another request");
            }
            open += known == null ? 1 : 0;
            wanted.add(request);
        }
        if (open > MOST_OPEN) {
            return error("there would be " + open + " windows that are not over, the most are " + MOST_OPEN);
        }
        JsonArray told = new JsonArray();
        for (Request request : wanted) {
            windows.run(Windows.request(request), this::isBanned);
            told.add(MaintenanceJson.write(windows.window(request.name())));
        }
        JsonObject answer = new JsonObject();
        answer.add("windows", told);
        return answer;
    }

    private JsonObject step(JsonObject op) {
        Window window = windows.window(op.get("name").getAsString());
        boolean drains = op.get("to").getAsString().equals(State.DRAINING.word());
        if (!drains || window == null) {
            return windows.run(op, this::isBanned);
        }
        SortedMap<String, List<String>> named = new TreeMap<>();
        JsonObject endpoints = op.has("endpoints") ? op.getAsJsonObject("endpoints") : new JsonObject();
        for (String rack : window.request().racks()) {
            List<String> names = endpoints.has(rack) ? texts(endpoints.get(rack)) : List.of();
            if (names.isEmpty()) {
                return error("it is not said which endpoints stand in rack '" + rack + "'");
            }
            named.put(rack, names);
        }
        JsonObject answer = windows.run(op, this::isBanned);
        if (!answer.has("error")) {
            racks.putAll(named);
        }
        return answer;
    }

    private JsonObject accounts(JsonObject op) {
        if (op.get("token").getAsLong() < windows.token()) {
            return error("token " + op.get("token") + " is over: " + windows.token() + " has been seen");
        }
        accounts.clear();
        accounts.putAll(sums(op.getAsJsonObject("accounts")));
        return new JsonObject();
    }

    // ---- beside changes of policy ----

    @Override
    public void onPolicyChanged(Ledger.View now) {
        inForce = now.inForce();
        bans = names(now.merged());
        undecided = now.open() != null;
        undecidedBans = undecided ? names(now.openMerged()) : Set.of();
        if (undecided && now.open().proposer().equals(NAME)) {
            // What operators ban already stays theirs, and stays banned behind the window.
            undecidedBans.stream().filter(name -> !bans.contains(name)).forEach(own::add);
        }
        version++;
        clean();
        look();
    }

    private static Set<String> names(JsonObject policy) {
        Set<String> all = new TreeSet<>();
        if (policy.has(BANS)) {
            policy.getAsJsonArray(BANS).forEach(one -> {
                // What no scheduler can read is turned down by them; here it bans nothing.
                boolean named = one.isJsonObject()
                        && one.getAsJsonObject().has("name")
                        && one.getAsJsonObject().get("name").isJsonPrimitive();
                if (named) {
                    all.add(one.getAsJsonObject().get("name").getAsString());
                }
            });
        }
        return Collections.unmodifiableSet(all);
    }

    @Override
    public String rejectionReason(JsonObject types, JsonObject merged) {
        if (!types.has(BANS)) {
            return null;
        }
        Set<String> then = names(merged);
        Set<String> banned = new TreeSet<>();
        racks.forEach((rack, endpoints) -> {
            if (then.containsAll(endpoints)) {
                banned.add(rack);
            }
        });
        List<String> missing = windows.missing(banned);
        if (missing.isEmpty()) {
            return null;
        }
        Set<String> names = new TreeSet<>();
        missing.forEach(rack -> names.addAll(racks.getOrDefault(rack, List.of())));
        names.removeAll(then);
        return "rack " + String.join(", ", missing) + " is away for a window: bans have to hold "
                + String.join(", ", names);
    }

    /** What stands in no rack that is away, and what no policy bans or is about to, is forgotten. */
    private void clean() {
        Set<String> away = new TreeSet<>();
        Set<String> kept = new TreeSet<>(bans);
        kept.addAll(undecidedBans);
        for (Window one : windows.all()) {
            if (one.state().isAway()) {
                away.addAll(one.request().racks());
            }
        }
        racks.keySet().retainAll(away);
        own.retainAll(kept);
    }

    private void look() {
        view = new View(
                version,
                inForce,
                undecided,
                bans,
                Collections.unmodifiableSet(new TreeSet<>(own)),
                Collections.unmodifiableSortedMap(new TreeMap<>(racks)),
                windows.copy(one -> true),
                Collections.unmodifiableSortedMap(new TreeMap<>(accounts)));
    }

    // ---- reading ----

    @Override
    public View view() {
        return view;
    }

    @Override
    public JsonObject snapshot() {
        JsonObject all = state(windows.snapshot(), racks, own, accounts);
        all.addProperty("version", version);
        return all;
    }

    @Override
    public void restore(JsonObject from) {
        racks.clear();
        own.clear();
        accounts.clear();
        version = 0;
        if (from == null) {
            windows.restore(new Windows().snapshot());
        } else {
            windows.restore(from);
            from.getAsJsonObject("racks").entrySet().forEach(one -> racks.put(one.getKey(), texts(one.getValue())));
            own.addAll(texts(from.get("own")));
            accounts.putAll(sums(from.getAsJsonObject("accounts")));
            version = from.get("version").getAsLong();
        }
        look();
    }
}
