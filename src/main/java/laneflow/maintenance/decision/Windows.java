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
 * State machine of maintenance windows, replicated by the voters: the same operations in the same order give
 * the same state at each voter. Each step of a window names the number of steps the window had taken when it
 * was decided, and the coordinator's fencing token; a repeated step, or one from a superseded coordinator,
 * changes nothing. A crew's operations (begin, finish) carry no token, since they do not come from a
 * coordinator. Leave is the permission to begin work. No I/O, no clock: times come with the operations. Not
 * thread-safe.
 */
public final class Windows {
    /** Maximum number of windows kept; the oldest final ones are evicted first. */
    public static final int MAX_WINDOWS = 5_000;

    private static final int MAX_REASONS = 16;
    private static final int MAX_REASON_LENGTH = 300;

    /** State of a window. DONE, REFUSED and ABORTED are final; a POSTPONED window is planned again. */
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

        /** True if no step can follow. */
        public boolean isFinal() {
            return this == DONE || this == REFUSED || this == ABORTED;
        }

        /** True while its racks are banned, or are to be. */
        public boolean isAway() {
            return this == DRAINING || this == DOWN || this == OVERRUN || this == RETURNING;
        }

        /** True while a crew may be at work. */
        public boolean isWorkedOn() {
            return this == DOWN || this == OVERRUN;
        }

        /** Name in the log and in messages to operators. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Valid transitions; every other step is refused. */
    private static final Map<State, Set<State>> TRANSITIONS = Map.of(
            State.REQUESTED, Set.of(State.PLANNED, State.REFUSED, State.ABORTED),
            State.PLANNED, Set.of(State.ANNOUNCED, State.PLANNED, State.POSTPONED, State.ABORTED),
            State.ANNOUNCED, Set.of(State.DRAINING, State.POSTPONED, State.ABORTED),
            State.DRAINING, Set.of(State.DOWN, State.RETURNING),
            State.DOWN, Set.of(State.OVERRUN, State.RETURNING),
            State.OVERRUN, Set.of(State.RETURNING),
            State.RETURNING, Set.of(State.DONE, State.POSTPONED, State.ABORTED),
            State.POSTPONED, Set.of(State.PLANNED, State.REFUSED, State.ABORTED));

