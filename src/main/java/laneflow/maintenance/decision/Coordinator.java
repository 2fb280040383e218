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
 * What whoever holds the task of coordinating has to do next, from what the ledger says and what is known of
 * the fleet. It keeps nothing between two questions: the next coordinator goes on from the ledger. Each step
 * is decided by what is there at this moment and by what the forecast says of the rest of the window. No
 * I/O, no clock of its own.
 */
public final class Coordinator {
    /**
     * How long things may take, in ms.
     *
     * @param drain from the beginning of a drain to leave; past it the window is turned back
     * @param begin from leave to the crew's word; past it the window is turned back
     * @param overrun beyond the work's own time, until it is called an overrun
     * @param giveBack from the end of the work until racks that are not well are left to the view
     * @param late how long behind its time a window may wait for its instant to be fair
     * @param early how much sooner than its notice asks a window is announced
     * @param lost for how long planning counts with the racks that are lost
     */
    public record Times(long drain, long begin, long overrun, long giveBack, long late, long early, long lost) {}

    /**
     * What is known of the fleet now. What is in doubt is left out of {@code clear} and {@code well}.
     *
     * @param due what tenants are due now, as {@link Fairness#due} tells it
     * @param lost racks that are down without a plan
     * @param banned racks that the policy in force bans
     * @param clear racks to which no scheduler sends: each has begun a policy that bans them and its last
     * call there has ended, or it has been silent for a lease and the longest deadline
     * @param well racks that are back and warm
     * @param accounts each tenant's account over the mean, or null
     */
    public record Facts(
            long nowMs,
            double[] due,
            Set<String> lost,
            Set<String> banned,
            Set<String> clear,
            Set<String> well,
            double[] accounts) {}

    /**
     * What is to be done.
     *
     * @param steps for the ledger
     * @param banned the racks of windows that the policy has to ban, and no others of them
     */
    public record Orders(List<JsonObject> steps, Set<String> banned) {}

    private final Fairness fairness;
    private final Planner.Parameters planning;
    private final Forecast forecast;
    private final List<double[]> dues;
    private final Times times;

    /** @param planning as a plan is made by; its beginning is set anew each time */
    public Coordinator(Fairness fairness, Planner.Parameters planning, Forecast forecast, Times times) {
        this.fairness = fairness;
        this.planning = planning;
        this.forecast = forecast;
        this.times = times;
        dues = Cuts.dues(fairness, forecast);
    }

    /** One question and its answer. */
    private final class Round {
        private final Windows windows;
        private final Facts facts;
        private final long token;
        private final long now;
        private final List<JsonObject> steps = new ArrayList<>();

        private Round(Windows windows, Facts facts, long token) {
            this.windows = windows;
            this.facts = facts;
            this.token = token;
            now = facts.nowMs();
        }

        private void step(Window window, State to, State outcome, String... reasons) {
            steps.add(
                    Windows.step(token, window, to, windows.away(), window.startMs(), outcome, List.of(reasons), now));
        }

        /** Racks that are away now, or lost, without those of one window. */
        private Set<Integer> out(Window without) {
            Set<Integer> out = new HashSet<>();
            facts.lost().forEach(rack -> out.add(fairness.inventory().rackIndex(rack)));
            for (Window one : windows.all()) {
                if (one != without && one.state().isAway()) {
                    one.request()
                            .racks()
                            .forEach(rack -> out.add(fairness.inventory().rackIndex(rack)));
                }
            }
            out.remove(-1);
            return out;
        }

        private List<String> against(Set<Integer> out, double[] due) {
            double[] left = fairness.inventory().slotsWithout(out);
            return fairness.isFair(due, left, facts.accounts())
                    ? List.of()
                    : fairness.evaluate(due, left, facts.accounts()).violations();
        }

