package laneflow.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.core.EndpointSet.Entry;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.ReportSource;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;

/**
 * Two schedulers of two zones and three endpoints, of which e2 is cold, on a clock and a connector in memory. One
 * event at a time is played on it, and behind each one the rules are read over what has happened, from what the
 * connector and the fronts saw alone. {@link EventOrderTest} plays every order.
 */
final class SchedulerPairModel {
    /** What a test breaks on purpose, to see that the rule's check speaks. */
    enum Fault {
        NOTHING,
        ANSWERS_TWICE,
        ANSWER_LOST,
        ANSWER_WAITS,
        GRACE_NOT_ASKED,
        SENDS_REGARDLESS,
        RUN_TOLD_AS_NEVER,
        CLOSE_NOT_HEARD,
        TIMERS_LOST,
        COLD_TENFOLD,
        REFUSAL_OF_A_RUN
    }

    /** A rule that does not hold. */
    static final class Violation extends RuntimeException {
        final String rule;

        Violation(String rule, String what) {
            super(rule + ": " + what, null, false, false);
            this.rule = rule;
        }
    }

    private static final long DEADLINE = 5_000_000;
    private static final double HINT = 0.3;
    private static final double CORES = 4;
    /** How long endpoints remember a key, microseconds: the event "grace" outlasts it. */
    private static final long WINDOW = 500_000;

    private static final long START = 1_000_000_000L;
    private static final String[] WHAT = {"safe ", "keyed ", "capture "};

    private final Fault broken;
    /** Whether the settings allow calls that are at work to be cancelled. */
    private final boolean mayCancel;

    private final Node[] nodes = new Node[2];
    private final List<Ask> asks = new ArrayList<>();
    private final List<Out> outs = new ArrayList<>();
    private final Map<String, Entry> entries = new HashMap<>();
    private long now = START;
    int events;

    /** A client's request, as its client sees it. */
    private static final class Ask {
        private Node node;
        private int jobClass;
        private Request request;
        private final List<String> answers = new ArrayList<>();
        private boolean left;
        private boolean ranOk;
        private long answeredAt;
    }

    /** A call, as the endpoint's side of its connection sees it. */
    private static final class Out {
        private Ask ask;
        private Attempt call;
        /** Its first bytes have gone out, and the last one is held back. */
        private boolean parted;

        private boolean begun;
        private boolean over;
        /** The last byte was sent, and no proof has come that it never ran. */
        private boolean mayHaveRun;

        private long begunAt;
    }

    /** A scheduler with its front and connector. */
    private final class Node implements Front, Connector {
        private final Deadlines deadlines = new Deadlines();
        private final Scheduler scheduler;
        private final Map<String, Long> toldToStop = new HashMap<>();
        private final Map<String, Long> toldDown = new HashMap<>();

        private Node(int number, long seed) {
            scheduler = new Scheduler(
                    settings(number),
                    seed,
                    () -> now,
                    broken == Fault.TIMERS_LOST ? new Deadlines() : deadlines,
                    new Counters());
            scheduler.start(this, new ArrayList<>(entries.values()));
        }

        @Override
        public String name() {
            return "http";
        }

        @Override
        public void served(long tag, byte[] result) {
            answer(tag, "served");
        }

        @Override
        public void refused(long tag, double retryAfter) {
            if (retryAfter <= 0) {
                throw new Violation("come back", "a fail-fast says no time");
            }
            answer(tag, "refused");
        }

        @Override
        public void failed(long tag) {
            answer(tag, broken == Fault.REFUSAL_OF_A_RUN ? "refused" : "failed");
        }

        private void answer(long tag, String what) {
            if (broken == Fault.ANSWER_LOST && !what.equals("served")) {
                return;
            }
            if (broken == Fault.ANSWER_WAITS && !what.equals("served")) {
                // As a front would that keeps its client quiet until just before its deadline.
                Ask ask = asks.get((int) tag);
                deadlines.at(ask.request.deadline - 1, () -> ask.answers.add(what));
                return;
            }
            asks.get((int) tag).answers.add(what);
            asks.get((int) tag).answeredAt = now;
            if (broken == Fault.ANSWERS_TWICE) {
                asks.get((int) tag).answers.add(what);
            }
        }

