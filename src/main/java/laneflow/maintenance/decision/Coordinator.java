package laneflow.maintenance.decision;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import laneflow.maintenance.decision.Windows.State;
import laneflow.maintenance.decision.Windows.Window;

/**
 * Decides the next steps of all windows from the ledger and the observed state of the fleet. It keeps no state
 * between calls, so a new coordinator continues from the ledger alone. Each step is decided by the current
 * observation and by the forecast for the rest of the window. No I/O, no clock of its own.
 */
public final class Coordinator {
    /**
     * Timeouts, in ms.
     *
     * @param drain from the beginning of a drain to the permission to begin work (leave); after it the racks are
     * returned and the window is postponed
     * @param begin from leave to the crew's report that it begins; after it the racks are returned and the window is
     * postponed
     * @param overrun time beyond the planned work until the window counts as overrun
     * @param giveBack from the end of the work until the window ends even if its racks have not recovered
     * @param late how long after its planned start a window may wait for a fair instant
     * @param early how much earlier than its notice requires a window is announced
     * @param lost for how long planning assumes that lost racks stay down
     */
    public record Timeouts(long drain, long begin, long overrun, long giveBack, long late, long early, long lost) {}

    /**
     * Observed state of the fleet. Racks whose state is in doubt are left out of {@code drained} and {@code
     * recovered}.
     *
     * @param due capacity that tenants are due now, as {@link Fairness#due} computes it
     * @param lost racks that are down without a window
     * @param banned racks that the policy in force bans
     * @param drained racks to which no scheduler sends: each scheduler has applied a policy that bans them and
     * its last call there has ended, or it has been silent for a lease plus the longest deadline
     * @param recovered racks that are back and warmed up
     * @param accounts each tenant's loss rate above the mean, or null
     */
    public record Observation(
            long nowMs,
            double[] due,
            Set<String> lost,
            Set<String> banned,
            Set<String> drained,
            Set<String> recovered,
            double[] accounts) {}

    /**
     * Steps to append to the ledger and the bans they require.
     *
     * @param steps operations for the ledger
     * @param banned the racks of windows that the policy has to ban; racks of other windows are not to be
     * banned
     */
    public record Orders(List<JsonObject> steps, Set<String> banned) {}

    private final Fairness fairness;
    private final Planner.Parameters parameters;
    private final Forecast forecast;
    private final List<double[]> dues;
    private final Timeouts timeouts;

    /** @param parameters planning parameters; the planned start is replaced on each call */
    public Coordinator(Fairness fairness, Planner.Parameters parameters, Forecast forecast, Timeouts timeouts) {
        this.fairness = fairness;
        this.parameters = parameters;
        this.forecast = forecast;
        this.timeouts = timeouts;
        dues = Cuts.dueBySpan(fairness, forecast);
    }

    /** State of one decision. */
    private final class Decision {
        private final Windows windows;
        private final Observation observed;
        private final long token;
        private final long now;
        private final List<JsonObject> steps = new ArrayList<>();

        private Decision(Windows windows, Observation observed, long token) {
            this.windows = windows;
            this.observed = observed;
            this.token = token;
            now = observed.nowMs();
        }

        private void step(Window window, State to, State outcome, String... reasons) {
            steps.add(Windows.step(
                    token, window, to, windows.awayChanges(), window.startMs(), outcome, List.of(reasons), now));
        }

        /** Indexes of the racks that are away or lost, except those of one window. */
        private Set<Integer> racksOut(Window excluded) {
            Set<Integer> racksOut = new HashSet<>();
            observed.lost().forEach(rack -> racksOut.add(fairness.inventory().rackIndex(rack)));
            for (Window one : windows.all()) {
                if (one != excluded && one.state().isAway()) {
                    one.request()
                            .racks()
                            .forEach(rack -> racksOut.add(fairness.inventory().rackIndex(rack)));
                }
            }
            racksOut.remove(-1);
            return racksOut;
        }

        private List<String> violations(Set<Integer> racksOut, double[] due) {
            double[] remainingSlots = fairness.inventory().slotsWithout(racksOut);
            return fairness.isFair(due, remainingSlots, observed.accounts())
                    ? List.of()
                    : fairness.evaluate(due, remainingSlots, observed.accounts())
                            .violations();
        }

