package laneflow.task.decision;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.task.decision.TaskHolder.Action;
import laneflow.task.decision.TaskHolder.LateSafety;
import laneflow.task.decision.TaskTable.Task;

/**
 * Simulates schedulers that hold tasks and act on them, with successive leaders that do not know of each other,
 * a log whose last entries may be lost with their leader, clocks that drift, processes suspended during an
 * action, and messages that are delayed, lost, duplicated or reordered. Actions are observed where they take
 * effect: at receivers that know nothing of leases, and at a store that checks tokens.
 */
final class TaskSimulation {
    static final long LEASE = 900_000;
    static final long MAX_ACTION = LEASE / 3;
    static final String ROTATING = "rotating";
    private static final long TURN = 3 * LEASE;
    private static final TaskLeader.Times TIMES = new TaskLeader.Times(LEASE, LEASE / 2, TURN);

    /** Deliberate faults in the protocol, each of which the checks must detect. */
    enum Mutation {
        NOTHING,
        DEPOSED_LEADER_CONFIRMED,
        CLOCK_DRIFT_BEYOND_BOUND,
        ACKNOWLEDGED_DURING_ACTION,
        ACTS_AFTER_LEAVING,
        ELECTED_TOO_EARLY,
        ACTION_NOT_CUT_OFF,
        GIVEN_UP_DURING_ACTION,
        NO_TOKEN_CHECK,
        NO_TURNS,
        NO_LOAD_BOUND,
        OPERATIONS_IGNORED
    }

    /** An invariant is violated. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String description) {
            super(description);
        }
    }

    final class Node {
        final int number;
        final double clockRate;
        TaskHolder taskHolder = new TaskHolder();
        boolean up = true;
        boolean left;
        boolean suspended;
        /** Grants to it are lost; its renewals arrive. */
        boolean grantsLost;

        boolean draining;
        int instance;
        Candidacy candidacy;
        /** An action that was begun before the process was suspended and takes effect once it resumes. */
        Action suspendedAction;

        final List<RunningAction> running = new ArrayList<>();

        private Node(int number, double clockRate, Candidacy candidacy) {
            this.number = number;
            this.clockRate = clockRate;
            this.candidacy = candidacy;
        }

        long clock() {
            return (long) (now * clockRate) + number * 1_000_003L;
        }