        @Override
        public void open(Attempt call) {
            Out out = new Out();
            out.ask = asks.get((int) call.request.tag);
            out.call = call;
            outs.add(out);
        }

        @Override
        public boolean close(Attempt call) {
            boolean unsent = false;
            for (Out out : outs) {
                if (out.call == call && broken != Fault.CLOSE_NOT_HEARD) {
                    out.over = true;
                    unsent = !out.mayHaveRun;
                }
            }
            return unsent;
        }

        @Override
        public boolean closeUnsent(Attempt call) {
            for (Out out : outs) {
                if (out.call == call && !out.begun && broken != Fault.SENDS_REGARDLESS) {
                    return close(call);
                }
            }
            return false;
        }

        @Override
        public void probe(Endpoint endpoint) {
            throw new Violation("probes", "these settings have none");
        }

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    SchedulerPairModel(Fault broken) {
        this(broken, true);
    }

    SchedulerPairModel(Fault broken, boolean mayCancel) {
        this.broken = broken;
        this.mayCancel = mayCancel;
        for (String name : new String[] {"e1", "e2", "e3"}) {
            Entry entry = new Entry();
            entry.name = name;
            entry.zone = name.equals("e3") ? 1 : 0;
            entry.startedAt = name.equals("e2") ? START - 2_000_000 : 0;
            entries.put(name, entry);
        }
        nodes[0] = new Node(0, 7);
        nodes[1] = new Node(1, 8);
    }

    private Settings settings(int number) {
        Settings settings = SchedulerTest.settings();
        settings.mayCancel = mayCancel;
        settings.classes[SchedulerTest.KEYED].window = WINDOW / 1e6;
        for (JobClass type : settings.classes) {
            type.aim = 2;
            type.deadline = DEADLINE / 1e6;
        }
        settings.zones = 2;
        settings.zone = number;
        settings.dispatchers = 2;
        settings.me = number;
        settings.headBlocks = true;
        settings.reports = ReportSource.ANSWERS;
        settings.coldShare = 0.13;
        settings.coldFor = 24;
        settings.fallMultiple = 3;
        settings.fallWithin = 1.5;
        settings.tick = 0.005;
        return settings;
    }

    // ---- events ----

    /** Those of these kinds that can happen now; an event is a kind, and whom it happens to. */
    List<String> possible(Set<String> kinds) {
        List<String> all = new ArrayList<>();
        for (String kind : kinds) {
            switch (kind) {
                case "safe", "burst", "restart" -> {
                    all.add(kind + " 0");
                    all.add(kind + " 1");
                }
                case "capture" -> all.add("capture 0");
                case "keyed" -> all.add("keyed 0");
                case "up", "refused" -> each(all, kind, false);
                case "part" -> parting(all);
                case "started", "ok", "report", "full", "reset", "silent" -> each(all, kind, true);
                case "late" -> late(all);
                case "leave" -> leaving(all);
                default -> all.add(kind);
            }
        }
        return all;
    }

    private void each(List<String> all, String kind, boolean begun) {
        for (int i = 0; i < outs.size(); i++) {
            if (!outs.get(i).over && outs.get(i).begun == begun) {
                all.add(kind + " " + i);
            }
        }
    }

    private void parting(List<String> all) {
        for (int i = 0; i < outs.size(); i++) {
            if (!outs.get(i).over && !outs.get(i).begun && !outs.get(i).parted) {
                all.add("part " + i);
            }
        }
    }

    private void late(List<String> all) {
        for (int i = 0; i < outs.size(); i++) {
            if (outs.get(i).over && outs.get(i).begun) {
                all.add("late " + i);
            }
        }
    }

    private void leaving(List<String> all) {
        for (int i = 0; i < asks.size(); i++) {
            if (!asks.get(i).left && asks.get(i).answers.isEmpty()) {
                all.add("leave " + i);
            }
        }
    }

