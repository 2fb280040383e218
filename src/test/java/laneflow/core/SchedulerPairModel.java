package laneflow.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Two schedulers in two zones and three endpoints, of which e2 is cold, on a simulated clock and an in-memory
 * connector. Events are applied one at a time; after each, the invariants are checked against what the connector
 * and the fronts observed. {@link EventOrderTest} applies every order of events.
 */
final class SchedulerPairModel {
    /** A fault injected to verify that the check of an invariant detects it. */
    enum Fault {
        NONE,
        DUPLICATE_ANSWER,
        ANSWER_LOST,
        ANSWER_DELAYED,
        SEND_CHECK_SKIPPED,
        ALWAYS_SENDS,
        RUN_REPORTED_AS_UNSENT,
        CLOSE_IGNORED,
        TIMERS_LOST,
        COLD_TENFOLD,
        FAILURE_REPORTED_AS_REFUSAL
    }

    /** Thrown when an invariant does not hold. */
    static final class Violation extends RuntimeException {
        final String rule;

        Violation(String rule, String details) {
            super(rule + ": " + details, null, false, false);
            this.rule = rule;
        }
    }

    private static final long DEADLINE_MICROS = 5_000_000;
    private static final double HINT = 0.3;
    private static final double CORES = 4;
    /** How long endpoints remember a key, in microseconds; the event "grace" takes longer. */
    private static final long WINDOW_MICROS = 500_000;

    private static final long START = 1_000_000_000L;
    /** Classes by number; "capture" is the unsafe one. */
    private static final String[] CLASS_LABELS = {"safe ", "keyed ", "capture "};

    private final Fault fault;
    /** Whether the settings allow running attempts to be cancelled. */
    private final boolean mayCancel;

    private final Node[] nodes = new Node[2];
    private final List<Client> clients = new ArrayList<>();
    private final List<SentAttempt> sentAttempts = new ArrayList<>();
    private final Map<String, Entry> entries = new HashMap<>();
    private long now = START;
    int eventCount;

    /** A client with one request, and the answers it got. */
    private static final class Client {
        private Node node;
        private int jobClass;
        private Request request;
        private final List<String> answers = new ArrayList<>();
        private boolean left;
        private boolean completed;
        private long answeredAt;
    }

    /** An attempt as seen from the endpoint's side of the connection. */
    private static final class SentAttempt {
        private Client client;
        private Attempt attempt;
        /** All bytes but the last were sent. */
        private boolean partlySent;

        private boolean fullySent;
        private boolean ended;
        /** The last byte was sent, and nothing proves that it never ran. */
        private boolean mayHaveRun;

        private long sentAt;
    }

    /** A scheduler with its front and connector. */
    private final class Node implements Front, Connector {
        private final Deadlines deadlines = new Deadlines();
        private final Scheduler scheduler;
        private final Map<String, Long> drainNotifiedAt = new HashMap<>();
        private final Map<String, Long> setDownAt = new HashMap<>();
        private final MessageMemory memory = new MessageMemory(1 << 30);

        private Node(int number, long seed) {
            scheduler = new Scheduler(
                    settings(number),
                    seed,
                    () -> now,
                    fault == Fault.TIMERS_LOST ? new Deadlines() : deadlines,
                    new Counters());
            scheduler.setMemory(memory.openRequests());
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
                throw new Violation("retry time", "a refusal without a time to retry");
            }
            answer(tag, "refused");
        }

        @Override
        public void failed(long tag) {
            answer(tag, fault == Fault.FAILURE_REPORTED_AS_REFUSAL ? "refused" : "failed");
        }

        private void answer(long tag, String answer) {
            if (fault == Fault.ANSWER_LOST && !answer.equals("served")) {
                return;
            }
            if (fault == Fault.ANSWER_DELAYED && !answer.equals("served")) {
                // As a front would that answers only just before the deadline.
                Client client = clients.get((int) tag);
                deadlines.at(client.request.deadline - 1, () -> client.answers.add(answer));
                return;
            }
            clients.get((int) tag).answers.add(answer);
            clients.get((int) tag).answeredAt = now;
            if (fault == Fault.DUPLICATE_ANSWER) {
                clients.get((int) tag).answers.add(answer);
            }
        }

        @Override
        public void open(Attempt attempt) {
            SentAttempt sentAttempt = new SentAttempt();
            sentAttempt.client = clients.get((int) attempt.request.tag);
            sentAttempt.attempt = attempt;
            sentAttempts.add(sentAttempt);
        }

