package laneflow.core;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface through which fronts hand in jobs that outlive their client's connection. Fronts have none if
 * durable jobs are off. Callbacks run on the loop, before the method returns or later.
 */
public interface DurableJobService {
    /**
     * A job to be stored.
     *
     * @param function the Gearman function, or empty
     * @param key the key by which a repeated submission of the same job is recognised, or empty
     * @param exact whether the same key with another body is an error rather than the same job
     * @param notBeforeMs the earliest start in Unix time in milliseconds; 0 for no limit
     */
    record Submission(
            int jobClass,
            String function,
            String key,
            boolean exact,
            Payload payload,
            double hint,
            double slots,
            double memory,
            long subject,
            int urgency,
            long notBeforeMs) {

        /** A submission that may start at once. */
        public Submission(
                int jobClass,
                String function,
                String key,
                boolean exact,
                Payload payload,
                double hint,
                double slots,
                double memory,
                long subject,
                int urgency) {
            this(jobClass, function, key, exact, payload, hint, slots, memory, subject, urgency, 0);
        }
    }

    /** How a submission ended. */
    enum SubmissionOutcome {
        /** It is on disk. */
        ACCEPTED,
        /** The store has no room; the client may retry later. */
        FULL,
        /** The key belongs to a job with another body. */
        KEY_CONFLICT,
        /** The store accepts nothing more until a restart. */
        STORE_BROKEN
    }

    /** The result of a submission: the job's id, or the seconds after which to retry. */
    record SubmissionResult(SubmissionOutcome outcome, long id, double retryAfter) {}

    /** An attempt as shown to clients. Times are Unix time in milliseconds. */
    record AttemptView(int number, String endpoint, long leasedMs, long endMs, String known) {}

    /**
     * A job's current state as shown to clients.
     *
     * @param result null unless the job is done
     * @param running whether an endpoint is working on it
     * @param done the part done, out of {@code total}, as last reported
     */
    record JobView(
            long id,
            String jobClass,
            String state,
            String reason,
            long acceptedMs,
            long changedMs,
            List<AttemptView> attempts,
            byte[] result,
            boolean ended,
            boolean running,
            long done,
            long total) {}

    /** How a request to cancel a job ended. */
    enum CancelOutcome {
        CANCELLED,
        NOT_FOUND,
        ALREADY_STARTED,
        BUSY
    }

    /** Whether HTTP clients may submit durable jobs of this class. */
    boolean accepts(int jobClass);

    /** Submits a job; the callback runs once the job is on disk or is rejected. */
    void submit(Submission submission, Consumer<SubmissionResult> answer);

    /** Looks a job up, its result included; passes null if there is no such job. */
    void view(long id, Consumer<JobView> answer);

    /** A job's state as held in memory, without its result; null if there is no such job. */
    JobView peek(long id);

    /** Cancels a job that has not started. */
    void cancel(long id, Consumer<CancelOutcome> answer);

    /**
     * Reports the result of an attempt that did not arrive through the attempt itself, for example after a
     * restart. Returns false if there is no such attempt.
     */
    boolean lateOutcome(long id, int lease, boolean served, byte[] result);
}
