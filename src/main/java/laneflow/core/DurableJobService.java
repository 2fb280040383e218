package laneflow.core;

import java.util.List;
import java.util.function.Consumer;

/**
 * Who keeps jobs beyond their client's connection, as the fronts see it. Fronts have none where durable jobs
 * are off. Answers come on the loop, at once or later.
 */
public interface DurableJobService {
    /**
     * A job to be kept.
     *
     * @param function the Gearman function, or empty
     * @param key what marks the same job handed in again, or empty
     * @param notBeforeMs it is not begun before that instant of the wall clock; 0: at once
     * @param exact the same key with another body is a mistake, not the same job
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

        /** One that may begin at once. */
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

    /** What became of a submission. */
    enum SubmissionOutcome {
        /** It is on disk. */
        ACCEPTED,
        /** No room: refused, to be tried again later. */
        FULL,
        /** The key belongs to another job. */
        KEY_CONFLICT,
        /** The store takes nothing more until a restart. */
        STORE_BROKEN
    }

    /** The word on a submission: the job's id, or when to come back, in seconds. */
    record SubmissionResult(SubmissionOutcome outcome, long id, double retryAfter) {}

    /** One attempt, for whoever asks. Times are Unix time in milliseconds. */
    record AttemptView(int number, String endpoint, long leasedMs, long endMs, String known) {}

    /** A job as it stands; the result is null unless it is done. */
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

    /** What became of a wish to cancel. */
    enum CancelOutcome {
        CANCELLED,
        NOT_FOUND,
        ALREADY_STARTED,
        BUSY
    }

    /** Whether HTTP clients may hand in jobs of this class to be kept. */
    boolean accepts(int jobClass);

    /** Takes a job on; the word comes when it is on disk, or will not be. */
    void submit(Submission submission, Consumer<SubmissionResult> answer);

    /** Looks a job up; null where there is none. */
    void view(long id, Consumer<JobView> answer);

    /** A job's state as the loop knows it, its result left out; null where there is none. */
    JobView peek(long id);

    /** Cancels a job that has not begun. */
    void cancel(long id, Consumer<CancelOutcome> answer);

    /**
     * A word on an attempt that came by another way than its call, as after a restart; false: no such
     * attempt.
     */
    boolean lateOutcome(long id, int lease, boolean served, byte[] result);
}
