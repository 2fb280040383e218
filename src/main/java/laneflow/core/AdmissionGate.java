package laneflow.core;

/**
 * Lets something outside the scheduler stop it from deciding on requests. While it may not decide, a request
 * does not reach the decision module: it is refused at once with a time to retry.
 */
public interface AdmissionGate {
    /** Asked for each request on arrival. */
    boolean mayDecide();

    /**
     * Microseconds from this turn's instant until the gate opens, or {@link Long#MAX_VALUE} if that is not
     * known.
     */
    long microsUntilOpen();

    /** Seconds after which a refused client should retry. */
    double retryAfter();
}
