package laneflow.maintenance.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Windows as the voters agree on them, a state machine: the same operations in the same order lead to the
 * same state at each voter. Each step of a window names the state and the count of steps that it goes out
 * from and the coordinator's fencing token; a step that was taken already, or comes from a coordinator that
 * has been followed by another, changes nothing. What a crew says (begun, finished) bears no token: a person
 * at a rack is no coordinator. No I/O, no clock: instants come with the operations. Not thread-safe.
 */
public final class Windows {
    /** The most windows that are kept; the oldest that are over give way. */
    public static final int MOST_KEPT = 5_000;

    private static final int MOST_REASONS = 16;
    private static final int MOST_REASON = 300;

    /** Where a window stands. Those from DONE on are final, but for POSTPONED, which is planned anew. */
    public enum State {
        REQUESTED,
        PLANNED,
        ANNOUNCED,
        DRAINING,
        DOWN,
        OVERRUN,
        RETURNING,
        POSTPONED,
        DONE,
        REFUSED,
        ABORTED;

        /** True if nothing follows any more. */
        public boolean isFinal() {
            return this == DONE || this == REFUSED || this == ABORTED;
        }

        /** True while its racks are banned, or are to be. */
        public boolean isAway() {
            return this == DRAINING || this == DOWN || this == OVERRUN || this == RETURNING;
        }

        /** True while somebody may be at work there. */
        public boolean isWorkedOn() {
            return this == DOWN || this == OVERRUN;
        }

        /** As it is written in the log and told to people. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Which steps there are; all else is refused, whoever asks. */
    private static final Map<State, Set<State>> NEXT = Map.of(
            State.REQUESTED, Set.of(State.PLANNED, State.REFUSED, State.ABORTED),
            State.PLANNED, Set.of(State.ANNOUNCED, State.PLANNED, State.POSTPONED, State.ABORTED),
            State.ANNOUNCED, Set.of(State.DRAINING, State.POSTPONED, State.ABORTED),
            State.DRAINING, Set.of(State.DOWN, State.RETURNING),
            State.DOWN, Set.of(State.OVERRUN, State.RETURNING),
            State.OVERRUN, Set.of(State.RETURNING),
            State.RETURNING, Set.of(State.DONE, State.POSTPONED, State.ABORTED),
            State.POSTPONED, Set.of(State.PLANNED, State.REFUSED, State.ABORTED));

    /**
     * A window at one moment; never changed.
     *
     * @param steps how many it has taken: the next one names this number
     * @param startMs when its racks begin to drain by the plan, Unix milliseconds; 0: no time yet
     * @param leaveMs when leave was given to begin; 0: none
     * @param begun true if the crew has said that it is at work
     * @param callOff true if it is to be turned back or called off: its return ends in ABORTED or POSTPONED
     * @param outcome of its return: DONE, POSTPONED or ABORTED
     * @param reasons why it stands where it does, if not by plan
     */
    public record Window(
            Request request,
            State state,
            long steps,
            long startMs,
            long leaveMs,
            boolean begun,
            boolean callOff,
            State outcome,
            List<String> reasons) {
        public String name() {
            return request.name();
        }

        private Window with(
                State next, long start, long leave, boolean isBegun, boolean isCalledOff, State end, List<String> why) {
            return new Window(request, next, steps + 1, start, leave, isBegun, isCalledOff, end, why);
        }
    }

    private final Map<String, Window> windows = new LinkedHashMap<>();
    private long token;
    private long away;

    // ---- operations, as they stand in the log ----

    /** A request for a window, by its owner. */
    public static JsonObject request(Request request) {
        JsonObject op = op("request", request.name());
        op.add("request", MaintenanceJson.write(request));
        return op;
    }

    /**
     * A step of a window.
     *
     * @param from the window as the coordinator knows it
     * @param away what {@link #away} was when it was decided
     * @param startMs its time, where it is planned; else as it was
     * @param outcome what its return is to end in
     */
    public static JsonObject step(
            long token,
            Window from,
            State to,
            long away,
            long startMs,
            State outcome,
            List<String> reasons,
            long nowMs) {
        JsonObject op = op("step", from.name());
        op.addProperty("token", token);
        op.addProperty("steps", from.steps());
        op.addProperty("to", to.word());
        op.addProperty("away", away);
        op.addProperty("start_ms", startMs);
        op.addProperty("outcome", outcome.word());
        op.addProperty("ms", nowMs);
        JsonArray texts = new JsonArray();
        reasons.stream()
                .limit(MOST_REASONS)
                .map(text -> text.length() > MOST_REASON ? text.substring(0, MOST_REASON) : text)
                .forEach(texts::add);
        op.add("reasons", texts);
        return op;
    }

