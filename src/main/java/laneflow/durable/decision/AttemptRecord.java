package laneflow.durable.decision;

/**
 * The stored record of one attempt of a durable job: its lease and its known outcome.
 *
 * @param number counts from 1 over the job's lifetime; outcomes refer to the lease by this number
 * @param endpoint the name of the endpoint that the attempt was sent to
 * @param leasedMs when the lease was written, before the first byte was sent; Unix time in milliseconds
 * @param endMs when the lease expires, including the heartbeat extensions recorded so far
 * @param place where the endpoint was; null if an earlier build wrote the record
 */
public record AttemptRecord(int number, String endpoint, long leasedMs, long endMs, Known known, Place place) {

    /**
     * The place of an endpoint, which tells the endpoints that share its memory of keys.
     *
     * @param zone the name of its zone: its number may differ in another process
     */
    public record Place(String zone, int cell) {}

    /** The known outcome of an attempt. */
    public enum Known {
        /** Outstanding: the lease was granted and no outcome is recorded. */
        OUT,
        /** The endpoint provably never started it. */
        NEVER_RAN,
        /** The endpoint may have run it, or may still be running it. */
        MAY_HAVE_RUN,
        /** The endpoint reported failure. */
        SAID_FAILED,
        /** The endpoint reported success. */
        DONE
    }

    /** Creates a record without a place. */
    public AttemptRecord(int number, String endpoint, long leasedMs, long endMs, Known known) {
        this(number, endpoint, leasedMs, endMs, known, null);
    }

    public AttemptRecord withKnown(Known newKnown) {
        return new AttemptRecord(number, endpoint, leasedMs, endMs, newKnown, place);
    }

    public AttemptRecord withEndMs(long newEndMs) {
        return new AttemptRecord(number, endpoint, leasedMs, newEndMs, known, place);
    }

    /** True unless the endpoint provably never started the attempt. */
    public boolean mayHaveRun() {
        return known != Known.NEVER_RAN;
    }
}
