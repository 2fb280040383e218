package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.View.Entry;

/**
 * Probes the other members in turn. A probe without an ack is repeated once and then made indirectly, through
 * helpers. The results give this member's health score and its estimate of the round trip.
 */
final class FailureDetector {
    private static final int MAX_INDIRECT_PROBES = 64;
    private static final int MAX_RECENT_PINGS = 64;
    /** Extra probes per period for each step of the health score. */
    private static final int EXTRA_PROBES_PER_SCORE = 2;

    private static final long MAX_ROUND_TRIP_US = 4_000_000;
    private static final int ROUND_TRIP_SMOOTHING = 4;

    /** Notified of a live member that neither this one nor a helper has reached. */
    interface UnresponsiveListener {
        void unresponsive(Entry entry, long now);
    }

    /** A direct probe of this member. */
    private static final class Probe {
        private final Entry target;
        private final long id;
        private final int seq;
        private int nacks;
        private boolean done;

        private Probe(Entry target, int seq) {
            this.target = target;
            this.seq = seq;
            id = target.instance().id();
        }
    }

    /** A probe made on behalf of another member. */
    private record IndirectProbe(InetSocketAddress requester, int requesterSeq, long targetId, long deadline) {}

    private final View view;
    private final SwimTimings timings;
    private final SplittableRandom random;
    private final LocalMember self;
    private final UnresponsiveListener listener;
    private final List<Entry> probeOrder = new ArrayList<>();
    private final Map<Integer, IndirectProbe> indirectProbes = new LinkedHashMap<>();
    /** Send times of recent direct probes by sequence number, so that late acks count as round trips too. */
    private final Map<Integer, Long> sentAt = new RecentPings<>(MAX_RECENT_PINGS);

    private int nextIndex;
    /** Direct probes of this period; more than one while the health score is above 0. */
    private final List<Probe> probes = new ArrayList<>();

    private long retryAt;
    private boolean retried;
    private long indirectProbesAt;
    private boolean indirectProbesRequested;
    private long nextPeriod;
    private long roundTrip;
    private int score;

    FailureDetector(
            View view,
            SwimTimings timings,
            SplittableRandom random,
            LocalMember self,
            UnresponsiveListener listener,
            long now) {
        this.view = view;
        this.timings = timings;
        this.random = random;
        this.self = self;
        this.listener = listener;
        // Members of a fleet that start together must not probe in step.
        nextPeriod = now + 1 + random.nextLong(timings.period());
    }

    /** Lifeguard's local health score: 0 is healthy, 8 the slowest. */
    int score() {
        return score;
    }

    void adjustHealthScore(int delta) {
        score = Math.max(0, Math.min(SwimTimings.MAX_HEALTH_SCORE, score + delta));
    }

    /** Smoothed round trip in microseconds. */
    long roundTrip() {
        return roundTrip;
    }

    /** The time from which a period may start if the member is awake anyway. */
    long earliestTick() {
        return allAnswered() && indirectProbes.isEmpty() ? nextPeriod - timings.wakeTolerance() : nextTick();
    }

    private boolean allAnswered() {
        return probes.stream().allMatch(probe -> probe.done);
    }

    long nextTick() {
        long next = allAnswered() ? nextPeriod + timings.wakeTolerance() : nextPeriod;
        if (awaitsDirectAck()) {
            next = Math.min(next, retried ? indirectProbesAt : retryAt);
        }
        if (!indirectProbes.isEmpty()) {
            next = Math.min(next, indirectProbes.values().iterator().next().deadline);
        }
        return next;
    }

    private boolean awaitsDirectAck() {
        return !indirectProbesRequested && probes.stream().anyMatch(probe -> !probe.done);
    }

    /** Does what is due. Returns true if a period has started. */
    boolean tick(long now) {
        expireIndirectProbes(now);
        if (awaitsDirectAck() && !retried && now >= retryAt) {
            // A single lost datagram does not justify indirect probes.
            retried = true;
            for (Probe probe : probes) {
                if (!probe.done) {
                    self.sendWithGossip(probe.target, Kind.PING, probe.seq, probe.id, List.of());
                }
            }
        }
        if (awaitsDirectAck() && now >= indirectProbesAt) {
            indirectProbesRequested = true;
            for (Probe probe : probes) {
                if (!probe.done) {
                    requestIndirectProbes(probe);
                }
            }
        }
        if (now < (allAnswered() ? nextPeriod - timings.wakeTolerance() : nextPeriod)) {
            return false;
        }
        startPeriod(now);
        return true;
    }

    /** Drops the probes after a stall. Their acks may be waiting unread, so no member is accused. */
    void handleStall(long now) {
        adjustHealthScore(1);
        probes.clear();
        nextPeriod = now + timings.period();
    }