    /** The crew begins: only behind leave. */
    public static JsonObject begin(String name) {
        return op("begin", name);
    }

    /** The crew has finished: its racks may come back. */
    public static JsonObject finish(String name) {
        return op("finish", name);
    }

    /** It is called off by its owner. */
    public static JsonObject abort(String name, long nowMs) {
        JsonObject op = op("abort", name);
        op.addProperty("ms", nowMs);
        return op;
    }

    private static JsonObject op(String kind, String name) {
        JsonObject op = new JsonObject();
        op.addProperty("op", kind);
        op.addProperty("name", name);
        return op;
    }

    /**
     * Carries out an operation. The answer holds {@code state} and {@code steps} as they then stand, or
     * {@code error} with the reason why nothing was changed.
     *
     * @param isBanned whether the policy that is in force, by the same log, bans all of a rack
     */
    public JsonObject run(JsonObject op, Predicate<String> isBanned) {
        String name = op.get("name").getAsString();
        Window window = windows.get(name);
        String kind = op.get("op").getAsString();
        if (kind.equals("request")) {
            return request(window, MaintenanceJson.request(op.getAsJsonObject("request")));
        }
        if (window == null) {
            return error("there is no window '" + name + "'");
        }
        return switch (kind) {
            case "step" -> step(window, op, isBanned);
            case "begin" -> begin(window);
            case "finish" -> finish(window);
            case "abort" -> abort(window, op.get("ms").getAsLong());
            default -> error("'" + kind + "' is no operation");
        };
    }

    private JsonObject request(Window known, Request request) {
        if (known != null) {
            // Asked again: the same request is the same window, another one needs another name.
            return known.request().equals(request)
                    ? told(known)
                    : error("the name '" + request.name() + "' is that of another request");
        }
        forget();
        if (windows.size() >= MOST_KEPT) {
            return error(MOST_KEPT + " windows are open already");
        }
        return put(new Window(request, State.REQUESTED, 1, 0, 0, false, false, State.DONE, List.of()));
    }

    private void forget() {
        var oldest = windows.values().iterator();
        for (int over = windows.size() + 1 - MOST_KEPT; over > 0 && oldest.hasNext(); ) {
            if (oldest.next().state().isFinal()) {
                oldest.remove();
                over--;
            }
        }
    }

    private JsonObject step(Window window, JsonObject op, Predicate<String> isBanned) {
        long by = op.get("token").getAsLong();
        if (by < token) {
            return error("token " + by + " is over: " + token + " has been seen");
        }
        token = by;
        State to = State.valueOf(op.get("to").getAsString().toUpperCase(Locale.ROOT));
        if (op.get("steps").getAsLong() != window.steps()) {
            return error(window.name() + " has taken " + window.steps() + " steps, and is "
                    + window.state().word());
        }
        if (!NEXT.getOrDefault(window.state(), Set.of()).contains(to)) {
            return error(window.name() + " is " + window.state().word() + " and can't become " + to.word());
        }
        State outcome = State.valueOf(op.get("outcome").getAsString().toUpperCase(Locale.ROOT));
        if (to == State.DRAINING && op.get("away").getAsLong() != away) {
            // Two that are fair alone may not be so together: each is judged beside all others or not at all.
            return error("what is away has changed since " + window.name() + " was judged");
        }
        if (to == State.DOWN
                && (window.callOff() || !window.request().racks().stream().allMatch(isBanned))) {
            return error(window.name()
                    + (window.callOff() ? " was called off" : ": the policy in force does not ban all of its racks"));
        }
        if (to == State.RETURNING && window.state().isWorkedOn() && window.begun()) {
            return error(window.name() + ": its crew is at work and has not said that it has finished");
        }
        boolean ends = window.state() == State.RETURNING;
        if (ends && to != window.outcome()) {
            return error(window.name() + " returns to be " + window.outcome().word());
        }
        List<String> reasons = new ArrayList<>();
        op.getAsJsonArray("reasons").forEach(one -> reasons.add(one.getAsString()));
        long start = to == State.PLANNED ? op.get("start_ms").getAsLong() : window.startMs();
        long leave = to == State.DOWN ? op.get("ms").getAsLong() : to == State.PLANNED ? 0 : window.leaveMs();
        boolean keeps = window.callOff() && to != State.PLANNED;
        State end = to == State.RETURNING
                ? keeps ? State.ABORTED : outcome
                : to == State.PLANNED ? State.DONE : window.outcome();
        return put(window.with(to, start, leave, to.isWorkedOn() && window.begun(), keeps, end, List.copyOf(reasons)));
    }

