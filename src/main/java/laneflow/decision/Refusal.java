package laneflow.decision;

/**
 * Why a request was not placed, with the estimates for the endpoint that passed the most checks.
 *
 * @param reason the check that this endpoint did not pass
 * @param worker the endpoint, or 0 if there is none
 * @param ownSlots slots that this scheduler's own requests take there
 * @param otherSlots slots that other schedulers' requests are estimated to take there
 * @param slots slots that it is estimated to have
 * @param reportAge seconds since its last load report, infinite if there was none
 * @param foreseenWait seconds that the request was expected to wait there
 * @param mostWait the longest acceptable wait in seconds
 */
public record Refusal(
        Reason reason,
        long worker,
        double ownSlots,
        double otherSlots,
        double slots,
        double reportAge,
        double foreseenWait,
        double mostWait) {

    /** What kept a request from an endpoint, in the order of the checks: the later, the closer to being sent. */
    public enum Reason {
        /** No ready endpoint can run it. */
        NO_ENDPOINT,
        /** An earlier attempt of the request was sent there. */
        TRIED,
        /** The endpoint or its zone is ejected after failures. */
        OUTLIER,
        /** It recently answered 'full'. */
        DECLINED,
        /** A fresh report shows too little memory. */
        MEMORY,
        /** It could not finish the request in time even if it started at once. */
        TOO_LONG,
        /** This scheduler's own requests there would make it wait too long. */
        OWN_LOAD,
        /** Together with other schedulers' estimated requests there it would wait too long. */
        OTHERS_LOAD,
        /** Requests start there later than the known load explains. */
        LATE_STARTS,
        /** An earlier attempt may have run, and only endpoints of its group would drop the repeat. */
        EFFECT,
        /** The slow-start budget of a cold endpoint is used up. */
        SLOW_START,
        /** No further attempt is allowed, by number, by the retry budget, or by what an earlier one may have done. */
        NO_RETRY,
        /** The client's deadline is reached. */
        DEADLINE
    }

    /** A refusal for which no endpoint was examined. */
    static Refusal of(Reason reason) {
        return new Refusal(reason, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, 0);
    }
}
