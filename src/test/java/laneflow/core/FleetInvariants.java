package laneflow.core;

import laneflow.core.FleetSimulation.Fault;
import laneflow.core.FleetSimulation.Out;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;

/** The rules of a {@link FleetSimulation}, read off what clients and endpoints see, not off what the program says. */
final class FleetInvariants {
    /** What the protocol page adds to every limit, microseconds. */
    private static final long SLACK = 50_000;

    private final RandomSettings drawn;
    private final Fault broken;
    final double meanWork;
    /** Calls that came to cold endpoints, and the most of what fells one that any of these had got. */
    int coldSends;

    double mostOfBudget;

    FleetInvariants(RandomSettings drawn, Fault broken, double meanWork) {
        this.drawn = drawn;
        this.broken = broken;
        this.meanWork = meanWork;
    }

    /** More than N + 2 x root of N + 2 mean jobs in the time named fell it, N being what is allowed then. */
    void cold(SimulatedEndpoint endpoint, Out out, long now) {
        coldSends++;
        // By what can be known: of a job without a hint, the mean of its class; no job is worth a longer run
        // than its client's wait.
        double longest = out.ask.type.deadlineMs() / 1e3;
        double told = drawn.hints > 0 ? Math.min(longest, out.ask.request.hint) : out.ask.type.workMs / 1e3;
        double work = told * drawn.slotsOf(out.ask.type);
        work *= broken == Fault.COLD_TENFOLD ? 10 : 1;
        endpoint.cold.add(new double[] {now, work, out.knows ? work : 0});
        while (endpoint.cold.peek()[0] < now - drawn.fallMs * 1e3) {
            endpoint.cold.poll();
        }
        double sum = endpoint.cold.stream().mapToDouble(one -> one[1]).sum();
        double present = endpoint.share() * endpoint.slots * endpoint.speed;
        double allowed = drawn.multipleTenths / 10.0 * present * drawn.fallMs / 1e3 / meanWork;
        double knowing = endpoint.cold.stream().mapToDouble(one -> one[2]).sum();
        if (knowing * 3 < sum * 2) {
            return;
        }
        mostOfBudget = Math.max(mostOfBudget, sum / meanWork / (allowed + 2 * Math.sqrt(allowed) + 2));
        if (sum / meanWork > allowed + 2 * Math.sqrt(allowed) + 2) {
            broke("cold budget", endpoint.entry.name + " got " + sum / meanWork + " mean jobs, allowed are " + allowed);
        }
    }

    /** The rules on what is sent, as an endpoint can read them. */
    void begins(Out out, long now) {
        String at = out.machine.entry.name;
        Long stop = out.ask.node.toldToStop.get(at);
        if (stop != null && now > stop + drawn.graceMs * 1000L + SLACK) {
            broke("drains", "begun at " + at + " " + (now - stop) + " us behind the word");
        }
        int kind = drawn.kindOf(out.ask.type);
        if (kind >= 0 && kind != out.machine.entry.kind) {
            broke("kinds", "begun at " + at + ", which can't run it");
        }
        JobClass type = out.ask.node.scheduler.settings().classes[out.ask.request.jobClass];
        int begun = 0;
        for (Out other : out.ask.outs) {
            if (other == out || !other.begun) {
                continue;
            }
            begun++;
            if (!other.over) {
                broke("one call out", "a second one at " + at);
            }
            if (other.mayHaveRun && !mayFollow(type, other, out, now)) {
                broke("no repeat", "what may have run at " + other.machine.entry.name + " goes to " + at);
            }
        }
        if (begun >= drawn.maxAttempts) {
            broke("attempts", "more than " + drawn.maxAttempts);
        }
    }

    private static boolean mayFollow(JobClass type, Out earlier, Out later, long now) {
        return type.effect == Effect.SAFE
                || type.effect == Effect.KEYED
                        && now <= earlier.begunAt + (long) (type.window * 1e6) + SLACK
                        && (type.group == Group.ALL
                                || (type.group == Group.ZONE
                                        ? earlier.machine.entry.zone == later.machine.entry.zone
                                        : earlier.machine.entry.cell == later.machine.entry.cell));
    }

    static void broke(String rule, String what) {
        throw new SchedulerPairModel.Violation(rule, what);
    }

    /** How a request was answered. */
    void answered(FleetSimulation.Ask ask, String what, long now) {
        if (ask.answered || ask.left) {
            broke("one answer", "a second one, " + what);
        }
        if (now > ask.request.deadline + SLACK) {
            broke("in time", what + " " + (now - ask.request.deadline) + " us late");
        }
        JobClass type = ask.node.scheduler.settings().classes[ask.request.jobClass];
        boolean ran = ask.outs.stream().anyMatch(out -> out.mayHaveRun);
        if (what.equals("refused")
                && ran
                && type.effect != Effect.SAFE
                && !(type.effect == Effect.KEYED && type.group == Group.ALL)) {
            broke("true answers", ask.type + " was refused and may have run");
        }
        if (ask.atRest && what.equals("refused")) {
            broke("at rest", ask.type + " was refused before endpoints that are warm and have nothing to do");
        }
    }
}