        @Override
        public boolean close(Attempt attempt) {
            boolean unsent = false;
            for (SentAttempt sentAttempt : sentAttempts) {
                if (sentAttempt.attempt == attempt && fault != Fault.CLOSE_IGNORED) {
                    sentAttempt.ended = true;
                    unsent = !sentAttempt.mayHaveRun;
                }
            }
            return unsent;
        }

        @Override
        public boolean closeUnsent(Attempt attempt) {
            for (SentAttempt sentAttempt : sentAttempts) {
                if (sentAttempt.attempt == attempt && !sentAttempt.fullySent && fault != Fault.ALWAYS_SENDS) {
                    return close(attempt);
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

    SchedulerPairModel(Fault fault) {
        this(fault, true);
    }

    SchedulerPairModel(Fault fault, boolean mayCancel) {
        this.fault = fault;
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
        settings.classes[SchedulerTest.KEYED].dedupWindow = WINDOW_MICROS / 1e6;
        for (JobClass type : settings.classes) {
            type.aim = 2;
            type.deadline = DEADLINE_MICROS / 1e6;
        }
        settings.zones = 2;
        settings.zone = number;
        settings.dispatchers = 2;
        settings.dispatcherIndex = number;
        settings.headOfLineBlocking = true;
        settings.reports = ReportSource.ANSWERS;
        settings.coldShare = 0.13;
        settings.coldFor = 24;
        settings.fallMultiple = 3;
        settings.fallWithin = 1.5;
        settings.tick = 0.005;
        return settings;
    }

    // ---- events ----

    /**
     * The events of these kinds that are possible now. An event is a kind and, for most kinds, the index of the
     * scheduler, the attempt or the client it applies to.
     */
    List<String> possibleEvents(Set<String> kinds) {
        List<String> events = new ArrayList<>();
        for (String kind : kinds) {
            switch (kind) {
                case "safe", "burst", "restart" -> {
                    events.add(kind + " 0");
                    events.add(kind + " 1");
                }
                case "capture" -> events.add("capture 0");
                case "keyed" -> events.add("keyed 0");
                case "up", "refused" -> addAttempts(events, kind, false);
                case "part" -> addUnsentAttempts(events);
                case "started", "ok", "report", "full", "reset", "silent" -> addAttempts(events, kind, true);
                case "late" -> addEndedAttempts(events);
                case "leave" -> addWaitingClients(events);
                default -> events.add(kind);
            }
        }
        return events;
    }

    private void addAttempts(List<String> events, String kind, boolean fullySent) {
        for (int i = 0; i < sentAttempts.size(); i++) {
            if (!sentAttempts.get(i).ended && sentAttempts.get(i).fullySent == fullySent) {
                events.add(kind + " " + i);
            }
        }
    }

    private void addUnsentAttempts(List<String> events) {
        for (int i = 0; i < sentAttempts.size(); i++) {
            if (!sentAttempts.get(i).ended && !sentAttempts.get(i).fullySent && !sentAttempts.get(i).partlySent) {
                events.add("part " + i);
            }
        }
    }

    private void addEndedAttempts(List<String> events) {
        for (int i = 0; i < sentAttempts.size(); i++) {
            if (sentAttempts.get(i).ended && sentAttempts.get(i).fullySent) {
                events.add("late " + i);
            }
        }
    }

    private void addWaitingClients(List<String> events) {
        for (int i = 0; i < clients.size(); i++) {
            if (!clients.get(i).left && clients.get(i).answers.isEmpty()) {
                events.add("leave " + i);
            }
        }
    }

    /** Applies an event and checks the invariants. */
    void apply(String event) {
        eventCount++;
        String[] words = event.split(" ");
        int index = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        switch (words[0]) {
            case "safe" -> submit(nodes[index], SchedulerTest.SAFE);
            case "capture" -> submit(nodes[index], SchedulerTest.UNSAFE);
            case "keyed" -> submit(nodes[index], SchedulerTest.KEYED);
            case "part" -> sendPartly(sentAttempts.get(index));
            case "burst" -> {
                for (int i = 0; i < 12; i++) {
                    submit(nodes[index], SchedulerTest.SAFE);
                }
            }
            case "up" -> sendFully(sentAttempts.get(index));
            case "refused" -> end(sentAttempts.get(index), Outcome.CONNECT_FAILED, null);
            case "started" -> sentAttempts.get(index).client.node.scheduler.started(sentAttempts.get(index).attempt);
            case "ok" -> end(sentAttempts.get(index), Outcome.OK, null);
            case "report" -> {
                LoadReport report = new LoadReport();
                report.freeSlots = CORES;
                end(sentAttempts.get(index), Outcome.OK, report);
            }
            case "full" -> end(sentAttempts.get(index), Outcome.FULL, null);
            case "reset" ->
                end(
                        sentAttempts.get(index),
                        fault == Fault.RUN_REPORTED_AS_UNSENT ? Outcome.CONNECT_FAILED : Outcome.RESET,
                        null);
            case "silent" -> end(sentAttempts.get(index), Outcome.TIMEOUT, null);
            case "late" ->
                sentAttempts
                        .get(index)
                        .client
                        .node
                        .scheduler
                        .ended(sentAttempts.get(index).attempt, Outcome.OK, new byte[0], null);
            case "leave" -> {
                clients.get(index).left = true;
                clients.get(index).node.scheduler.withdraw(clients.get(index).request);
            }
            case "drain" -> list(State.DRAINING);
            case "gone" -> list(State.GONE);
            case "back" -> list(State.READY);
            case "down" -> {
                nodes[0].setDownAt.putIfAbsent("e1", now);
                nodes[0].scheduler.setDown("e1");
            }
            case "again" -> {
                nodes[0].setDownAt.remove("e1");
                nodes[0].scheduler.setUp("e1");
            }
            case "restart" -> restart(index);
            case "tick" -> advance(10_000);
            case "last" -> advance(DEADLINE_MICROS - 8_000);
            case "grace" -> advance(600_000);
            default -> advance(DEADLINE_MICROS + 1_000_000);
        }
        checkInvariants();
    }

    private void submit(Node node, int jobClass) {
        Client client = new Client();
        client.node = node;
        client.jobClass = jobClass;
        client.request = new Request(
                node, clients.size(), new Payload("", "", "r", null, new byte[0]), jobClass, now + DEADLINE_MICROS);
        client.request.hint = HINT;
        clients.add(client);
        node.scheduler.submit(client.request);
    }

    /** Handles the opening of a connection: sends all but the last byte, if the scheduler allows it. */
    private void sendPartly(SentAttempt sentAttempt) {
        if (maySend(sentAttempt)) {
            checkGrace(sentAttempt);
            sentAttempt.partlySent = true;
        }
    }

    /** Asks the scheduler, as a connector does before it sends, and ends the attempt if that is not allowed. */
    private boolean maySend(SentAttempt sentAttempt) {
        boolean allowed = fault == Fault.SEND_CHECK_SKIPPED
                || fault == Fault.ALWAYS_SENDS
                || sentAttempt.client.node.scheduler.maySend(sentAttempt.attempt);
        if (!allowed) {
            end(sentAttempt, Outcome.MOOT, null);
        }
        return allowed;
    }

    private void checkGrace(SentAttempt sentAttempt) {
        String endpoint = sentAttempt.attempt.endpoint.name;
        Long drainNotifiedAt = sentAttempt.client.node.drainNotifiedAt.get(endpoint);
        if (drainNotifiedAt != null && now > drainNotifiedAt + 550_000) {
            throw new Violation(
                    "drains",
                    "sent to " + endpoint + " " + (now - drainNotifiedAt) + " us after the notice of its drain");
        }
    }

    /** Sends a request over its open connection up to the last byte, if the scheduler allows it. */
    private void sendFully(SentAttempt sentAttempt) {
        if (!maySend(sentAttempt)) {
            return;
        }
        if (sentAttempt.client.left || !sentAttempt.client.answers.isEmpty()) {
            throw new Violation("client left", "sent for a client that has left or been answered");
        }
        checkGrace(sentAttempt);
        String endpoint = sentAttempt.attempt.endpoint.name;
        if (sentAttempt.client.node.setDownAt.containsKey(endpoint)) {
            throw new Violation("bans", "sent to " + endpoint + ", which is set down");
        }
        for (SentAttempt other : sentAttempts) {
            if (other != sentAttempt && other.client == sentAttempt.client && other.fullySent) {
                if (!other.ended) {
                    throw new Violation("one open attempt", "a second one to " + endpoint);
                }
                if (other.mayHaveRun
                        && (sentAttempt.client.jobClass == SchedulerTest.UNSAFE
                                || sentAttempt.client.jobClass == SchedulerTest.KEYED
                                        && now >= other.sentAt + WINDOW_MICROS)) {
                    throw new Violation(
                            "no repeat", "may have run at " + other.attempt.endpoint + ", sent again to " + endpoint);
                }
            }
        }
        sentAttempt.fullySent = true;
        sentAttempt.sentAt = now;
        sentAttempt.mayHaveRun = true;
        checkColdBudget();
    }

    private void checkColdBudget() {
        double sum = 0;
        for (SentAttempt sentAttempt : sentAttempts) {
            if (sentAttempt.fullySent
                    && sentAttempt.attempt.endpoint.name.equals("e2")
                    && sentAttempt.sentAt > now - 1_500_000) {
                sum += fault == Fault.COLD_TENFOLD ? 10 * HINT : HINT;
            }
        }
        double share = 0.13 + 0.87 * (now - START + 2_000_000) / 24e6;
        if (sum > 3 * Math.min(1, share) * CORES * 1.5) {
            throw new Violation("cold budget", "the schedulers sent " + sum + " together");
        }
    }

    private void end(SentAttempt sentAttempt, Outcome outcome, LoadReport report) {
        sentAttempt.ended = true;
        sentAttempt.mayHaveRun &= outcome != Outcome.FULL;
        sentAttempt.client.completed |= outcome == Outcome.OK;
        sentAttempt.client.node.scheduler.ended(sentAttempt.attempt, outcome, new byte[0], report);
    }

    /** The first scheduler receives a list with e1 in this state. */
    private void list(State state) {
        Entry entry = entries.get("e1").withState(state);
        nodes[0].scheduler.list(nodes[0], false, List.of(entry));
        if (state == State.READY) {
            nodes[0].drainNotifiedAt.remove("e1");
        } else {
            nodes[0].drainNotifiedAt.putIfAbsent("e1", now);
        }
    }

    /** Kills a scheduler with its clients and attempts, and starts it with the initial list of endpoints. */
    private void restart(int index) {
        for (Client client : clients) {
            client.left |= client.node == nodes[index] && client.answers.isEmpty();
        }
        for (SentAttempt sentAttempt : sentAttempts) {
            sentAttempt.ended |= sentAttempt.client.node == nodes[index];
        }
        nodes[index] = new Node(index, 70 + eventCount);
    }

    private void advance(long micros) {
        long until = now + micros;
        for (Node node : nodes) {
            // As in the event loop, deadlines at different instants run in separate turns.
            for (long next = node.deadlines.next(); next <= until; next = node.deadlines.next()) {
                now = Math.max(now, next);
                node.deadlines.runDue(now);
            }
            now = until - micros;
        }
        now = until;
    }

    // ---- invariants ----

    private void checkInvariants() {
        Set<Node> busy = new HashSet<>();
        for (Client client : clients) {
            String label = CLASS_LABELS[client.jobClass] + clients.indexOf(client);
            boolean hasOpenAttempt = false;
            boolean mayHaveRun = false;
            boolean keyExpired = false;
            int attemptCount = 0;
            for (SentAttempt sentAttempt : sentAttempts) {
                if (sentAttempt.client == client) {
                    attemptCount++;
                    hasOpenAttempt |= !sentAttempt.ended;
                    mayHaveRun |= sentAttempt.mayHaveRun;
                    keyExpired |= sentAttempt.mayHaveRun && client.answeredAt >= sentAttempt.sentAt + WINDOW_MICROS;
                }
            }
            if (client.answers.size() > 1 || client.left && !client.answers.isEmpty()) {
                throw new Violation("one answer", label + " got " + client.answers);
            }
            if (attemptCount > 5) {
                throw new Violation("five attempts", label + " made " + attemptCount);
            }
            if (client.answers.contains("served") && !client.completed) {
                throw new Violation("truthful answer", label + " was served, but no attempt was");
            }
            boolean runsAgain = client.jobClass == SchedulerTest.UNSAFE && mayHaveRun
                    || client.jobClass == SchedulerTest.KEYED && keyExpired;
            if (client.answers.contains("refused") && runsAgain) {
                throw new Violation("truthful answer", label + " was refused and may have run");
            }
            boolean unanswered = client.answers.isEmpty() && !client.left;
            if (unanswered && now >= client.request.deadline) {
                throw new Violation("answered in time", label + " has no answer");
            }
            if (unanswered && !hasOpenAttempt) {
                throw new Violation("answered at once", label + " waits without an open attempt");
            }
            if (unanswered && client.node.deadlines.next() > client.request.deadline) {
                throw new Violation("deadline set", label + " has no deadline set");
            }
            if (unanswered || hasOpenAttempt) {
                busy.add(client.node);
            }
            if (!unanswered && hasOpenAttempt && now > client.request.deadline) {
                throw new Violation("no open attempt left", "an attempt of " + label + " is still open");
            }
        }
        for (Node node : nodes) {
            if (busy.contains(node) != node.memory.used() > 0) {
                throw new Violation(
                        "memory", node.memory.used() + " bytes held, open requests: " + busy.contains(node));
            }
        }
    }
}