        /**
         * Fairness violations if the window's racks were away from now to its end, by current demand and by
         * the forecast.
         */
        private List<String> violations(Window window) {
            Set<Integer> racksOut = racksOut(window);
            window.request()
                    .racks()
                    .forEach(rack -> racksOut.add(fairness.inventory().rackIndex(rack)));
            List<String> violations = violations(racksOut, observed.due());
            long end = now + length(window.request());
            for (long ms = now; violations.isEmpty() && ms < end; ms += parameters.stepMs()) {
                violations = violations(racksOut, dues.get(forecast.spanAt(ms)));
            }
            return violations;
        }

        /** True if the current state is unfair and would be less so without that window. */
        private boolean improvesFairness(Window window) {
            Set<Integer> current = racksOut(null);
            if (violations(current, observed.due()).isEmpty()) {
                return false;
            }
            Set<Integer> withoutWindow = racksOut(window);
            double[] remainingSlots = fairness.inventory().slotsWithout(withoutWindow);
            return fairness.isFair(observed.due(), remainingSlots, observed.accounts())
                    || totalLoss(remainingSlots)
                            < totalLoss(fairness.inventory().slotsWithout(current)) - Fairness.LOSS_EPSILON;
        }

        private double totalLoss(double[] remainingSlots) {
            return fairness.evaluate(observed.due(), remainingSlots, observed.accounts())
                    .totalLoss();
        }

        private void advance(Window window) {
            switch (window.state()) {
                case PLANNED -> planned(window);
                case DRAINING -> draining(window);
                case DOWN -> down(window);
                case RETURNING -> returning(window);
                default -> {}
            }
        }

        private void planned(Window window) {
            long announced = window.startMs() - window.request().noticeMs();
            if (now > announced) {
                step(window, State.POSTPONED, State.DONE, "its notice could not be kept");
            } else if (now >= announced - timeouts.early()) {
                step(window, State.ANNOUNCED, State.DONE);
            }
        }

        /**
         * Starts the drain if it would be fair. At most one window per call starts to drain, so that the next one is
         * evaluated with these racks away.
         */
        private boolean tryDrain(Window window) {
            if (now < window.startMs()) {
                return false;
            }
            String reason = now + length(window.request()) > window.request().latestMs() + timeouts.late()
                    ? "there is no time left for it"
                    : blockedBy(window);
            List<String> violations = reason == null ? violations(window) : List.of(reason);
            if (violations.isEmpty()) {
                step(window, State.DRAINING, State.DONE);
                return true;
            }
            if (now > window.startMs() + timeouts.late()) {
                step(window, State.POSTPONED, State.DONE, violations.toArray(String[]::new));
            }
            return false;
        }

        private String blockedBy(Window window) {
            Plan.Freeze freeze = window.request().freezeDuring(now, now + length(window.request()));
            if (freeze != null) {
                return "freeze " + freeze.name();
            }
            for (Window other : windows.all()) {
                Request one = other.request();
                if (window.request().after().contains(one.name()) && other.state() != State.DONE) {
                    return "has to come after " + one.name() + ", which is not done";
                }
                boolean mustNotOverlap = one.apart().stream()
                                .anyMatch(window.request().apart()::contains)
                        || one.racks().stream().anyMatch(window.request().racks()::contains);
                if (other != window && other.state().isAway() && mustNotOverlap) {
                    return "not together with " + one.name();
                }
            }
            return null;
        }

        private void draining(Window window) {
            if (window.calledOff()) {
                step(window, State.RETURNING, State.ABORTED);
            } else if (improvesFairness(window)) {
                step(
                        window,
                        State.RETURNING,
                        State.POSTPONED,
                        violations(racksOut(null), observed.due()).toArray(String[]::new));
            } else if (now > window.startMs() + timeouts.late() + timeouts.drain()) {
                step(window, State.RETURNING, State.POSTPONED, "its racks did not drain in time");
            } else if (observed.banned().containsAll(window.request().racks())
                    && observed.drained().containsAll(window.request().racks())) {
                step(window, State.DOWN, State.DONE);
            }
        }

        private void down(Window window) {
            if (window.begun()) {
                if (now > window.leaveMs() + timeouts.begin() + window.request().workMs() + timeouts.overrun()) {
                    step(window, State.OVERRUN, State.DONE, "its crew has not finished in time");
                }
            } else if (window.calledOff()) {
                step(window, State.RETURNING, State.ABORTED);
            } else if (improvesFairness(window)) {
                step(
                        window,
                        State.RETURNING,
                        State.POSTPONED,
                        violations(racksOut(null), observed.due()).toArray(String[]::new));
            } else if (now > window.leaveMs() + timeouts.begin()) {
                step(window, State.RETURNING, State.POSTPONED, "its crew did not come in time");
            }
        }