        String id() {
            return "s" + number + "#" + instance;
        }
    }

    /** An external action in progress: it ends by itself, whatever happens to the process that began it. */
    private record RunningAction(Node node, int instance, Action action, long endsAt) {}

    private final class Leader {
        private final int term;
        private final double clockRate;
        private final TaskLeader taskLeader;

        private Leader(int term, double clockRate) {
            this.term = term;
            this.clockRate = clockRate;
            taskLeader = new TaskLeader(
                    term,
                    mutation == Mutation.ELECTED_TOO_EARLY ? clock() - 3 * LEASE : clock(),
                    mutation == Mutation.NO_TURNS ? new TaskLeader.Times(LEASE, LEASE / 2, Long.MAX_VALUE) : TIMES);
        }

        private long clock() {
            return (long) (now * clockRate) + term * 7_000_007L;
        }
    }

    private record Message(TaskRenewal renewal, Node node, int instance, Leader leader, long sentAt, TaskGrant grant) {}

    final Mutation mutation;
    final List<Node> nodes = new ArrayList<>();
    private final List<Leader> leaders = new ArrayList<>();
    private final List<Message> inFlight = new ArrayList<>();
    private final List<JsonObject> uncommitted = new ArrayList<>();
    final TaskTable table = new TaskTable();
    private final List<RunningAction> actions = new ArrayList<>();
    private final FencingTokenCheck tokenCheck = new FencingTokenCheck();
    private final Map<String, Long> accepted = new HashMap<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private final Map<String, Set<Integer>> holdersByTask = new HashMap<>();
    long now = 10_000_000;
    int begunActions;
    int rejectedActions;
    int reassignments;

    TaskSimulation(Mutation mutation, int schedulers, int placed) {
        this.mutation = mutation;
        double drift = mutation == Mutation.CLOCK_DRIFT_BEYOND_BOUND ? 0.4 : 0.0004;
        Set<String> placedTasks = new HashSet<>();
        for (int i = 0; i < placed; i++) {
            placedTasks.add("t" + i);
        }
        for (int i = 0; i < schedulers; i++) {
            nodes.add(new Node(i, 1 + (i % 2 == 0 ? -drift : drift), new Candidacy(Set.of(ROTATING), placedTasks)));
        }
        elect(false);
    }

    // ---- events ----

    /** Elects another leader. Its predecessor's uncommitted operations are kept or lost. */
    void elect(boolean keepLog) {
        if (keepLog) {
            uncommitted.forEach(table::run);
        }
        uncommitted.clear();
        leaders.add(new Leader(leaders.size() + 1, leaders.size() % 2 == 0 ? 1.0004 : 0.9996));
        stepAndCheck();
    }

    void confirm(int leadersBack) {
        if (leadersBack < leaders.size()) {
            Leader leader = leaders.get(leaders.size() - 1 - leadersBack);
            if (leadersBack == 0 || mutation == Mutation.DEPOSED_LEADER_CONFIRMED) {
                leader.taskLeader.confirmed(leader.clock(), table.view());
            }
        }
        stepAndCheck();
    }

    /** Commits the operations in the log. */
    void commit() {
        if (uncommitted.isEmpty()) {
            return;
        }
        uncommitted.forEach(table::run);
        uncommitted.clear();
        Leader leader = leaders.get(leaders.size() - 1);
        leader.taskLeader.opsAnswered(leader.clock());
        leader.taskLeader.confirmed(leader.clock(), table.view());
        stepAndCheck();
    }

    void renew(int number, int leadersBack) {
        Node node = nodes.get(number);
        if (!node.up || node.suspended || leadersBack >= leaders.size()) {
            return;
        }
        TaskRenewal renewal = node.taskHolder.renewal(node.candidacy, node.candidacy.digest(), node.draining);
        if (mutation == Mutation.ACKNOWLEDGED_DURING_ACTION) {
            renewal = new TaskRenewal(
                    leaders.size(),
                    renewal.heardSeq() + 50,
                    renewal.knownTerm(),
                    renewal.knownVersion(),
                    renewal.candidacyDigest(),
                    renewal.candidacy(),
                    renewal.draining(),
                    renewal.givenUp());
        }
        if (mutation == Mutation.GIVEN_UP_DURING_ACTION) {
            Map<String, Long> givenUp = new HashMap<>(renewal.givenUp());
            node.running.forEach(running -> givenUp.put(running.action.task(), running.action.token()));
            renewal = new TaskRenewal(
                    renewal.heardTerm(),
                    renewal.heardSeq(),
                    renewal.knownTerm(),
                    renewal.knownVersion(),
                    renewal.candidacyDigest(),
                    renewal.candidacy(),
                    renewal.draining(),
                    givenUp);
        }
        inFlight.add(new Message(
                renewal, node, node.instance, leaders.get(leaders.size() - 1 - leadersBack), node.clock(), null));
    }

    void deliver(boolean newest) {
        // Grants to a suspended process wait in its socket.
        for (int i = 0; i < inFlight.size(); i++) {
            Message message = inFlight.get(newest ? inFlight.size() - 1 - i : i);
            if (message.renewal != null || !message.node.suspended) {
                inFlight.remove(message);
                receive(message);
                break;
            }
        }
        stepAndCheck();
    }

    void deliverTwice() {
        if (!inFlight.isEmpty() && (inFlight.get(0).renewal != null || !inFlight.get(0).node.suspended)) {
            receive(inFlight.get(0));
        }
        stepAndCheck();
    }

    void dropOldest() {
        if (!inFlight.isEmpty()) {
            inFlight.remove(0);
        }
    }

    private void receive(Message message) {
        Node node = message.node;
        Leader leader = message.leader;
        String process = "s" + node.number + "#" + message.instance;
        if (message.renewal != null) {
            leader.taskLeader.receive(leader.clock(), process, message.renewal);
            step(leader);
            TaskGrant grant = leader.taskLeader.grant(leader.clock(), process, false);
            if (grant != null) {
                inFlight.add(new Message(null, node, message.instance, leader, message.sentAt, grant));
            }
        } else if (node.up && node.instance == message.instance && !node.grantsLost) {
            node.taskHolder.apply(message.grant, message.sentAt, node.clock());
        }
    }

    /** Begins an action of this duration, or of the longest that is allowed. */
    void act(int number, String task, long durationMicros, boolean thenSuspends) {
        Node node = nodes.get(number);
        if (!node.up && mutation != Mutation.ACTS_AFTER_LEAVING || node.suspended || node.suspendedAction != null) {
            return;
        }
        Action action = node.taskHolder.begin(
                task, node.clock(), MAX_ACTION, thenSuspends ? LateSafety.TOKEN_CHECKED : LateSafety.IDEMPOTENT);
        if (action == null) {
            return;
        }
        begunActions++;
        if (thenSuspends) {
            node.suspended = true;
            node.suspendedAction = action;
        } else {
            long max = mutation == Mutation.ACTION_NOT_CUT_OFF
                    ? 6 * LEASE
                    : Math.min(durationMicros, (long) (MAX_ACTION / node.clockRate));
            RunningAction running = new RunningAction(node, node.instance, action, now + max);
            actions.add(running);
            node.running.add(running);
        }
        stepAndCheck();
    }

    /**
     * Suspends the holder of the rotating task after its lease check, and resumes it this many leases later,
     * after its successor has acted.
     */
    void suspendHolder(int leases) {
        int suspendedNode = -1;
        for (Node node : nodes) {
            act(node.number, ROTATING, MAX_ACTION, true);
            suspendedNode = suspendedNode < 0 && node.suspendedAction != null ? node.number : suspendedNode;
        }
        runRounds(4 * leases);
        for (Node node : nodes) {
            if (node.number != suspendedNode) {
                act(node.number, ROTATING, MAX_ACTION, true);
                resume(node.number);
            }
        }
        if (suspendedNode >= 0) {
            resume(suspendedNode);
        }
    }

    void suspend(int number) {
        nodes.get(number).suspended = nodes.get(number).up;
    }

    void resume(int number) {
        Node node = nodes.get(number);
        node.suspended = false;
        node.draining = false;
        if (node.suspendedAction != null) {
            // Its lease check is over, and it does not notice the time that has passed since.
            Action action = node.suspendedAction;
            node.suspendedAction = null;
            if (mutation == Mutation.NO_TOKEN_CHECK || tokenCheck.admits(action.task(), action.token())) {
                if (action.token() < accepted.getOrDefault(action.task(), 0L)) {
                    throw new Violation(
                            "stale: token " + action.token() + " accepted after " + accepted.get(action.task()));
                }
                accepted.put(action.task(), action.token());
            } else {
                rejectedActions++;
            }
            node.taskHolder.end(action);
        }
        stepAndCheck();
    }

    void giveUp(int number, String task) {
        if (nodes.get(number).up && !nodes.get(number).suspended) {
            nodes.get(number).taskHolder.giveUp(task);
        }
    }

    void drain(int number) {
        nodes.get(number).draining = true;
    }

    void advance(long micros) {
        for (long passed = 0; passed < micros; passed += 25_000) {
            now += Math.min(25_000, micros - passed);
            stepAndCheck();
        }
    }

    void crash(int number) {
        Node node = nodes.get(number);
        node.up = false;
        node.suspended = false;
        node.suspendedAction = null;
    }

    void restart(int number) {
        Node node = nodes.get(number);
        crash(number);
        node.up = true;
        node.left = false;
        node.draining = false;
        node.instance++;
        node.taskHolder = new TaskHolder();
        node.running.clear();
    }

    /** Shuts the process down and notifies the leader, if none of its actions is in progress. */
    void leave(int number) {
        Node node = nodes.get(number);
        if (node.up && !node.suspended && (node.running.isEmpty() || mutation == Mutation.ACTS_AFTER_LEAVING)) {
            node.up = false;
            node.left = true;
            leaders.get(leaders.size() - 1).taskLeader.leave(node.id());
            stepAndCheck();
        }
    }

    // ---- reactions to events, and invariants ----

    private void step(Leader leader) {
        TaskLeader.Step step = leader.taskLeader.step(leader.clock());
        boolean isCurrent = leader == leaders.get(leaders.size() - 1);
        if (isCurrent) {
            if (mutation != Mutation.OPERATIONS_IGNORED || table.view().tasks().isEmpty()) {
                uncommitted.addAll(step.ops());
            }
        } else if (!step.ops().isEmpty()) {
            if (mutation == Mutation.DEPOSED_LEADER_CONFIRMED) {
                step.ops().forEach(table::run);
            }
            leader.taskLeader.opsAnswered(leader.clock());
        }
        for (String process : step.tell()) {
            TaskGrant grant = leader.taskLeader.grant(leader.clock(), process, true);
            Node node = nodes.get(Integer.parseInt(process.substring(1, process.indexOf('#'))));
            if (grant != null) {
                inFlight.add(new Message(
                        null, node, Integer.parseInt(process.substring(process.indexOf('#') + 1)), leader, -1, grant));
            }
        }
    }

    private void stepAndCheck() {
        for (Node node : nodes) {
            for (RunningAction running : List.copyOf(node.running)) {
                if (running.endsAt <= now && !node.suspended && node.up) {
                    node.running.remove(running);
                    node.taskHolder.end(running.action);
                }
            }
        }
        leaders.forEach(this::step);
        actions.removeIf(running -> running.endsAt <= now);
        Map<String, String> activeProcesses = new HashMap<>();
        for (RunningAction running : actions) {
            String process = "s" + running.node.number + "#" + running.instance;
            String other = activeProcesses.putIfAbsent(running.action.task(), process);
            if (other != null && !other.equals(process)) {
                throw new Violation(
                        "concurrent actions on " + running.action.task() + ": " + process + " and " + other);
            }
        }
        for (Task task : table.view().tasks().values()) {
            long before = tokens.getOrDefault(task.name(), 0L);
            if (task.token() < before) {
                throw new Violation("the token of " + task.name() + " fell from " + before + " to " + task.token());
            }
            reassignments += task.token() > before && before > 0 ? 1 : 0;
            tokens.put(task.name(), task.token());
            if (!task.holder().isEmpty()) {
                holdersByTask
                        .computeIfAbsent(task.name(), name -> new HashSet<>())
                        .add(Integer.parseInt(
                                task.holder().substring(1, task.holder().indexOf('#'))));
            }
        }
    }

    /**
     * Stops all faults and lets time pass. Then every task must be held, the rotating one by each process in
     * turn and the placed ones within the load bound.
     */
    void recoverAndCheck() {
        inFlight.clear();
        for (Node node : nodes) {
            if (node.left || !node.up) {
                restart(node.number);
            }
            resume(node.number);
            node.draining = false;
        }
        runRounds(nodes.size() > 5 ? 16 : 30);
        holdersByTask.clear();
        // Time for a turn of each process; skipped where there are too many.
        runRounds(nodes.size() > 5 ? 0 : nodes.size() * 4 * 4 + 4);
        Map<String, Integer> loads = new HashMap<>();
        int placed = 0;
        for (Task task : table.view().tasks().values()) {
            Node holder = nodes.stream()
                    .filter(node -> node.id().equals(task.holder()))
                    .findFirst()
                    .orElse(null);
            // The rotating task may be changing hands at this instant.
            if (holder == null
                    || task.placed() && holder.taskHolder.token(task.name(), holder.clock()) != task.token()) {
                throw new Violation("stuck: no process can act on " + task.name());
            }
            if (task.placed()) {
                placed++;
                loads.merge(task.holder(), 1, Integer::sum);
            }
        }
        if (table.view().tasks().isEmpty()) {
            throw new Violation("stuck: no task is known");
        }
        if (nodes.size() <= 5 && holdersByTask.getOrDefault(ROTATING, Set.of()).size() < nodes.size()) {
            throw new Violation("starved: only " + holdersByTask.get(ROTATING) + " had a turn");
        }
        double meanLoad = (double) placed / nodes.size();
        int max = loads.values().stream().mapToInt(load -> load).max().orElse(0);
        if (max > Math.max(Math.ceil(meanLoad), TaskPlacement.MAX_LOAD_FACTOR * meanLoad)) {
            throw new Violation("unfair: " + loads);
        }
    }

    /** Runs rounds, four per lease, in which all processes renew and every message arrives. */
    void runRounds(int rounds) {
        for (int i = 0; i < rounds; i++) {
            confirm(0);
            for (Node node : nodes) {
                renew(node.number, 0);
            }
            for (int k = inFlight.size() * 3; k > 0 && !inFlight.isEmpty(); k--) {
                deliver(false);
            }
            commit();
            if (mutation == Mutation.NO_LOAD_BOUND) {
                assignAllTo(0);
            }
            advance(LEASE / 4);
        }
    }

    /** Exchanges all renewals and grants three times without time passing, except for one process. */
    void exchangeAll(int except) {
        for (int i = 0; i < 3; i++) {
            confirm(0);
            for (Node node : nodes) {
                if (node.number != except) {
                    renew(node.number, 0);
                }
            }
            for (int k = inFlight.size() * 3; k > 0 && !inFlight.isEmpty(); k--) {
                deliver(false);
            }
            commit();
        }
    }

    /** Assigns all placed tasks to one process, as might happen without a load bound. */
    private void assignAllTo(int number) {
        for (Task task : table.view().tasks().values()) {
            if (task.placed() && !task.holder().equals(nodes.get(number).id())) {
                table.run(TaskTable.assign(List.of(new TaskTable.Assignment(
                        task.name(), task.token(), nodes.get(number).id()))));
            }
        }
    }
}