        /** Who stands against a window now and to its end; by what is asked for now, and by the forecast. */
        private List<String> against(Window window) {
            Set<Integer> out = out(window);
            window.request()
                    .racks()
                    .forEach(rack -> out.add(fairness.inventory().rackIndex(rack)));
            List<String> against = against(out, facts.due());
            long end = now + length(window.request());
            for (long ms = now; against.isEmpty() && ms < end; ms += planning.stepMs()) {
                against = against(out, dues.get(forecast.at(ms)));
            }
            return against;
        }

        /** True if it is unfair now, and less so without that window. */
        private boolean helps(Window window) {
            Set<Integer> with = out(null);
            if (against(with, facts.due()).isEmpty()) {
                return false;
            }
            Set<Integer> without = out(window);
            double[] left = fairness.inventory().slotsWithout(without);
            return fairness.isFair(facts.due(), left, facts.accounts())
                    || lost(left) < lost(fairness.inventory().slotsWithout(with)) - Fairness.LEAST_LOSS;
        }

        private double lost(double[] left) {
            return fairness.evaluate(facts.due(), left, facts.accounts()).totalLoss();
        }

        private void look(Window window) {
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
            } else if (now >= announced - times.early()) {
                step(window, State.ANNOUNCED, State.DONE);
            }
        }

        /** At most one begins to drain in a round: the next is judged beside it. */
        private boolean announced(Window window) {
            if (now < window.startMs()) {
                return false;
            }
            String never = now + length(window.request()) > window.request().latestMs() + times.late()
                    ? "there is no time left for it"
                    : blocked(window);
            List<String> against = never == null ? against(window) : List.of(never);
            if (against.isEmpty()) {
                step(window, State.DRAINING, State.DONE);
                return true;
            }
            if (now > window.startMs() + times.late()) {
                step(window, State.POSTPONED, State.DONE, against.toArray(String[]::new));
            }
            return false;
        }

        private String blocked(Window window) {
            Plan.Freeze freeze = window.request().freeze(now, now + length(window.request()));
            if (freeze != null) {
                return "freeze " + freeze.name();
            }
            for (Window other : windows.all()) {
                Request one = other.request();
                if (window.request().after().contains(one.name()) && other.state() != State.DONE) {
                    return "has to come after " + one.name() + ", which is not done";
                }
                boolean apart = one.apart().stream().anyMatch(window.request().apart()::contains)
                        || one.racks().stream().anyMatch(window.request().racks()::contains);
                if (other != window && other.state().isAway() && apart) {
                    return "not together with " + one.name();
                }
            }
            return null;
        }

        private void draining(Window window) {
            if (window.callOff()) {
                step(window, State.RETURNING, State.ABORTED);
            } else if (helps(window)) {
                step(
                        window,
                        State.RETURNING,
                        State.POSTPONED,
                        against(out(null), facts.due()).toArray(String[]::new));
            } else if (now > window.startMs() + times.late() + times.drain()) {
                step(window, State.RETURNING, State.POSTPONED, "its racks did not drain in time");
            } else if (facts.banned().containsAll(window.request().racks())
                    && facts.clear().containsAll(window.request().racks())) {
                step(window, State.DOWN, State.DONE);
            }
        }

        private void down(Window window) {
            if (window.begun()) {
                if (now > window.leaveMs() + times.begin() + window.request().workMs() + times.overrun()) {
                    step(window, State.OVERRUN, State.DONE, "its crew has not finished in time");
                }
            } else if (window.callOff()) {
                step(window, State.RETURNING, State.ABORTED);
            } else if (helps(window)) {
                step(
                        window,
                        State.RETURNING,
                        State.POSTPONED,
                        against(out(null), facts.due()).toArray(String[]::new));
            } else if (now > window.leaveMs() + times.begin()) {
                step(window, State.RETURNING, State.POSTPONED, "its crew did not come in time");
            }
        }

