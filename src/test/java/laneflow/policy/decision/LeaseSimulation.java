package laneflow.policy.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.policy.decision.LeaderState.Step;

/**
 * A simulation of schedulers with leases, successive leaders that don't know of their deposition, clocks that
 * drift, and messages that are delayed, lost, duplicated or reordered. After every event and every step of
 * time it checks that all schedulers that decide use one policy.
 */
final class LeaseSimulation {
    static final long LEASE = 900_000;
    private static final LeaderState.Times TIMES = new LeaderState.Times(LEASE, LEASE / 2, 2 * LEASE);

    /** Faults injected to show that the checks find them. */
    enum Fault {
        NONE,
        DEPOSED_LEADER_CONFIRMED,
        EXCESSIVE_CLOCK_DRIFT,
        ACKNOWLEDGES_UNRECEIVED_GRANTS,
        DECIDES_AFTER_LEAVING,
        ELECTION_TIME_TOO_EARLY
    }

    /** An invariant is violated. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    final class Node {
        final int number;
        final double rate;
        Lease lease = new Lease();
        Set<Long> ready = new HashSet<>(Set.of(0L));
        boolean up = true;
        /** The scheduler has stopped gracefully; it can only start again as a new process. */
        boolean hasLeft;

        long refusedChange;
        int incarnation;

        private Node(int number, double rate) {
            this.number = number;
            this.rate = rate;
        }

        long clock() {
            return clock(now);
        }

        long clock(long at) {
            return (long) (at * rate) + number * 1_000_003L;
        }

