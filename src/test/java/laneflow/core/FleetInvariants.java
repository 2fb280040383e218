package laneflow.core;

import laneflow.core.FleetSimulation.Fault;
import laneflow.core.FleetSimulation.SentAttempt;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;

/** The rules of a {@link FleetSimulation}, read off what clients and endpoints see, not off what the program says. */
final class FleetInvariants {
    /** What the protocol page adds to every limit, microseconds. */
    private static final long SLACK_MICROS = 50_000;

    private final RandomSettings settings;
    private final Fault fault;
    final double meanWork;
    /** Calls that came to cold endpoints, and the most of what fells one that any of these had got. */
    int coldSendCount;

    double maxBudgetUse;

    FleetInvariants(RandomSettings settings, Fault fault, double meanWork) {
        this.settings = settings;
        this.fault = fault;
        this.meanWork = meanWork;
    }

    /** More than N + 2 x root of N + 2 mean jobs in the time named fell it, N being what is allowed then. */
    void checkColdBudget(SimulatedEndpoint endpoint, SentAttempt sent, long now) {
        coldSendCount++;
        // By what can be known: of a job without a hint, the mean of its class; no job is worth a longer run
        // than its client's wait.
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

    /** The rules on what is sent, as an endpoint can read them. */
    void checkSend(SentAttempt sent, long now) {
        String at = sent.worker.entry.name;
        Long drainNotifiedAt = sent.client.node.drainNotifiedAt.get(at);
        if (drainNotifiedAt != null && now > drainNotifiedAt + settings.graceMs * 1000L + SLACK_MICROS) {
            fail("drains", "begun at " + at + " " + (now - drainNotifiedAt) + " us behind the word");
        }
        int kind = settings.kindOf(sent.client.type);
        if (kind >= 0 && kind != sent.worker.entry.kind) {
            fail("kinds", "begun at " + at + ", which can't run it");
        }
        JobClass type = sent.client.node.scheduler.settings().classes[sent.client.request.jobClass];
        int sentBefore = 0;
        for (SentAttempt other : sent.client.sentAttempts) {
            if (other == sent || !other.sent) {
                continue;
            }
            sentBefore++;
            if (!other.ended) {
                fail("one call out", "a second one at " + at);
            }
            if (other.mayHaveRun && !mayRepeat(type, other, sent, now)) {
                fail("no repeat", "what may have run at " + other.worker.entry.name + " goes to " + at);
            }
        }
        if (sentBefore >= settings.maxAttempts) {
            fail("attempts", "more than " + settings.maxAttempts);
        }
    }

    private static boolean mayRepeat(JobClass type, SentAttempt earlier, SentAttempt later, long now) {
        return type.effect == Effect.SAFE
                || type.effect == Effect.KEYED
                        && now <= earlier.sentAt + (long) (type.window * 1e6) + SLACK_MICROS
                        && (type.group == Group.ALL
                                || (type.group == Group.ZONE
                                        ? earlier.worker.entry.zone == later.worker.entry.zone
                                        : earlier.worker.entry.cell == later.worker.entry.cell));
    }

    static void fail(String rule, String what) {
        throw new SchedulerPairModel.Violation(rule, what);
    }

    /** How a request was answered. */
    void checkAnswer(FleetSimulation.Client client, String what, long now) {
        if (client.answered || client.left) {
            fail("one answer", "a second one, " + what);
        }
        if (now > client.request.deadline + SLACK_MICROS) {
            fail("in time", what + " " + (now - client.request.deadline) + " us late");
        }
        JobClass type = client.node.scheduler.settings().classes[client.request.jobClass];
        boolean ran = client.sentAttempts.stream().anyMatch(sent -> sent.mayHaveRun);
        if (what.equals("refused")
                && ran
                && type.effect != Effect.SAFE
                && !(type.effect == Effect.KEYED && type.group == Group.ALL)) {
            fail("true answers", client.type + " was refused and may have run");
        }
        if (client.atRest && what.equals("refused")) {
            fail("at rest", client.type + " was refused before endpoints that are warm and have nothing to do");
        }
    }
}
