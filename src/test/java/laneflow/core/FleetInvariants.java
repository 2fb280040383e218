package laneflow.core;

import laneflow.core.FleetSimulation.Fault;
import laneflow.core.FleetSimulation.SentAttempt;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;

/** The invariants of a {@link FleetSimulation}, checked against what clients and endpoints observe. */
final class FleetInvariants {
    /** Tolerance that the wire protocol allows on each time limit. */
    private static final long SLACK_MICROS = 50_000;

    private final RandomSettings settings;
    private final Fault fault;
    final double meanWork;
    /** Attempts that reached cold endpoints. */
    int coldSendCount;

    /** The highest ratio of the work that a cold endpoint got to its overload limit. */
    double maxBudgetUse;

    FleetInvariants(RandomSettings settings, Fault fault, double meanWork) {
        this.settings = settings;
        this.fault = fault;
        this.meanWork = meanWork;
    }

    /**
     * A cold endpoint is overloaded by more than N + 2 sqrt(N) + 2 mean jobs within {@code fallMs}, where N is
     * the number of jobs allowed at its current speed.
     */
    void checkColdBudget(SimulatedEndpoint endpoint, SentAttempt attempt, long now) {
        coldSendCount++;
        // Work as known to the scheduler: without a hint, the mean of the class; never more than the client's
        // deadline.
        double longest = attempt.client.type.deadlineMs() / 1e3;
        double expected = settings.hintQuality > 0
                ? Math.min(longest, attempt.client.request.hint)
                : attempt.client.type.workMs / 1e3;
        double work = expected * settings.slotsOf(attempt.client.type);
        work *= fault == Fault.COLD_TENFOLD ? 10 : 1;
        endpoint.coldSends.add(new double[] {now, work, attempt.knowsStart ? work : 0});
        while (endpoint.coldSends.peek()[0] < now - settings.fallMs * 1e3) {
            endpoint.coldSends.poll();
        }
        double sum = endpoint.coldSends.stream().mapToDouble(send -> send[1]).sum();
        double capacity = endpoint.warmShare() * endpoint.slots * endpoint.speed;
        double allowed = settings.multipleTenths / 10.0 * capacity * settings.fallMs / 1e3 / meanWork;
        double knownStartSum =
                endpoint.coldSends.stream().mapToDouble(send -> send[2]).sum();
        if (knownStartSum * 3 < sum * 2) {
            return;
        }
        maxBudgetUse = Math.max(maxBudgetUse, sum / meanWork / (allowed + 2 * Math.sqrt(allowed) + 2));
        if (sum / meanWork > allowed + 2 * Math.sqrt(allowed) + 2) {
            fail("cold budget", endpoint.entry.name + " got " + sum / meanWork + " mean jobs, allowed are " + allowed);
        }
    }

    /** Checks the invariants of an attempt as it arrives at its endpoint. */
    void checkSend(SentAttempt attempt, long now) {
        String name = attempt.endpoint.entry.name;
        Long drainNotifiedAt = attempt.client.node.drainNotifiedAt.get(name);
        if (drainNotifiedAt != null && now > drainNotifiedAt + settings.graceMs * 1000L + SLACK_MICROS) {
            fail("drains", "sent to " + name + " " + (now - drainNotifiedAt) + " us after the notice of its drain");
        }
        int kind = settings.kindOf(attempt.client.type);
        if (kind >= 0 && kind != attempt.endpoint.entry.kind) {
            fail("kinds", "sent to " + name + ", which cannot run it");
        }
        JobClass type = attempt.client.node.scheduler.settings().classes[attempt.client.request.jobClass];
        int earlierSends = 0;
        for (SentAttempt other : attempt.client.sentAttempts) {
            if (other == attempt || !other.wasSent) {
                continue;
            }
            earlierSends++;
            if (!other.ended) {
                fail("one open attempt", "a second one to " + name);
            }
            if (other.mayHaveRun && !mayRepeat(type, other, attempt, now)) {
                fail("no repeat", "may have run at " + other.endpoint.entry.name + ", sent again to " + name);
            }
        }
        if (earlierSends >= settings.maxAttempts) {
            fail("attempts", "more than " + settings.maxAttempts);
        }
    }

    private static boolean mayRepeat(JobClass type, SentAttempt earlier, SentAttempt later, long now) {
        return type.effect == Effect.SAFE
                || type.effect == Effect.KEYED
                        && now <= earlier.sentAt + (long) (type.dedupWindow * 1e6) + SLACK_MICROS
                        && (type.group == Group.ALL
                                || (type.group == Group.ZONE
                                        ? earlier.endpoint.entry.zone == later.endpoint.entry.zone
                                        : earlier.endpoint.entry.cell == later.endpoint.entry.cell));
    }

    static void fail(String rule, String details) {
        throw new SchedulerPairModel.Violation(rule, details);
    }

    /** Checks the invariants of an answer. */
    void checkAnswer(FleetSimulation.Client client, String answer, long now) {
        if (client.answered || client.left) {
            fail("one answer", "a second one, " + answer);
        }
        if (now > client.request.deadline + SLACK_MICROS) {
            fail("answered in time", answer + " " + (now - client.request.deadline) + " us late");
        }
        JobClass type = client.node.scheduler.settings().classes[client.request.jobClass];
        boolean mayHaveRun = client.sentAttempts.stream().anyMatch(attempt -> attempt.mayHaveRun);
        if (answer.equals("refused")
                && mayHaveRun
                && type.effect != Effect.SAFE
                && !(type.effect == Effect.KEYED && type.group == Group.ALL)) {
            fail("truthful answer", client.type + " was refused and may have run");
        }
        if (client.isIdle && answer.equals("refused")) {
            fail("idle fleet", client.type + " was refused while all endpoints were warm and idle");
        }
    }
}
