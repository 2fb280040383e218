package laneflow.core;

/**
 * Whether this scheduler may decide on requests at all, where something outside it has a say in that. What it
 * may not decide on reaches no module: it is answered at once, with a time to come back.
 */
public interface AdmissionGate {
    /** Asked for each request when it is taken. */
    boolean mayDecide();

    /**
     * Microseconds from this turn's instant until it decides again, where that is known; else
     * {@link Long#MAX_VALUE}.
     */
    long microsUntilOpen();

    /** Seconds after which a client that is turned away may find it otherwise. */
    double retryAfter();
}