    /** Plays an event and reads the rules. */
    void play(String event) {
        events++;
        String[] words = event.split(" ");
        int who = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        switch (words[0]) {
            case "safe" -> submit(nodes[who], SchedulerTest.SAFE);
            case "capture" -> submit(nodes[who], SchedulerTest.UNSAFE);
            case "keyed" -> submit(nodes[who], SchedulerTest.KEYED);
            case "part" -> part(outs.get(who));
            case "burst" -> {
                for (int i = 0; i < 12; i++) {
                    submit(nodes[who], SchedulerTest.SAFE);
                }
            }
            case "up" -> up(outs.get(who));
            case "refused" -> ends(outs.get(who), Outcome.CONNECT_FAILED, null);
            case "started" -> outs.get(who).ask.node.scheduler.started(outs.get(who).call);
            case "ok" -> ends(outs.get(who), Outcome.OK, null);
            case "report" -> {
                LoadReport report = new LoadReport();
                report.freeSlots = CORES;
                ends(outs.get(who), Outcome.OK, report);
            }
            case "full" -> ends(outs.get(who), Outcome.FULL, null);
            case "reset" ->
                ends(outs.get(who), broken == Fault.RUN_TOLD_AS_NEVER ? Outcome.CONNECT_FAILED : Outcome.RESET, null);
            case "silent" -> ends(outs.get(who), Outcome.TIMEOUT, null);
            case "late" -> outs.get(who).ask.node.scheduler.ended(outs.get(who).call, Outcome.OK, new byte[0], null);
            case "leave" -> {
                asks.get(who).left = true;
                asks.get(who).node.scheduler.withdraw(asks.get(who).request);
            }
            case "drain" -> told(State.DRAINING);
            case "gone" -> told(State.GONE);
            case "back" -> told(State.READY);
            case "down" -> {
                nodes[0].toldDown.putIfAbsent("e1", now);
                nodes[0].scheduler.setDown("e1");
            }
            case "again" -> {
                nodes[0].toldDown.remove("e1");
                nodes[0].scheduler.setUp("e1");
            }
            case "restart" -> restart(who);
            case "tick" -> pass(10_000);
            case "last" -> pass(DEADLINE - 8_000);
            case "grace" -> pass(600_000);
            default -> pass(DEADLINE + 1_000_000);
        }
        read();
    }

    private void submit(Node node, int jobClass) {
        Ask ask = new Ask();
        ask.node = node;
        ask.jobClass = jobClass;
        ask.request =
                new Request(node, asks.size(), new Payload("", "", "r", null, new byte[0]), jobClass, now + DEADLINE);
        ask.request.hint = HINT;
        asks.add(ask);
        node.scheduler.submit(ask.request);
    }

    /** Its connection is up: all but the last byte goes out, unless the core says no. */
    private void part(Out out) {
        if (mayBegin(out)) {
            onlyBeforeTheGrace(out);
            out.parted = true;
        }
    }

    /** Asks as a connector does before bytes go out, and ends the call if the core says no. */
    private boolean mayBegin(Out out) {
        boolean may = broken == Fault.GRACE_NOT_ASKED
                || broken == Fault.SENDS_REGARDLESS
                || out.ask.node.scheduler.maySend(out.call);
        if (!may) {
            ends(out, Outcome.MOOT, null);
        }
        return may;
    }

    private void onlyBeforeTheGrace(Out out) {
        String at = out.call.endpoint.name;
        Long stop = out.ask.node.toldToStop.get(at);
        if (stop != null && now > stop + 550_000) {
            throw new Violation("drains", "begun at " + at + " " + (now - stop) + " us behind the word");
        }
    }

    /** Its connection is up and its last byte goes out, and those before it, unless the core says no. */
    private void up(Out out) {
        if (!mayBegin(out)) {
            return;
        }
        if (out.ask.left || !out.ask.answers.isEmpty()) {
            throw new Violation("gone", "sent on for a client that has left or has its answer");
        }
        onlyBeforeTheGrace(out);
        String at = out.call.endpoint.name;
        if (out.ask.node.toldDown.containsKey(at)) {
            throw new Violation("bans", "begun at " + at + ", which is set down");
        }
        for (Out other : outs) {
            if (other != out && other.ask == out.ask && other.begun) {
                if (!other.over) {
                    throw new Violation("one call out", "a second one at " + at);
                }
                if (other.mayHaveRun
                        && (out.ask.jobClass == SchedulerTest.UNSAFE
                                || out.ask.jobClass == SchedulerTest.KEYED && now >= other.begunAt + WINDOW)) {
                    throw new Violation("no repeat", "what may have run at " + other.call.endpoint + " goes to " + at);
                }
            }
        }
        out.begun = true;
        out.begunAt = now;
        out.mayHaveRun = true;
        cold();
    }