        private void returning(Window window) {
            boolean banned = window.request().racks().stream().anyMatch(observed.banned()::contains);
            boolean recovered =
                    observed.recovered().containsAll(window.request().racks());
            // A rack that does not come back in time is treated as lost from now on.
            boolean overdue = now > window.startMs() + length(window.request()) + timeouts.giveBack();
            if (!banned && (recovered || overdue)) {
                // The reasons for the return stay visible in the final state.
                State end = window.outcome();
                step(
                        window,
                        end,
                        end,
                        end == State.DONE ? new String[0] : window.reasons().toArray(String[]::new));
            }
        }

        /** Plans all windows without a time and replans those whose time is no longer fair; null if none waits. */
        private Plan plan() {
            List<Request> open = new ArrayList<>();
            List<Plan.Window> fixed = new ArrayList<>();
            List<Plan.Window> previous = new ArrayList<>();
            boolean isAnyWaiting = false;
            for (Window window : windows.all()) {
                State state = window.state();
                Request request = window.request();
                if (state == State.PLANNED) {
                    previous.add(new Plan.Window(request, window.startMs(), window.startMs() + length(request), false));
                }
                if (state == State.REQUESTED || state == State.POSTPONED || state == State.PLANNED) {
                    open.add(request);
                    isAnyWaiting |= state != State.PLANNED;
                } else if (!state.isFinal()) {
                    long end = Math.max(window.startMs(), now) + length(request);
                    fixed.add(new Plan.Window(request, Math.min(window.startMs(), now), end, true));
                } else if (state == State.DONE) {
                    // Included so that windows that have to come after it can be planned.
                    fixed.add(new Plan.Window(
                            request, window.startMs(), Math.min(now, window.startMs() + length(request)), true));
                }
            }
            if (!isAnyWaiting) {
                return null;
            }
            long from = -Math.floorDiv(-now, parameters.stepMs()) * parameters.stepMs() + parameters.stepMs();
            return Planner.plan(
                    fairness,
                    new Planner.Input(
                            new Planner.Parameters(
                                    from,
                                    parameters.stepMs(),
                                    parameters.steps(),
                                    parameters.drainMs(),
                                    parameters.returnMs(),
                                    parameters.reserve(),
                                    parameters.maxFlows()),
                            forecast,
                            open,
                            fixed,
                            new Plan(previous, Collections.emptySortedMap(), 0, 0, 0),
                            List.of(),
                            List.copyOf(new TreeSet<>(observed.lost())),
                            now + timeouts.lost(),
                            observed.accounts()));
        }

        private void addSteps(Plan plan) {
            for (Window window : windows.all()) {
                Plan.Window found = plan.window(window.name());
                boolean isWaiting = window.state() == State.REQUESTED || window.state() == State.POSTPONED;
                if (isWaiting && found == null) {
                    step(
                            window,
                            State.REFUSED,
                            State.DONE,
                            plan.refused().get(window.name()).toArray(String[]::new));
                } else if (isWaiting
                        || window.state() == State.PLANNED && found != null && found.startMs() != window.startMs()) {
                    steps.add(Windows.step(
                            token,
                            window,
                            State.PLANNED,
                            windows.awayChanges(),
                            found.startMs(),
                            State.DONE,
                            List.of(),
                            now));
                } else if (window.state() == State.PLANNED && found == null) {
                    step(window, State.POSTPONED, State.DONE, "its time had to go to others");
                }
            }
        }
    }

    private long length(Request request) {
        return parameters.drainMs() + request.workMs() + parameters.returnMs();
    }

    /** Plans the windows that are waiting for a time, without changing anything; null if none is waiting. */
    public Plan plan(Windows windows, Observation observed) {
        return new Decision(windows, observed, 0).plan();
    }

    /** The steps and bans for the coordinator with that token. */
    public Orders orders(Windows windows, Observation observed, long token) {
        Decision round = new Decision(windows, observed, token);
        boolean isDraining = false;
        for (Window window : windows.all()) {
            if (window.state() == State.ANNOUNCED) {
                isDraining = isDraining || round.tryDrain(window);
            } else {
                round.advance(window);
            }
        }
        Plan plan = round.steps.isEmpty() ? round.plan() : null;
        if (plan != null) {
            round.addSteps(plan);
        }
        Set<String> banned = new TreeSet<>();
        for (Window window : windows.all()) {
            if (window.state() == State.DRAINING || window.state().isWorkedOn()) {
                banned.addAll(window.request().racks());
            }
        }
        return new Orders(round.steps, banned);
    }
}