    private void startPeriod(long now) {
        finishPeriod(now);
        nextPeriod = now + timings.probeTimeout(score, roundTrip);
        retried = false;
        indirectProbesRequested = false;
        indirectProbesAt = now + timings.directProbeTimeout(score, roundTrip);
        retryAt = now + timings.directProbeTimeout(score, roundTrip) / 2;
        // In a small partition most probes time out, so without extra probes it would take minutes to probe all.
        for (int i = 0; i < 1 + EXTRA_PROBES_PER_SCORE * score; i++) {
            Entry target = nextProbeTarget();
            if (target == null || probes.stream().anyMatch(probe -> probe.target == target)) {
                return;
            }
            Probe probe = new Probe(target, self.nextSequence());
            probes.add(probe);
            sentAt.put(probe.seq, now);
            self.sendWithGossip(target, Kind.PING, probe.seq, probe.id, List.of());
        }
    }

    /** The next member in a random order that is shuffled for each round, as in SWIM. */
    private Entry nextProbeTarget() {
        for (int tries = 0; tries < 2; tries++) {
            while (nextIndex < probeOrder.size()) {
                Entry candidate = probeOrder.get(nextIndex++);
                if (candidate.state.isLive()
                        && view.findByInstanceId(candidate.instance().id()) == candidate) {
                    return candidate;
                }
            }
            probeOrder.clear();
            probeOrder.addAll(view.live());
            for (int i = probeOrder.size() - 1; i > 0; i--) {
                int k = random.nextInt(i + 1);
                Entry swapped = probeOrder.set(i, probeOrder.get(k));
                probeOrder.set(k, swapped);
            }
            nextIndex = 0;
        }
        return null;
    }

    private void requestIndirectProbes(Probe probe) {
        List<Entry> helpers = new ArrayList<>();
        for (int i = 0; i < SwimTimings.INDIRECT_PROBE_HELPERS; i++) {
            Entry helper = view.pickRandom(
                    random, each -> each != probe.target && each.state == State.ALIVE && !helpers.contains(each));
            if (helper != null) {
                helpers.add(helper);
                self.sendWithGossip(helper, Kind.PING_REQ, probe.seq, probe.id, List.of());
            }
        }
    }

    private void finishPeriod(long now) {
        List<Probe> unanswered = new ArrayList<>(probes);
        probes.clear();
        unanswered.removeIf(probe -> probe.done);
        if (unanswered.isEmpty()) {
            return;
        }
        // If no helper has sent a nack, this member itself is cut off or slow. One nack rules that out; the other
        // helpers may be dead too.
        adjustHealthScore(unanswered.stream().allMatch(probe -> probe.nacks == 0) ? 1 : 0);
        for (Probe probe : unanswered) {
            if (probe.target.state.isLive() && view.findByInstanceId(probe.id) == probe.target) {
                listener.unresponsive(probe.target, now);
            }
        }
    }

    // ---- acks ----

    /** Handles an ack. Returns true if it answers a direct probe of this period. */
    boolean ackReceived(Message message, Entry sender, long now) {
        Long pingSentAt = sentAt.remove(message.seq());
        if (pingSentAt != null) {
            // Longer samples take effect at once, shorter ones are smoothed.
            long sample = Math.min(now - pingSentAt, MAX_ROUND_TRIP_US);
            roundTrip = sample > roundTrip ? sample : roundTrip + (sample - roundTrip) / ROUND_TRIP_SMOOTHING;
        }
        for (Probe probe : probes) {
            if (probe.seq == message.seq() && probe.id == message.target() && !probe.done) {
                probe.done = true;
                adjustHealthScore(-1);
                return true;
            }
        }
        IndirectProbe indirectProbe = indirectProbes.get(message.seq());
        if (indirectProbe != null && indirectProbe.targetId == sender.instance().id()) {
            indirectProbes.remove(message.seq());
            self.sendTo(
                    indirectProbe.requester, Kind.ACK, indirectProbe.requesterSeq, indirectProbe.targetId, List.of());
        }
        return false;
    }

    /** Counts a nack: a helper did not reach the target either. */
    void nackReceived(int seq) {
        for (Probe probe : probes) {
            probe.nacks += probe.seq == seq ? 1 : 0;
        }
    }

    // ---- indirect probes for others ----

    /** Probes a member at another's request. */
    void startIndirectProbe(Entry requester, Message message, long now) {
        Entry target = view.findByInstanceId(message.target());
        if (target == null || !target.state.isLive()) {
            self.sendWithGossip(requester, Kind.NACK, message.seq(), message.target(), List.of());
            return;
        }
        int sequence = self.nextSequence();
        indirectProbes.put(
                sequence,
                new IndirectProbe(
                        requester.address(),
                        message.seq(),
                        message.target(),
                        now + timings.directProbeTimeout(0, roundTrip)));
        self.sendWithGossip(target, Kind.PING, sequence, message.target(), List.of());
        expireIndirectProbes(now);
    }

    private void expireIndirectProbes(long now) {
        while (!indirectProbes.isEmpty()) {
            Map.Entry<Integer, IndirectProbe> first =
                    indirectProbes.entrySet().iterator().next();
            IndirectProbe indirectProbe = first.getValue();
            if (indirectProbe.deadline > now && indirectProbes.size() <= MAX_INDIRECT_PROBES) {
                return;
            }
            indirectProbes.remove(first.getKey());
            self.sendTo(
                    indirectProbe.requester, Kind.NACK, indirectProbe.requesterSeq, indirectProbe.targetId, List.of());
        }
    }
}
