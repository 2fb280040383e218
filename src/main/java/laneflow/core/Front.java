package laneflow.core;

import laneflow.decision.Dispatch.Outcome;

/** Where requests come from. For each one exactly one of the answers is called, unless it was withdrawn. */
public interface Front {
    /** The name under which its requests are counted. */
    String name();

    /** An endpoint has done the job. */
    void served(long tag, byte[] result);

    /** Refused: not served, and trying again, after that many seconds if above 0, does no harm. */
    void refused(long tag, double retryAfter);

    /** Not served, and it may have had its effect. */
    void failed(long tag);

    /** True if its client is known to have gone, or is seen to have now: its connection has ended. */
    default boolean hasLeft(long tag) {
        return false;
    }

    /** An endpoint has started on it. */
    default void started(long tag) {}

    /**
     * Whether its calls go out under leases: then each is handed to {@link #recordLease} first, and goes out with
     * {@link Scheduler#openRequests}.
     */
    default boolean usesLeases() {
        return false;
    }

    /** A call is to go out: it does once {@link Scheduler#openRequests} is called, or ends unsent. */
    default void recordLease(Attempt call) {}

    /** Under leases: a call has ended, and the request may go on. */
    default void attemptEnded(Attempt call, Outcome outcome) {}

    /** Under leases: an endpoint's word on a call that had ended already. */
    default void lateOutcome(Attempt call, Outcome outcome, byte[] result) {}

    /** Under leases: the endpoint is at it still. */
    default void stillRunning(Attempt call) {}

    /** An endpoint's word on how much is done. */
    default void progress(long tag, long done, long of) {}
}
