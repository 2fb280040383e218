package laneflow.core;

import java.util.function.Consumer;
import laneflow.decision.Dispatch.Outcome;

/**
 * A source of requests. For each request exactly one of {@link #served}, {@link #refused} and {@link #failed}
 * is called, unless the request was withdrawn.
 */
public interface Front {
    /** The prefix of this front's counters. */
    String name();

    /** An endpoint has completed the job. */
    void served(long tag, byte[] result);

    /**
     * The request was not served, and a retry is safe.
     *
     * @param retryAfter seconds to wait before the retry; 0 if not stated
     */
    void refused(long tag, double retryAfter);

    /** The request was not served, but may have been executed. */
    void failed(long tag);

    /** Looks at the client's connection now: nothing more begins unless the client is present. */
    default ClientState clientState(long tag) {
        return ClientState.PRESENT;
    }

    /** An endpoint has started the job. */
    default void started(long tag) {}

    /**
     * Whether attempts need a lease: if so, each one is passed to {@link #recordLease} before its first byte is sent.
     */
    default boolean usesLeases() {
        return false;
    }

    /**
     * Records the lease of an attempt that is about to be sent.
     *
     * @param answer gets true once the lease is recorded; false if there is none, and the attempt has ended
     */
    default void recordLease(Attempt attempt, Consumer<Boolean> answer) {}

    /** With leases: the attempt may be sent from now on, so its lease begins. */
    default void sending(Attempt attempt) {}

    /** With leases: an attempt of the request waits unsent at an endpoint that is busy, and another one has room. */
    default void reconsider(long tag) {}

    /** With leases: an attempt has ended; the request itself may continue. */
    default void attemptEnded(Attempt attempt, Outcome outcome) {}

    /** With leases: an endpoint's result for an attempt that had already ended. */
    default void lateOutcome(Attempt attempt, Outcome outcome, byte[] result) {}

    /** With leases: the endpoint is still working on the attempt. */
    default void stillRunning(Attempt attempt) {}

    /** An endpoint reports how much of the job is done. */
    default void progress(long tag, long done, long total) {}
}
