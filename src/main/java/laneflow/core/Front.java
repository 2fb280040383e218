package laneflow.core;

/** Where requests come from. For each one exactly one of the answers is called, unless it was withdrawn. */
public interface Front {
    /** The name under which its requests are counted. */
    String name();

    /** An endpoint has done the job. */
    void served(long tag, byte[] result);

    /** Fail-fast: not served, and trying again, after that many seconds if above 0, does no harm. */
    void failFast(long tag, double retryAfter);

    /** Not served, and it may have had its effect. */
    void failed(long tag);

    /** An endpoint has started on it. */
    default void started(long tag) {
    }

    /** An endpoint's word on how much is done. */
    default void progress(long tag, long done, long of) {
    }
}