        String processId() {
            return "s" + number + "#" + incarnation;
        }
    }

    private final class Leader {
        private final int term;
        private final double rate;
        private final LeaderState state;

        private Leader(int term, double rate) {
            this.term = term;
            this.rate = rate;
            state = new LeaderState(
                    term, fault == Fault.ELECTION_TIME_TOO_EARLY ? clock() - 3 * LEASE : clock(), TIMES);
        }

        private long clock() {
            return (long) (now * rate) + term * 7_000_007L;
        }
    }

    /** A message in flight. */
    private record Message(
            boolean isRenewal, Node node, int incarnation, Leader leader, Renewal renewal, long sentAt, Grant grant) {}

    final Fault fault;
    final List<Node> nodes = new ArrayList<>();
    private final List<Leader> leaders = new ArrayList<>();
    private final List<Message> inFlight = new ArrayList<>();
    final Ledger ledger = new Ledger();
    private int proposals;
    long now = 10_000_000;
    int switches;
    /** Number of messages delivered. */
    int delivered;

    private long highestPolicy;

    LeaseSimulation(Fault fault, int schedulers) {
        this.fault = fault;
        double drift = fault == Fault.EXCESSIVE_CLOCK_DRIFT ? 0.4 : 0.0004;
        for (int i = 0; i < schedulers; i++) {
            nodes.add(new Node(i, 1 + (i % 2 == 0 ? -drift : drift)));
        }
        elect();
    }

    // ---- events ----

    void elect() {
        leaders.add(new Leader(leaders.size() + 1, leaders.size() % 2 == 0 ? 1.0004 : 0.9996));
        runLeadersAndCheck();
    }

    /** A majority confirms the current leader, and never a deposed one. */
    void confirm(int leadersBack) {
        if (leadersBack < leaders.size()) {
            Leader leader = leaders.get(leaders.size() - 1 - leadersBack);
            if (leadersBack == 0 || fault == Fault.DEPOSED_LEADER_CONFIRMED) {
                leader.state.onConfirmed(leader.clock(), ledger.view());
            }
        }
        runLeadersAndCheck();
    }

    void propose() {
        JsonObject types = new JsonObject();
        JsonArray bans = new JsonArray();
        bans.add("b" + proposals);
        types.add("bans", bans);
        ledger.run(Ledger.propose("c" + ++proposals, types, "test", 0));
        runLeadersAndCheck();
    }

    /** Sends a scheduler's renewal to the current leader or to an earlier one. */
    void renew(int node, int leadersBack) {
        Node from = nodes.get(node);
        if (!from.up || leadersBack >= leaders.size()) {
            return;
        }
        from.lease.policyAt(from.clock());
        Leader to = leaders.get(leaders.size() - 1 - leadersBack);
        long acknowledged = from.lease.seq() + (fault == Fault.ACKNOWLEDGES_UNRECEIVED_GRANTS ? 5 : 0);
        Renewal renewal = new Renewal(
                from.lease.term(),
                acknowledged,
                from.lease.current(),
                Set.copyOf(from.ready),
                from.refusedChange,
                from.refusedChange > 0 ? List.of("not allowed") : List.of(),
                2_000);
        inFlight.add(new Message(true, from, from.incarnation, to, renewal, from.clock(), null));
    }

    /** Delivers the newest or the oldest message. */
    void deliver(boolean newest) {
        if (!inFlight.isEmpty()) {
            process(inFlight.remove(newest ? inFlight.size() - 1 : 0));
        }
        runLeadersAndCheck();
    }

    /** Delivers the oldest message and keeps it, so that it arrives again. */
    void deliverTwice() {
        if (!inFlight.isEmpty()) {
            process(inFlight.get(0));
        }
        runLeadersAndCheck();
    }

    void dropOldest() {
        if (!inFlight.isEmpty()) {
            inFlight.remove(0);
        }
    }

    private void process(Message message) {
        delivered++;
        Node node = message.node;
        Leader leader = message.leader;
        if (message.isRenewal) {
            leader.state.onRenewal(leader.clock(), "s" + node.number + "#" + message.incarnation, message.renewal);
            runLeader(leader);
            Grant grant = leader.state.grant(leader.clock(), "s" + node.number + "#" + message.incarnation);
            if (grant != null) {
                inFlight.add(new Message(false, node, message.incarnation, leader, null, message.sentAt, grant));
            }
            return;
        }
        if (!node.up || node.incarnation != message.incarnation) {
            return;
        }
        node.lease.accept(message.grant, message.sentAt, node.clock());
        long open = message.grant.open();
        if (open > 0 && node.refusedChange != open) {
            node.ready.add(open);
        }
        node.ready.add(message.grant.number());
    }

    void advance(long micros) {
        // In small steps, so that the checks cover the time between two events.
        for (long passed = 0; passed < micros; passed += 25_000) {
            now += Math.min(25_000, micros - passed);
            runLeadersAndCheck();
        }
    }

    void crash(int node) {
        nodes.get(node).up = false;
    }

    /** Restarts a scheduler without any state; messages of its former process may still be in flight. */
    void restart(int node) {
        Node restarted = nodes.get(node);
        restarted.up = true;
        restarted.hasLeft = false;
        restarted.incarnation++;
        restarted.lease = new Lease();
        restarted.ready = new HashSet<>(Set.of(0L));
    }

    /** Stops a scheduler gracefully, which it announces to the leader. */
    void stopGracefully(int node) {
        Node leaving = nodes.get(node);
        if (leaving.up) {
            leaving.up = fault == Fault.DECIDES_AFTER_LEAVING;
            leaving.hasLeft = !leaving.up;
            leaders.get(leaders.size() - 1).state.removeScheduler(leaving.processId());
            runLeadersAndCheck();
        }
    }

    // ---- reactions and checks ----

    private void runLeader(Leader leader) {
        Step step = leader.state.step(leader.clock());
        boolean isCurrent = leader == leaders.get(leaders.size() - 1) || fault == Fault.DEPOSED_LEADER_CONFIRMED;
        if (step.operation() == LeaderState.Operation.APPLY || step.operation() == LeaderState.Operation.ABANDON) {
            if (isCurrent) {
                ledger.run(
                        step.operation() == LeaderState.Operation.APPLY
                                ? Ledger.apply(step.name(), 0)
                                : Ledger.abandon(step.name(), step.reasons(), 0));
                leader.state.onConfirmed(leader.clock(), ledger.view());
                runLeader(leader);
            } else {
                leader.state.onDecisionFailed();
            }
            return;
        }
        if (step.broadcast()) {
            for (Node node : nodes) {
                Grant grant = leader.state.grant(leader.clock(), node.processId());
                if (grant != null) {
                    inFlight.add(new Message(false, node, node.incarnation, leader, null, -1, grant));
                }
            }
        }
    }

    private void runLeadersAndCheck() {
        leaders.forEach(this::runLeader);
        long policy = -1;
        for (Node node : nodes) {
            long deciding = node.up ? node.lease.policyAt(node.clock()) : -1;
            if (deciding < 0) {
                continue;
            }
            if (policy >= 0 && policy != deciding) {
                throw new Violation("two policies in force: " + policy + " and " + deciding);
            }
            policy = deciding;
            if (deciding > ledger.view().inForce()) {
                throw new Violation("decides by " + deciding + ", which is undecided");
            }
            if (deciding > 0
                    && ledger.recent(100).stream()
                            .noneMatch(
                                    change -> change.number() == deciding && change.state() == Change.State.APPLIED)) {
                throw new Violation("decides by " + deciding + ", which was abandoned");
            }
            if (deciding < highestPolicy) {
                throw new Violation("decides by " + deciding + " after " + highestPolicy);
            }
            if (deciding > highestPolicy) {
                highestPolicy = deciding;
                switches++;
            }
        }
    }

    /** Runs for some time without faults, then checks that everything is decided and in use. */
    void healAndCheck() {
        inFlight.clear();
        for (int i = 0; i < 60; i++) {
            confirm(0);
            for (Node node : nodes) {
                if (node.hasLeft) {
                    restart(node.number);
                }
                // A scheduler that only crashed resumes with its state.
                node.up = true;
                renew(node.number, 0);
            }
            while (!inFlight.isEmpty()) {
                deliver(false);
            }
            advance(LEASE / 4);
        }
        for (Node node : nodes) {
            if (node.lease.policyAt(node.clock()) != ledger.view().inForce()) {
                throw new Violation("stuck: s" + node.number + " decides by " + node.lease.policyAt(node.clock())
                        + ", but in force is " + ledger.view().inForce());
            }
        }
        if (ledger.view().open() != null) {
            throw new Violation("stuck: " + ledger.view().open().name() + " is undecided");
        }
    }

    /** Runs until all grants of former leaders have expired and all schedulers decide. */
    void startSettled() {
        runRounds(1);
        now += LEASE + 20_000;
        runRounds(2);
    }

    /** Runs rounds in which all schedulers renew and all messages arrive. */
    void runRounds(int rounds) {
        for (int i = 0; i < rounds; i++) {
            confirm(0);
            for (Node node : nodes) {
                renew(node.number, 0);
            }
            while (!inFlight.isEmpty()) {
                deliver(false);
            }
            advance(LEASE / 8);
        }
    }
}