    /**
     * Immutable state of a window.
     *
     * @param steps number of steps taken; the next step names this number
     * @param startMs planned start of the drain, Unix milliseconds; 0: not planned
     * @param leaveMs when leave to begin was given; 0: not given
     * @param begun true if the crew has reported that it is at work
     * @param calledOff true if it was called off; its return then ends in ABORTED
     * @param outcome final state of its return: DONE, POSTPONED or ABORTED
     * @param reasons why it is in this state, if not according to plan
     */
    public record Window(
            Request request,
            State state,
            long steps,
            long startMs,
            long leaveMs,
            boolean begun,
            boolean calledOff,
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
    private long awayChanges;

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
     * @param awayChanges value of {@link #awayChanges} when the step was decided
     * @param startMs the planned start if the step plans the window, else unchanged
     * @param outcome the final state of its return
     */
    public static JsonObject step(
            long token,
            Window from,
            State to,
            long awayChanges,
            long startMs,
            State outcome,
            List<String> reasons,
            long nowMs) {
        JsonObject op = op("step", from.name());
        op.addProperty("token", token);
        op.addProperty("steps", from.steps());
        op.addProperty("to", to.label());
        op.addProperty("away", awayChanges);
        op.addProperty("start_ms", startMs);
        op.addProperty("outcome", outcome.label());
        op.addProperty("ms", nowMs);
        JsonArray texts = new JsonArray();
        reasons.stream()
                .limit(MAX_REASONS)
                .map(text -> text.length() > MAX_REASON_LENGTH ? text.substring(0, MAX_REASON_LENGTH) : text)
                .forEach(texts::add);
        op.add("reasons", texts);
        return op;
    }

    /** The crew begins; accepted only after leave was given. */
    public static JsonObject begin(String name) {
        return op("begin", name);
    }

    /** The crew has finished: its racks may return. */
    public static JsonObject finish(String name) {
        return op("finish", name);
    }

    /** The owner calls the window off. */
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
     * Applies an operation. The answer holds {@code state} and {@code steps} after it, or {@code error} with
     * the reason why nothing was changed.
     *
     * @param isBanned whether the policy in force, by the same log, bans a whole rack
     */
    public JsonObject apply(JsonObject op, Predicate<String> isBanned) {
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
            // A repeated request is the same window; a different one needs another name.
            return known.request().equals(request)
                    ? answer(known)
                    : error("the name '" + request.name() + "' is that of another request");
        }
        evictFinished();
        if (windows.size() >= MAX_WINDOWS) {
            return error(MAX_WINDOWS + " windows are open, which is the limit");
        }
        return put(new Window(request, State.REQUESTED, 1, 0, 0, false, false, State.DONE, List.of()));
    }

    private void evictFinished() {
        var iterator = windows.values().iterator();
        for (int excess = windows.size() + 1 - MAX_WINDOWS; excess > 0 && iterator.hasNext(); ) {
            if (iterator.next().state().isFinal()) {
                iterator.remove();
                excess--;
            }
        }
    }

    private JsonObject step(Window window, JsonObject op, Predicate<String> isBanned) {
        long stepToken = op.get("token").getAsLong();
        if (stepToken < token) {
            return error("token " + stepToken + " is superseded: " + token + " has been seen");
        }
        token = stepToken;
        State to = State.valueOf(op.get("to").getAsString().toUpperCase(Locale.ROOT));
        if (op.get("steps").getAsLong() != window.steps()) {
            return error(window.name() + " has taken " + window.steps() + " steps, and is "
                    + window.state().label());
        }
        if (!TRANSITIONS.getOrDefault(window.state(), Set.of()).contains(to)) {
            return error(window.name() + " is " + window.state().label() + " and can't become " + to.label());
        }
        State outcome = State.valueOf(op.get("outcome").getAsString().toUpperCase(Locale.ROOT));
        if (to == State.DRAINING && op.get("away").getAsLong() != awayChanges) {
            // Two drains may each be fair alone but not together, so a drain is refused if the set of racks
            // away has changed since the decision.
            return error("the racks that are away have changed since " + window.name() + " was judged");
        }
        if (to == State.DOWN
                && (window.calledOff() || !window.request().racks().stream().allMatch(isBanned))) {
            return error(window.name()
                    + (window.calledOff() ? " was called off" : ": the policy in force does not ban all of its racks"));
        }
        if (to == State.RETURNING && window.state().isWorkedOn() && window.begun()) {
            return error(window.name() + ": its crew is at work and has not said that it has finished");
        }
        boolean ends = window.state() == State.RETURNING;
        if (ends && to != window.outcome()) {
            return error(window.name() + " returns as " + window.outcome().label());
        }
        List<String> reasons = new ArrayList<>();
        op.getAsJsonArray("reasons").forEach(one -> reasons.add(one.getAsString()));
        long start = to == State.PLANNED ? op.get("start_ms").getAsLong() : window.startMs();
        long leave = to == State.DOWN ? op.get("ms").getAsLong() : to == State.PLANNED ? 0 : window.leaveMs();
        boolean stillCalledOff = window.calledOff() && to != State.PLANNED;
        State end = to == State.RETURNING
                ? stillCalledOff ? State.ABORTED : outcome
                : to == State.PLANNED ? State.DONE : window.outcome();
        return put(window.with(
                to, start, leave, to.isWorkedOn() && window.begun(), stillCalledOff, end, List.copyOf(reasons)));
    }

    private JsonObject begin(Window window) {
        if (window.begun() && window.state().isWorkedOn()) {
            return answer(window);
        }
        if (window.state() != State.DOWN || window.calledOff()) {
            return error("no leave: " + window.name() + " is " + window.state().label()
                    + (window.calledOff() ? " and was called off" : ""));
        }
        return put(window.with(
                window.state(), window.startMs(), window.leaveMs(), true, false, window.outcome(), window.reasons()));
    }

    private JsonObject finish(Window window) {
        if (!window.state().isWorkedOn()) {
            boolean hasReturned =
                    window.state() == State.RETURNING || window.state().isFinal();
            return hasReturned
                    ? answer(window)
                    : error(window.name() + " is " + window.state().label());
        }
        State end = window.calledOff() ? State.ABORTED : State.DONE;
        return put(window.with(
                State.RETURNING, window.startMs(), window.leaveMs(), false, window.calledOff(), end, window.reasons()));
    }

    private JsonObject abort(Window window, long nowMs) {
        State state = window.state();
        if (state.isFinal() || window.calledOff()) {
            return answer(window);
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
        // Its racks are away, so it returns in order; a crew at work reports when it can.
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
        Window previous = windows.put(window.name(), window);
        awayChanges +=
                previous != null && previous.state().isAway() != window.state().isAway() ? 1 : 0;
        return answer(window);
    }

    private static JsonObject answer(Window window) {
        JsonObject answer = new JsonObject();
        answer.addProperty("state", window.state().label());
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

    /** All windows, in the order of their requests. */
    public List<Window> all() {
        return List.copyOf(windows.values());
    }

    /**
     * Racks that have to stay banned and are not in {@code banned}. The ledger refuses a policy change that
     * would give them back during a window.
     *
     * @param banned the racks that a policy bans
     */
    public List<String> missingBans(Set<String> banned) {
        return windows.values().stream()
                .filter(one -> one.state().isWorkedOn() || one.state() == State.DRAINING)
                .flatMap(one -> one.request().racks().stream())
                .filter(rack -> !banned.contains(rack))
                .toList();
    }

    /** Number of times that a window's racks went away or stopped being away. */
    public long awayChanges() {
        return awayChanges;
    }

    /** The highest fencing token seen in a step. */
    public long token() {
        return token;
    }

    /** An independent copy with the selected windows only. */
    public Windows copy(Predicate<Window> filter) {
        Windows copy = new Windows();
        windows.values().stream().filter(filter).forEach(one -> copy.windows.put(one.name(), one));
        copy.token = token;
        copy.awayChanges = awayChanges;
        return copy;
    }

    /** Full state for a snapshot of the log. */
    public JsonObject snapshot() {
        return snapshot(one -> true);
    }

    /** State for a snapshot with the selected windows only. */
    JsonObject snapshot(Predicate<Window> filter) {
        JsonObject all = new JsonObject();
        JsonArray list = new JsonArray();
        windows.values().stream().filter(filter).forEach(one -> list.add(MaintenanceJson.write(one)));
        all.add("windows", list);
        all.addProperty("token", token);
        all.addProperty("away", awayChanges);
        return all;
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(JsonObject from) {
        windows.clear();
        for (JsonElement one : from.getAsJsonArray("windows")) {
            Window window = MaintenanceJson.window(one.getAsJsonObject());
            windows.put(window.name(), window);
        }
        token = from.get("token").getAsLong();
        awayChanges = from.get("away").getAsLong();
    }
}
