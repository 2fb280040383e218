package laneflow.capacity.decision;

/**
 * Estimates how many of an endpoint's slots other schedulers' requests take, from own reports and a peer
 * report. If all schedulers act on the same report of a free endpoint, they fill it together; strategies
 * against this implement this interface, so that they can be compared in simulation
 * ({@code laneflow.lab.world.CapacityWorld}).
 */
public interface LoadEstimator {
    /**
     * Input of an estimate, one for each peer report.
     *
     * @param reported slots taken by other schedulers' requests according to the report
     * @param expected the same according to own reports, faded to the mean of endpoints of the same kind and
     *     zone
     * @param slots size of the endpoint
     * @param ownReportAge seconds since the last own report
     * @param age age of the report in seconds
     * @param reliability of the report's source and sender, 0 to 1
     * @param demandShare this scheduler's share of the request rate in the endpoint's zone, 0 to 1
     * @param inflow mean requests per second that other schedulers send to an endpoint in the zone
     * @param overshoot share of endpoints reported free that turned out to be full, 0 to 1
     * @param outstanding own attempts there
     * @param preferred true if this scheduler should fill the endpoint first
     * @param random pseudo-random number, 0 to 1, the same for the same report at the same scheduler
     */
    record Observation(
            double reported,
            double expected,
            double slots,
            double ownReportAge,
            double age,
            double reliability,
            double demandShare,
            double inflow,
            double overshoot,
            int outstanding,
            boolean preferred,
            double random) {
        public double reportedRoom() {
            return Math.max(0, slots - reported);
        }
    }

    /** Interpolates between expected and reported load by the report's age and reliability. */
    LoadEstimator BLEND = report ->
            report.expected() + report.reliability() * weight(report.age()) * (report.reported() - report.expected());

    /** Factor of the measured overshoot by which reported room is reduced. */
    double DAMPING = 2;

    /**
     * Like {@link #BLEND}, but reduces reported room beyond the expected by the measured overshoot: the more
     * schedulers act on the same reports, the less weight each gives them.
     */
    LoadEstimator DAMPED = report -> {
        double blend = BLEND.estimate(report);
        return Math.max(
                blend, Math.min(report.expected(), blend + DAMPING * report.overshoot() * report.reportedRoom()));
    };

    /** Mean number of schedulers that should act on a report of a free endpoint. */
    double TARGET_SCHEDULERS = 3;
    /** An endpoint counts as full if it has at most this many free slots. */
    double FULL_MARGIN_SLOTS = 0.5;

    /**
     * Like {@link #DAMPED}, but uses a report only where it may turn a refusal into an answer: for endpoints
     * that are full by own knowledge and are reported to have room. A random choice weighted by demand limits
     * the schedulers that act on it, so that they do not fill the endpoint together. Schedulers that believe
     * the same report pick the same endpoints, so using reports of endpoints known to have room costs more
     * than it gains (docs/capacity-gossip.md).
     */
    LoadEstimator SELECTIVE = report -> report.expected() + report.outstanding() >= report.slots() - FULL_MARGIN_SLOTS
                    && report.reported() < report.expected()
                    && report.random() < TARGET_SCHEDULERS * report.demandShare()
            ? DAMPED.estimate(report)
            : Double.NaN;

    /** Returns the slots taken by other schedulers' requests; NaN: the report is not used. */
    double estimate(Observation report);

    /** Returns the weight of a report of that age in seconds: 1 when fresh, one half after 1.5 s. */
    static double weight(double age) {
        return 1.5 / (1.5 + age);
    }
}