        private void returning(Window window) {
            boolean banned = window.request().racks().stream().anyMatch(facts.banned()::contains);
            boolean well = facts.well().containsAll(window.request().racks());
            // One that does not come back is lost, and the view counts it from here on.
            boolean over = now > window.startMs() + length(window.request()) + times.giveBack();
            if (!banned && (well || over)) {
                // Why it was turned back is what its owner asks behind it.
                State end = window.outcome();
                step(
                        window,
                        end,
                        end,
                        end == State.DONE ? new String[0] : window.reasons().toArray(String[]::new));
            }
        }

        /** Times for all that have none, and for those planned whose time does not hold any more; or null. */
        private Plan plan() {
            List<Request> open = new ArrayList<>();
            List<Plan.Window> fixed = new ArrayList<>();
            List<Plan.Window> before = new ArrayList<>();
            boolean any = false;
            for (Window window : windows.all()) {
                State state = window.state();
                Request request = window.request();
                if (state == State.PLANNED) {
                    before.add(new Plan.Window(request, window.startMs(), window.startMs() + length(request), false));
                }
                if (state == State.REQUESTED || state == State.POSTPONED || state == State.PLANNED) {
                    open.add(request);
                    any |= state != State.PLANNED;
                } else if (!state.isFinal()) {
                    long end = Math.max(window.startMs(), now) + length(request);
                    fixed.add(new Plan.Window(request, Math.min(window.startMs(), now), end, true));
                } else if (state == State.DONE) {
                    // Over, and those that wait for it may come.
                    fixed.add(new Plan.Window(
                            request, window.startMs(), Math.min(now, window.startMs() + length(request)), true));
                }
            }
            if (!any) {
                return null;
            }
            long from = -Math.floorDiv(-now, planning.stepMs()) * planning.stepMs() + planning.stepMs();
            return Planner.plan(
                    fairness,
                    new Planner.Input(
                            new Planner.Parameters(
                                    from,
                                    planning.stepMs(),
                                    planning.steps(),
                                    planning.drainMs(),
                                    planning.returnMs(),
                                    planning.reserve(),
                                    planning.mostFlows()),
                            forecast,
                            open,
                            fixed,
                            new Plan(before, Collections.emptySortedMap(), 0, 0, 0),
                            List.of(),
                            List.copyOf(new TreeSet<>(facts.lost())),
                            now + times.lost(),
                            facts.accounts()));
        }

        private void steps(Plan plan) {
            for (Window window : windows.all()) {
                Plan.Window found = plan.window(window.name());
                boolean waits = window.state() == State.REQUESTED || window.state() == State.POSTPONED;
                if (waits && found == null) {
                    step(
                            window,
                            State.REFUSED,
                            State.DONE,
                            plan.refused().get(window.name()).toArray(String[]::new));
                } else if (waits
                        || window.state() == State.PLANNED && found != null && found.startMs() != window.startMs()) {
                    steps.add(Windows.step(
                            token, window, State.PLANNED, windows.away(), found.startMs(), State.DONE, List.of(), now));
                } else if (window.state() == State.PLANNED && found == null) {
                    step(window, State.POSTPONED, State.DONE, "its time had to go to others");
                }
            }
        }
    }

    private long length(Request request) {
        return planning.drainMs() + request.workMs() + planning.returnMs();
    }

    /** Which times those would get now that wait for one; null: none waits. Nothing is decided. */
    public Plan plan(Windows windows, Facts facts) {
        return new Round(windows, facts, 0).plan();
    }

    /** What is to be done now by whoever holds that token. */
    public Orders orders(Windows windows, Facts facts, long token) {
        Round round = new Round(windows, facts, token);
        boolean one = false;
        for (Window window : windows.all()) {
            if (window.state() == State.ANNOUNCED) {
                one = one || round.announced(window);
            } else {
                round.look(window);
            }
        }
        Plan plan = round.steps.isEmpty() ? round.plan() : null;
        if (plan != null) {
            round.steps(plan);
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
