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
 * Maintenance windows as a part of the voters' ledger, next to policy changes, so that each is checked against
 * the other: the permission to begin work (leave) is given only while the policy in force bans a window's racks,
 * and until the window returns no policy change that lifts these bans is accepted. The step that starts a drain
 * lists the endpoints of each rack, so all voters decide alike whatever their configuration files say. Not
 * thread-safe; no I/O, no clock.
 */
public final class WindowLedger implements Ledger.Part {
    /** Name of this part in the ledger. */
    public static final String NAME = "maintenance";
    /** Maximum number of windows that are not final. */
    public static final int MAX_OPEN = 1000;

    private static final String BANS = "bans";

    private final Windows windows = new Windows();
    /** Endpoints of each rack that is away, as listed by the step that started the drain. */
    private final SortedMap<String, List<String>> racks = new TreeMap<>();
    /** Endpoints banned by the coordinator, in force or undecided, that no earlier policy banned. */
    private final SortedSet<String> windowBans = new TreeSet<>();
    /** Losses of each tenant, as given by {@link LossAccounts#state}. */
    private final SortedMap<String, double[]> accounts = new TreeMap<>();

    private Set<String> bans = Set.of();
    private Set<String> undecidedBans = Set.of();
    private long inForce;
    private boolean undecided;
    private long version;
    private View view;

