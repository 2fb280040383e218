package laneflow.core;

import laneflow.core.FleetSimulation.Fault;
import laneflow.core.FleetSimulation.SentAttempt;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;

/** The invariants of a {@link FleetSimulation}, checked against what clients and endpoints observe. */
final class FleetRules {
    /** The tolerance that the protocol allows on every limit, in microseconds. */
    private static final long SLACK_MICROS = 50_000;

    private final RandomSettings settings;
    private final Fault fault;
    final double meanWork;
    /** Attempts that reached cold endpoints. */
    int coldSendCount;

    /** The largest part that a cold endpoint got of the work that would overload it. */
    double maxBudgetUse;

    FleetRules(RandomSettings settings, Fault fault, double meanWork) {
        this.settings = settings;
        this.fault = fault;
        this.meanWork = meanWork;
    }

    /**
     * A cold endpoint is overloaded by more than N + 2 sqrt(N) + 2 mean jobs within {@code fallMs}, where N is
     * the number of jobs allowed at its current speed.
     */
    void checkColdBudget(FleetEndpoint endpoint, SentAttempt sent, long now) {
        coldSendCount++;
        // Work as known to the scheduler: without a hint, the mean of the class; never more than the client's
        // deadline.
        double longest = sent.client.type.deadlineMs() / 1e3;
        double expected =
                settings.hintQuality > 0 ? Math.min(longest, sent.client.request.hint) : sent.client.type.workMs / 1e3;
        double work = expected * settings.slotsOf(sent.client.type);
        work *= fault == Fault.COLD_TENFOLD ? 10 : 1;
        endpoint.coldSends.add(new double[] {now, work, sent.knowsStart ? work : 0});
        while (endpoint.coldSends.peek()[0] < now - settings.fallMs * 1e3) {
            endpoint.coldSends.poll();
        }
        double sum = endpoint.coldSends.stream().mapToDouble(one -> one[1]).sum();
        double capacity = endpoint.warmShare() * endpoint.slots * endpoint.speed;
        double allowed = settings.multipleTenths / 10.0 * capacity * settings.fallMs / 1e3 / meanWork;
        double knownStartSum =
                endpoint.coldSends.stream().mapToDouble(one -> one[2]).sum();
        if (knownStartSum * 3 < sum * 2) {
            return;
        }
        maxBudgetUse = Math.max(maxBudgetUse, sum / meanWork / (allowed + 2 * Math.sqrt(allowed) + 2));
        if (sum / meanWork > allowed + 2 * Math.sqrt(allowed) + 2) {
            fail("cold budget", endpoint.entry.name + " got " + sum / meanWork + " mean jobs, allowed are " + allowed);
        }
    }

    /** Checks the invariants of an attempt as it arrives at its endpoint. */
    void checkSend(SentAttempt sent, long now) {
        String at = sent.worker.entry.name;
        Long drainNotifiedAt = sent.client.node.drainNotifiedAt.get(at);
        if (drainNotifiedAt != null && now > drainNotifiedAt + settings.graceMs * 1000L + SLACK_MICROS) {
            fail("drains", "sent to " + at + " " + (now - drainNotifiedAt) + " us after the notice of its drain");
        }
        int kind = settings.kindOf(sent.client.type);
        if (kind >= 0 && kind != sent.worker.entry.kind) {
            fail("kinds", "sent to " + at + ", which cannot run it");
        }
        JobClass type = sent.client.node.scheduler.settings().classes[sent.client.request.jobClass];
        int sentBefore = 0;
        for (SentAttempt other : sent.client.sentAttempts) {
            if (other == sent || !other.sent) {
                continue;
            }
            sentBefore++;
            if (!other.ended) {
                fail("one open attempt", "a second one to " + at);
            }
            if (other.mayHaveRun && !mayRepeat(type, other, sent, now)) {
                fail("no repeat", "may have run at " + other.worker.entry.name + ", sent again to " + at);
            }
        }
        if (sentBefore >= settings.maxAttempts) {
            fail("attempts", "more than " + settings.maxAttempts);
        }
    }

    private static boolean mayRepeat(JobClass type, SentAttempt earlier, SentAttempt later, long now) {
        return type.effect == Effect.SAFE
                || type.effect == Effect.KEYED
                        && now <= earlier.sentAt + (long) (type.dedupWindow * 1e6) + SLACK_MICROS
                        && (type.group == Group.ALL
                                || (type.group == Group.ZONE
                                        ? earlier.worker.entry.zone == later.worker.entry.zone
                                        : earlier.worker.entry.cell == later.worker.entry.cell));
    }

    static void fail(String rule, String what) {
        throw new SchedulerPairModel.Violation(rule, what);
    }

    /** Checks the invariants of an answer. */
    void checkAnswer(FleetSimulation.Client client, String what, long now) {
        if (client.answered || client.left) {
            fail("one answer", "a second one, " + what);
        }
        if (now > client.request.deadline + SLACK_MICROS) {
            fail("answered in time", what + " " + (now - client.request.deadline) + " us late");
        }
        JobClass type = client.node.scheduler.settings().classes[client.request.jobClass];
        boolean ran = client.sentAttempts.stream().anyMatch(sent -> sent.mayHaveRun);
        if (what.equals("refused")
                && ran
                && type.effect != Effect.SAFE
                && !(type.effect == Effect.KEYED && type.group == Group.ALL)) {
            fail("truthful answer", client.type + " was refused and may have run");
        }
        if (client.atRest && what.equals("refused")) {
            fail("at rest", client.type + " was refused while all endpoints were warm and idle");
        }
    }
}