    private JsonObject begin(Window window) {
        if (window.begun() && window.state().isWorkedOn()) {
            return told(window);
        }
        if (window.state() != State.DOWN || window.callOff()) {
            return error("no leave: " + window.name() + " is " + window.state().word()
                    + (window.callOff() ? " and was called off" : ""));
        }
        return put(window.with(
                window.state(), window.startMs(), window.leaveMs(), true, false, window.outcome(), window.reasons()));
    }

    private JsonObject finish(Window window) {
        if (!window.state().isWorkedOn()) {
            boolean over = window.state() == State.RETURNING || window.state().isFinal();
            return over
                    ? told(window)
                    : error(window.name() + " is " + window.state().word());
        }
        State end = window.callOff() ? State.ABORTED : State.DONE;
        return put(window.with(
                State.RETURNING, window.startMs(), window.leaveMs(), false, window.callOff(), end, window.reasons()));
    }

    private JsonObject abort(Window window, long nowMs) {
        State state = window.state();
        if (state.isFinal() || window.callOff()) {
            return told(window);
        }
        if (window.begun()
                && state.isWorkedOn()
                && nowMs > window.leaveMs() + window.request().abortMs()) {
            return error(window.name() + " is past its abort point: it has to be finished");
        }
        if (!state.isAway()) {
            return put(window.with(
                    State.ABORTED,
                    window.startMs(),
                    0,
                    false,
                    true,
                    State.ABORTED,
                    List.of("called off by its owner")));
        }
        // Away already: it comes back in order. Who is at work there says when it can.
        return put(window.with(
                state,
                window.startMs(),
                window.leaveMs(),
                window.begun(),
                true,
                State.ABORTED,
                List.of("called off by its owner")));
    }

    private JsonObject put(Window window) {
        Window was = windows.put(window.name(), window);
        away += was != null && was.state().isAway() != window.state().isAway() ? 1 : 0;
        return told(window);
    }

    private static JsonObject told(Window window) {
        JsonObject answer = new JsonObject();
        answer.addProperty("state", window.state().word());
        answer.addProperty("steps", window.steps());
        return answer;
    }

    private static JsonObject error(String text) {
        JsonObject answer = new JsonObject();
        answer.addProperty("error", text);
        return answer;
    }

    // ---- reading ----

    /** The window of that name, or null. */
    public Window window(String name) {
        return windows.get(name);
    }

    /** All of them, in the order in which they were asked for. */
    public List<Window> all() {
        return List.copyOf(windows.values());
    }

    /**
     * Racks that a policy has to ban and does not: a change that would give them back amid a window is
     * turned down by whoever keeps both in one log.
     *
     * @param banned the racks that it bans
     */
    public List<String> missing(Set<String> banned) {
        return windows.values().stream()
                .filter(one -> one.state().isWorkedOn() || one.state() == State.DRAINING)
                .flatMap(one -> one.request().racks().stream())
                .filter(rack -> !banned.contains(rack))
                .toList();
    }

    /** Counts the times at which a window's racks began or ended to be away. */
    public long away() {
        return away;
    }

    /** The highest token that a step has borne. */
    public long token() {
        return token;
    }

    /** The same at this moment, of its own from here on, with these windows only. */
    public Windows copy(Predicate<Window> which) {
        Windows copy = new Windows();
        windows.values().stream().filter(which).forEach(one -> copy.windows.put(one.name(), one));
        copy.token = token;
        copy.away = away;
        return copy;
    }

    /** All of it, for a snapshot of the log. */
    public JsonObject snapshot() {
        return snapshot(one -> true);
    }

    /** The same of some windows only. */
    JsonObject snapshot(Predicate<Window> which) {
        JsonObject all = new JsonObject();
        JsonArray list = new JsonArray();
        windows.values().stream().filter(which).forEach(one -> list.add(MaintenanceJson.write(one)));
        all.add("windows", list);
        all.addProperty("token", token);
        all.addProperty("away", away);
        return all;
    }

    /** Takes a snapshot's state in place of its own. */
    public void restore(JsonObject from) {
        windows.clear();
        for (JsonElement one : from.getAsJsonArray("windows")) {
            Window window = MaintenanceJson.window(one.getAsJsonObject());
            windows.put(window.name(), window);
        }
        token = from.get("token").getAsLong();
        away = from.get("away").getAsLong();
    }
}