    /**
     * Immutable copy of the state.
     *
     * @param version counts operations
     * @param inForce number of the policy in force
     * @param undecided true if a policy change is undecided
     * @param bans endpoints that the policy in force bans
     * @param windowBans endpoints of the policy in force or an undecided change that are banned for windows
     * only
     * @param racks endpoints of the racks that are away
     * @param windows a copy that is never modified
     */
    public record View(
            long version,
            long inForce,
            boolean undecided,
            Set<String> bans,
            Set<String> windowBans,
            SortedMap<String, List<String>> racks,
            Windows windows,
            SortedMap<String, double[]> accounts) {
        /** True if the rack is away and the policy in force bans all its endpoints. */
        public boolean isBanned(String rack) {
            return racks.containsKey(rack) && bans.containsAll(racks.get(rack));
        }

        /**
         * The endpoints that a policy has to ban, in order: those of these racks, and all current bans except
         * those that exist for windows only.
         */
        public SortedSet<String> bansFor(Set<String> away) {
            SortedSet<String> all = new TreeSet<>(bans);
            all.removeAll(windowBans);
            away.forEach(rack -> all.addAll(racks.getOrDefault(rack, List.of())));
            return all;
        }

        /** JSON for a coordinator, limited to the windows that are not final and their predecessors. */
        public JsonObject toJson() {
            Set<String> names = new TreeSet<>();
            windows.all().stream().filter(one -> !one.state().isFinal()).forEach(one -> {
                names.add(one.name());
                names.addAll(one.request().after());
            });
            JsonObject all = state(windows.snapshot(one -> names.contains(one.name())), racks, windowBans, accounts);
            all.addProperty("version", version);
            all.addProperty("in_force", inForce);
            all.addProperty("undecided", undecided);
            all.add(BANS, array(bans));
            return all;
        }

        /** Reads what {@link #toJson} has written. */
        public static View fromJson(JsonObject from) {
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
                    readAccounts(from.getAsJsonObject("accounts")));
        }
    }

    private static JsonObject state(
            JsonObject all, Map<String, List<String>> racks, Set<String> windowBans, Map<String, double[]> accounts) {
        JsonObject endpoints = new JsonObject();
        racks.forEach((rack, names) -> endpoints.add(rack, array(names)));
        all.add("racks", endpoints);
        all.add("own", array(windowBans));
        all.add("accounts", accountsJson(accounts));
        return all;
    }

    public WindowLedger() {
        publishView();
    }

    // ---- operations ----

    /** Addresses an operation of {@link Windows} to this part of the ledger. */
    public static JsonObject partOp(JsonObject op) {
        op.addProperty(Ledger.PART, NAME);
        return op;
    }

    /** Requests that are accepted all together or not at all. */
    public static JsonObject requestsOp(List<Request> all) {
        JsonObject op = partOp(new JsonObject());
        op.addProperty("op", "requests");
        JsonArray list = new JsonArray();
        all.forEach(one -> list.add(MaintenanceJson.write(one)));
        op.add("requests", list);
        return op;
    }

    /** A step that starts a drain, with the endpoints of each rack. */
    public static JsonObject drainStep(JsonObject step, Map<String, List<String>> endpoints) {
        JsonObject to = new JsonObject();
        endpoints.forEach((rack, names) -> to.add(rack, array(names)));
        step.add("endpoints", to);
        return partOp(step);
    }

    /** Losses of tenants, written by the coordinator with that token. */
    public static JsonObject accountsOp(long token, Map<String, double[]> state) {
        JsonObject op = partOp(new JsonObject());
        op.addProperty("op", "accounts");
        op.addProperty("token", token);
        op.add("accounts", accountsJson(state));
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

    private static JsonObject accountsJson(Map<String, double[]> state) {
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

    private static SortedMap<String, double[]> readAccounts(JsonObject from) {
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
            default -> windows.apply(op, this::isBanned);
        };
        version++;
        prune();
        publishView();
        return answer;
    }

    private boolean isBanned(String rack) {
        return racks.containsKey(rack) && bans.containsAll(racks.get(rack));
    }

    private JsonObject request(JsonArray all) {
        long open = windows.all().stream().filter(one -> !one.state().isFinal()).count();
        List<Request> requests = new ArrayList<>();
        for (JsonElement one : all) {
            Request request = MaintenanceJson.request(one.getAsJsonObject());
            Window existing = windows.window(request.name());
            if (existing != null && !existing.request().equals(request)) {
                return error("the name '" + request.name() + "' is that of another request");
            }
            open += existing == null ? 1 : 0;
            requests.add(request);
        }
        if (open > MAX_OPEN) {
            return error("there would be " + open + " open windows, the limit is " + MAX_OPEN);
        }
        JsonArray accepted = new JsonArray();
        for (Request request : requests) {
            windows.apply(Windows.request(request), this::isBanned);
            accepted.add(MaintenanceJson.write(windows.window(request.name())));
        }
        JsonObject answer = new JsonObject();
        answer.add("windows", accepted);
        return answer;
    }

    private JsonObject step(JsonObject op) {
        Window window = windows.window(op.get("name").getAsString());
        boolean drains = op.get("to").getAsString().equals(State.DRAINING.label());
        if (!drains || window == null) {
            return windows.apply(op, this::isBanned);
        }
        SortedMap<String, List<String>> endpointsByRack = new TreeMap<>();
        JsonObject endpoints = op.has("endpoints") ? op.getAsJsonObject("endpoints") : new JsonObject();
        for (String rack : window.request().racks()) {
            List<String> names = endpoints.has(rack) ? texts(endpoints.get(rack)) : List.of();
            if (names.isEmpty()) {
                return error("no endpoints are given for rack '" + rack + "'");
            }
            endpointsByRack.put(rack, names);
        }
        JsonObject answer = windows.apply(op, this::isBanned);
        if (!answer.has("error")) {
            racks.putAll(endpointsByRack);
        }
        return answer;
    }

    private JsonObject accounts(JsonObject op) {
        if (op.get("token").getAsLong() < windows.token()) {
            return error("token " + op.get("token") + " is superseded: " + windows.token() + " has been seen");
        }
        accounts.clear();
        accounts.putAll(readAccounts(op.getAsJsonObject("accounts")));
        return new JsonObject();
    }

    // ---- policy changes ----

    @Override
    public void onPolicyChanged(Ledger.View now) {
        inForce = now.inForce();
        bans = names(now.merged());
        undecided = now.open() != null;
        undecidedBans = undecided ? names(now.openMerged()) : Set.of();
        if (undecided && now.open().proposer().equals(NAME)) {
            // Endpoints that operators had banned already stay banned after the window.
            undecidedBans.stream().filter(name -> !bans.contains(name)).forEach(windowBans::add);
        }
        version++;
        prune();
        publishView();
    }

    private static Set<String> names(JsonObject policy) {
        Set<String> all = new TreeSet<>();
        if (policy.has(BANS)) {
            policy.getAsJsonArray(BANS).forEach(one -> {
                // Schedulers reject entries that they cannot read; here these ban nothing.
                boolean hasName = one.isJsonObject()
                        && one.getAsJsonObject().has("name")
                        && one.getAsJsonObject().get("name").isJsonPrimitive();
                if (hasName) {
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
        Set<String> bannedAfter = names(merged);
        Set<String> banned = new TreeSet<>();
        racks.forEach((rack, endpoints) -> {
            if (bannedAfter.containsAll(endpoints)) {
                banned.add(rack);
            }
        });
        List<String> missing = windows.missingBans(banned);
        if (missing.isEmpty()) {
            return null;
        }
        Set<String> names = new TreeSet<>();
        missing.forEach(rack -> names.addAll(racks.getOrDefault(rack, List.of())));
        names.removeAll(bannedAfter);
        return "rack " + String.join(", ", missing) + " is away for a window: bans have to hold "
                + String.join(", ", names);
    }

    /** Drops racks that are no longer away and bans that are neither in force nor undecided. */
    private void prune() {
        Set<String> away = new TreeSet<>();
        Set<String> bansInEffect = new TreeSet<>(bans);
        bansInEffect.addAll(undecidedBans);
        for (Window one : windows.all()) {
            if (one.state().isAway()) {
                away.addAll(one.request().racks());
            }
        }
        racks.keySet().retainAll(away);
        windowBans.retainAll(bansInEffect);
    }

    private void publishView() {
        view = new View(
                version,
                inForce,
                undecided,
                bans,
                Collections.unmodifiableSet(new TreeSet<>(windowBans)),
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
        JsonObject all = state(windows.snapshot(), racks, windowBans, accounts);
        all.addProperty("version", version);
        return all;
    }

    @Override
    public void restore(JsonObject from) {
        racks.clear();
        windowBans.clear();
        accounts.clear();
        version = 0;
        if (from == null) {
            windows.restore(new Windows().snapshot());
        } else {
            windows.restore(from);
            from.getAsJsonObject("racks").entrySet().forEach(one -> racks.put(one.getKey(), texts(one.getValue())));
            windowBans.addAll(texts(from.get("own")));
            accounts.putAll(readAccounts(from.getAsJsonObject("accounts")));
            version = from.get("version").getAsLong();
        }
        publishView();
    }
}
