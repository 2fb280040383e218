package laneflow.gearman;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.Request;

/** A job submitted by Gearman clients: one core request and the clients that wait for it. */
final class Job {
    final String handle;
    final GearmanConfig.Function function;
    final String unique;
    /** Equal jobs share this key and are coalesced; null if the job can't be coalesced. */
    final String coalescingKey;
    /** The reducer function of SUBMIT_REDUCE_JOB; empty for any other job. */
    final String reducer;
    /** A priority of {@link laneflow.gearman.decision.Queues}. */
    final int priority;
    /** Runs even if all clients disconnect. */
    boolean background;
    /** Waiting clients, including those that joined by the coalescing key. */
    final List<Peer> clients = new ArrayList<>();

    Request request;
    long slot;
    /** Whether an endpoint has started the job. */
    boolean running;

    int attempts;
    long done;
    long total;
    /** The last WORK_EXCEPTION payload, or null. */
    byte[] exception;

    Job(
            String handle,
            GearmanConfig.Function function,
            String unique,
            String coalescingKey,
            String reducer,
            int priority,
            boolean background) {
        this.handle = handle;
        this.function = function;
        this.unique = unique;
        this.coalescingKey = coalescingKey;
        this.reducer = reducer;
        this.priority = priority;
        this.background = background;
    }
}