    private void cold() {
        double sum = 0;
        for (Out out : outs) {
            if (out.begun && out.call.endpoint.name.equals("e2") && out.begunAt > now - 1_500_000) {
                sum += broken == Fault.COLD_TENFOLD ? 10 * HINT : HINT;
            }
        }
        double share = 0.13 + 0.87 * (now - START + 2_000_000) / 24e6;
        if (sum > 3 * Math.min(1, share) * CORES * 1.5) {
            throw new Violation("cold budget", "the schedulers sent " + sum + " together");
        }
    }

    private void ends(Out out, Outcome outcome, LoadReport report) {
        out.over = true;
        out.mayHaveRun &= outcome != Outcome.FULL;
        out.ask.ranOk |= outcome == Outcome.OK;
        out.ask.node.scheduler.ended(out.call, outcome, new byte[0], report);
    }

    /** The first scheduler's list has this word of e1. */
    private void told(State state) {
        Entry entry = entries.get("e1").in(state);
        nodes[0].scheduler.list(nodes[0], false, List.of(entry));
        if (state == State.READY) {
            nodes[0].toldToStop.remove("e1");
        } else {
            nodes[0].toldToStop.putIfAbsent("e1", now);
        }
    }

    /** Killed, and started with nothing but the list that was known at first: its clients and calls are gone. */
    private void restart(int who) {
        for (Ask ask : asks) {
            ask.left |= ask.node == nodes[who] && ask.answers.isEmpty();
        }
        for (Out out : outs) {
            out.over |= out.ask.node == nodes[who];
        }
        nodes[who] = new Node(who, 70 + events);
    }

    private void pass(long micros) {
        long until = now + micros;
        for (Node node : nodes) {
            // Each deadline in its own turn, as the loop runs them.
            for (long next = node.deadlines.next(); next <= until; next = node.deadlines.next()) {
                now = Math.max(now, next);
                node.deadlines.runDue(now);
            }
            now = until - micros;
        }
        now = until;
    }

    // ---- the rules ----

    private void read() {
        for (Ask ask : asks) {
            String what = WHAT[ask.jobClass] + asks.indexOf(ask);
            boolean out = false;
            boolean mayHaveRun = false;
            boolean isForgotten = false;
            int calls = 0;
            for (Out each : outs) {
                if (each.ask == ask) {
                    calls++;
                    out |= !each.over;
                    mayHaveRun |= each.mayHaveRun;
                    isForgotten |= each.mayHaveRun && ask.answeredAt >= each.begunAt + WINDOW;
                }
            }
            if (ask.answers.size() > 1 || ask.left && !ask.answers.isEmpty()) {
                throw new Violation("one answer", what + " got " + ask.answers);
            }
            if (calls > 5) {
                throw new Violation("five calls", what + " made " + calls);
            }
            if (ask.answers.contains("served") && !ask.ranOk) {
                throw new Violation("true answers", what + " was served by nobody");
            }
            boolean runsAgain = ask.jobClass == SchedulerTest.UNSAFE && mayHaveRun
                    || ask.jobClass == SchedulerTest.KEYED && isForgotten;
            if (ask.answers.contains("refused") && runsAgain) {
                throw new Violation("true answers", what + " was refused and may have run");
            }
            boolean open = ask.answers.isEmpty() && !ask.left;
            if (open && now >= ask.request.deadline) {
                throw new Violation("in time", what + " has no answer");
            }
            if (open && !out) {
                throw new Violation("at once", what + " is out nowhere and waits");
            }
            if (open && ask.node.deadlines.next() > ask.request.deadline) {
                throw new Violation("armed", what + " has no deadline armed");
            }
            if (!open && out && now > ask.request.deadline) {
                throw new Violation("nothing left", "a call of " + what + " is still out");
            }
        }
    }
}
