package laneflow.capacity.decision;

/**
 * How many slots of siblings' jobs an endpoint is held to have, by what one knew and by news of others. A
 * free endpoint that is told to all is full when all have picked it: ways to see to that are of this form, so
 * that they can be played against each other ({@code laneflow.lab.world.CapacityWorld}).
 */
public interface LoadEstimator {
    /**
     * News as it comes in.
     *
     * @param told slots that siblings' jobs take there by the news
     * @param known the same by own experience, faded to the mean of the like
     * @param slots that the endpoint has
     * @param heard seconds since the last own report
     * @param age of the news, seconds
     * @param credit of whoever told it, 0 to 1
     * @param share of the demand for endpoints there that is this scheduler's own, 0 to 1
     * @param inflow jobs a second that siblings send to an endpoint there, in the mean
     * @param overshoot share of the endpoints told to have room that was found without, 0 to 1
     * @param out own calls there
     * @param mine true where the endpoint is this scheduler's to fill first
     * @param draw by chance, 0 to 1, the same for the same news at the same scheduler
     */
    record Observation(
            double told,
            double known,
            double slots,
            double heard,
            double age,
            double credit,
            double share,
            double inflow,
            double overshoot,
            int out,
            boolean mine,
            double draw) {
        public double room() {
            return Math.max(0, slots - told);
        }
    }

    /** Between what was known and what is told, by the age of the news and the credit of who told it. */
    LoadEstimator BLEND = news -> news.known() + news.credit() * weight(news.age()) * (news.told() - news.known());

    /** So many times the measured overshoot is taken off the room that is told. */
    double DAMPING = 2;

    /**
     * The same, but of the room told beyond what was known so much the less is believed as room told before
     * was found gone: the more have picked the same endpoints, the less anybody makes of such news.
     */
    LoadEstimator DAMPED = news -> {
        double blend = BLEND.estimate(news);
        return Math.max(blend, Math.min(news.known(), blend + DAMPING * news.overshoot() * news.room()));
    };

    /** Schedulers that are to hear of a free endpoint, in the mean. */
    double TOLD_MEAN = 3;
    /** Slots by which one that is held to be full may be short of it. */
    double ALMOST = 0.5;

    /**
     * The same, and only where it may turn a refusal into an answer: of endpoints that by own knowledge have
     * no room, news of room, taken by so few schedulers that they do not fill it together, the more often
     * by those who ask for more. All that believe the same news pick the same endpoints, so news of what is
     * known costs more than it gains (docs/capacity-gossip.md).
     */
    LoadEstimator SELECTIVE = news -> news.known() + news.out() >= news.slots() - ALMOST
                    && news.told() < news.known()
                    && news.draw() < TOLD_MEAN * news.share()
            ? DAMPED.estimate(news)
            : Double.NaN;

    /** NaN: nothing is made of it. */
    double estimate(Observation news);

    /** The weight of news of that age beside fresh news: half of it is lost in a second and a half. */
    static double weight(double age) {
        return 1.5 / (1.5 + age);
    }
}
