package laneflow.policy.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.policy.decision.LeaderState.Step;

/**
 * Schedulers with leases, leaders that follow one another and don't know it, clocks that run apart, and
 * messages that are held, lost, doubled or overtake each other. After every event it looks who may decide by
 * what, at every instant that has passed.
 */
final class FenceWorld {
    static final long LEASE = 900_000;
    private static final LeaderState.Times TIMES = new LeaderState.Times(LEASE, LEASE / 2, 2 * LEASE);

    /** What is done wrong on purpose, to see that it is found. */
    enum Broken {
        NOTHING,
        A_DEPOSED_LEADER_IS_CONFIRMED,
        CLOCKS_RUN_APART,
        ACKNOWLEDGED_UNHEARD,
        LEFT_BUT_DECIDES,
        ELECTED_BEFORE_ITS_TIME
    }

    /** A promise is broken. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String what) {
            super(what);
        }
    }

    final class Node {
        final int number;
        final double rate;
        Lease lease = new Lease();
        Set<Long> ready = new HashSet<>(Set.of(0L));
        boolean up = true;
        /** It has ended in order: its life does not go on. */
        boolean left;

        long refuses;
        int life;

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

        String who() {
            return "s" + number + "#" + life;
        }
    }

    private final class Leader {
        private final int term;
        private final double rate;
        private final LeaderState lead;

        private Leader(int term, double rate) {
            this.term = term;
            this.rate = rate;
            lead = new LeaderState(
                    term, broken == Broken.ELECTED_BEFORE_ITS_TIME ? clock() - 3 * LEASE : clock(), TIMES);
        }

        private long clock() {
            return (long) (now * rate) + term * 7_000_007L;
        }
    }

    /** A message under way. */
    private record Message(
            boolean renewal, Node node, int life, Leader leader, Renewal said, long sentAt, Grant grant) {}

    final Broken broken;
    final List<Node> nodes = new ArrayList<>();
    private final List<Leader> leaders = new ArrayList<>();
    private final List<Message> under = new ArrayList<>();
    final Ledger ledger = new Ledger();
    private int proposals;
    long now = 10_000_000;
    int switches;
    /** Messages that have arrived. */
    int arrived;

    private long highest;

    FenceWorld(Broken broken, int schedulers) {
        this.broken = broken;
        double apart = broken == Broken.CLOCKS_RUN_APART ? 0.4 : 0.0004;
        for (int i = 0; i < schedulers; i++) {
            nodes.add(new Node(i, 1 + (i % 2 == 0 ? -apart : apart)));
        }
        elect();
    }

    // ---- events ----

    void elect() {
        leaders.add(new Leader(leaders.size() + 1, leaders.size() % 2 == 0 ? 1.0004 : 0.9996));
        settle();
    }

    /** A majority answers the leader that is one, and none that was. */
    void confirm(int back) {
        if (back < leaders.size()) {
            Leader leader = leaders.get(leaders.size() - 1 - back);
            if (back == 0 || broken == Broken.A_DEPOSED_LEADER_IS_CONFIRMED) {
                leader.lead.onConfirmed(leader.clock(), ledger.view());
            }
        }
        settle();
    }

    void propose() {
        JsonObject types = new JsonObject();
        JsonArray bans = new JsonArray();
        bans.add("b" + proposals);
        types.add("bans", bans);
        ledger.run(Ledger.propose("c" + ++proposals, types, "test", 0));
        settle();
    }

    /** A scheduler's renewal goes out, to the leader or to the one before. */
    void renew(int node, int back) {
        Node from = nodes.get(node);
        if (!from.up || back >= leaders.size()) {
            return;
        }
        from.lease.policyAt(from.clock());
        Leader to = leaders.get(leaders.size() - 1 - back);
        long heard = from.lease.seq() + (broken == Broken.ACKNOWLEDGED_UNHEARD ? 5 : 0);
        Renewal said = new Renewal(
                from.lease.term(),
                heard,
                from.lease.current(),
                Set.copyOf(from.ready),
                from.refuses,
                from.refuses > 0 ? List.of("it may not") : List.of(),
                2_000);
        under.add(new Message(true, from, from.life, to, said, from.clock(), null));
    }

    /** A message arrives: the oldest, or the newest. */
    void deliver(boolean newest) {
        if (!under.isEmpty()) {
            arrive(under.remove(newest ? under.size() - 1 : 0));
        }
        settle();
    }

    /** It arrives, and will arrive again. */
    void deliverTwice() {
        if (!under.isEmpty()) {
            arrive(under.get(0));
        }
        settle();
    }

    void lose() {
        if (!under.isEmpty()) {
            under.remove(0);
        }
    }

    private void arrive(Message message) {
        arrived++;
        Node node = message.node;
        Leader leader = message.leader;
        if (message.renewal) {
            leader.lead.onRenewal(leader.clock(), "s" + node.number + "#" + message.life, message.said);
            follow(leader);
            Grant grant = leader.lead.grant(leader.clock(), "s" + node.number + "#" + message.life);
            if (grant != null) {
                under.add(new Message(false, node, message.life, leader, null, message.sentAt, grant));
            }
            return;
        }
        if (!node.up || node.life != message.life) {
            return;
        }
        node.lease.accept(message.grant, message.sentAt, node.clock());
        long open = message.grant.open();
        if (open > 0 && node.refuses != open) {
            node.ready.add(open);
        }
        node.ready.add(message.grant.number());
    }

    void pass(long micros) {
        // In steps, so that no instant between two events goes unseen.
        for (long passed = 0; passed < micros; passed += 25_000) {
            now += Math.min(25_000, micros - passed);
            settle();
        }
    }

    void crash(int node) {
        nodes.get(node).up = false;
    }

    /** Started anew with nothing; its earlier life's messages may still be under way. */
    void restart(int node) {
        Node again = nodes.get(node);
        again.up = true;
        again.left = false;
        again.life++;
        again.lease = new Lease();
        again.ready = new HashSet<>(Set.of(0L));
    }

    /** It ends in order, and says so. */
    void leave(int node) {
        Node leaving = nodes.get(node);
        if (leaving.up) {
            leaving.up = broken == Broken.LEFT_BUT_DECIDES;
            leaving.left = !leaving.up;
            leaders.get(leaders.size() - 1).lead.removeScheduler(leaving.who());
            settle();
        }
    }

    // ---- what follows by itself, and what must hold ----

    private void follow(Leader leader) {
        Step step = leader.lead.step(leader.clock());
        boolean leads = leader == leaders.get(leaders.size() - 1) || broken == Broken.A_DEPOSED_LEADER_IS_CONFIRMED;
        if (step.operation() == LeaderState.Operation.APPLY || step.operation() == LeaderState.Operation.ABANDON) {
            if (leads) {
                ledger.run(
                        step.operation() == LeaderState.Operation.APPLY
                                ? Ledger.apply(step.name(), 0)
                                : Ledger.abandon(step.name(), step.reasons(), 0));
                leader.lead.onConfirmed(leader.clock(), ledger.view());
                follow(leader);
            } else {
                leader.lead.onDecisionFailed();
            }
            return;
        }
        if (step.broadcast()) {
            for (Node node : nodes) {
                Grant grant = leader.lead.grant(leader.clock(), node.who());
                if (grant != null) {
                    under.add(new Message(false, node, node.life, leader, null, -1, grant));
                }
            }
        }
    }

    private void settle() {
        leaders.forEach(this::follow);
        long by = -1;
        for (Node node : nodes) {
            long deciding = node.up ? node.lease.policyAt(node.clock()) : -1;
            if (deciding < 0) {
                continue;
            }
            if (by >= 0 && by != deciding) {
                throw new Violation("two in force: " + by + " and " + deciding);
            }
            by = deciding;
            if (deciding > ledger.view().inForce()) {
                throw new Violation("decides by " + deciding + ", which is undecided");
            }
            if (deciding > 0
                    && ledger.recent(100).stream()
                            .noneMatch(
                                    change -> change.number() == deciding && change.state() == Change.State.APPLIED)) {
                throw new Violation("decides by " + deciding + ", which was abandoned");
            }
            if (deciding < highest) {
                throw new Violation("decides by " + deciding + " behind " + highest);
            }
            if (deciding > highest) {
                highest = deciding;
                switches++;
            }
        }
    }

    /** Nothing is lost any more, and time passes: what does it come to? */
    void heal() {
        under.clear();
        for (int i = 0; i < 60; i++) {
            confirm(0);
            for (Node node : nodes) {
                if (node.left) {
                    restart(node.number);
                }
                // One that was only stopped wakes with what it had.
                node.up = true;
                renew(node.number, 0);
            }
            while (!under.isEmpty()) {
                deliver(false);
            }
            pass(LEASE / 4);
        }
        for (Node node : nodes) {
            if (node.lease.policyAt(node.clock()) != ledger.view().inForce()) {
                throw new Violation("stuck: s" + node.number + " decides by " + node.lease.policyAt(node.clock())
                        + ", in force is " + ledger.view().inForce());
            }
        }
        if (ledger.view().open() != null) {
            throw new Violation("stuck: " + ledger.view().open().name() + " is undecided");
        }
    }

    /** What former leaders may have granted has run out, and all decide. */
    void calmFromTheStart() {
        calm(1);
        now += LEASE + 20_000;
        calm(2);
    }

    /** All renew, and everything arrives. */
    void calm(int rounds) {
        for (int i = 0; i < rounds; i++) {
            confirm(0);
            for (Node node : nodes) {
                renew(node.number, 0);
            }
            while (!under.isEmpty()) {
                deliver(false);
            }
            pass(LEASE / 8);
        }
    }
}
