package laneflow.durable.decision;

/**
 * One attempt of a durable job, as it is recorded: the lease under which it went out and what is known of it.
 *
 * @param number counts from 1 over the job's whole life; a word on the job names its lease by it
 * @param endpoint where it went
 * @param leasedMs when the lease was written, before the first byte; Unix time in milliseconds
 * @param endMs when the lease runs out, as far as heartbeats have prolonged it on record
 */
public record AttemptRecord(int number, String endpoint, long leasedMs, long endMs, Known known) {

    /** What is known of an attempt. */
    public enum Known {
        /** Its lease holds and nothing has been heard to the contrary. */
        OUT,
        /** Proven: its endpoint never began. */
        NEVER_RAN,
        /** It may have run, or may be running still. */
        MAY_HAVE_RUN,
        /** Its endpoint said that it failed. */
        SAID_FAILED,
        /** Its endpoint said that it is done. */
        DONE
    }

    public AttemptRecord with(Known now) {
        return new AttemptRecord(number, endpoint, leasedMs, endMs, now);
    }

    public AttemptRecord until(long prolongedMs) {
        return new AttemptRecord(number, endpoint, leasedMs, prolongedMs, known);
    }

    /** True unless it is proven that its endpoint never began. */
    public boolean mayHaveRun() {
        return known != Known.NEVER_RAN;
    }
}
