package laneflow.decision;

/**
 * Why a request was turned away, with what was held of the endpoint that came nearest to getting it.
 *
 * @param reason the check that this endpoint did not pass
 * @param worker that endpoint, 0 if there is none
 * @param ownSlots slots of it that this scheduler's own requests take
 * @param otherSlots slots of it that other schedulers' requests are held to take
 * @param slots slots that it is held to have
 * @param reportAge seconds since its last load report, infinite if there was none
 * @param foreseenWait seconds that the request was foreseen to wait there
 * @param mostWait seconds that it might have waited
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

    /** What kept a request from an endpoint, in the order in which it is checked: a later one is nearer to a send. */
    public enum Reason {
        /** No ready endpoint runs its class. */
        NO_ENDPOINT,
        /** An earlier attempt of the request went there. */
        TRIED,
        /** Failures keep it or its zone out for a while. */
        OUTLIER,
        /** It answered 'full' a moment ago. */
        DECLINED,
        /** By a fresh report it lacks the memory. */
        MEMORY,
        /** It could not end the request in time even if it began at once. */
        TOO_LONG,
        /** Requests sent from here alone would make it wait too long. */
        OWN_LOAD,
        /** With what other schedulers are held to have there it would wait too long. */
        OTHERS_LOAD,
        /** Requests start there later than the load explains. */
        LATE_STARTS,
        /** An earlier attempt may have run, and only its own group of endpoints drops a repeat. */
        EFFECT,
        /** What the slow start of a cold endpoint allows is used up. */
        SLOW_START,
        /** No further attempt is allowed: by their number, the retry budget, or what an earlier one may have done. */
        NO_RETRY,
        /** The client gives up. */
        DEADLINE
    }

    /** One that no endpoint was looked at for. */
    static Refusal of(Reason reason) {
        return new Refusal(reason, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, 0);
    }
}
