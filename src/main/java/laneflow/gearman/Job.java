package laneflow.gearman;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.Request;

/** A job that Gearman clients wait for: one request of the core, and whoever is to hear of it. */
final class Job {
    final String handle;
    final GearmanConfig.Function function;
    final String unique;
    /** Under which the same job is found again, or null: nothing marks it. */
    final String key;
    /** The function that puts its parts together, of SUBMIT_REDUCE_JOB; empty for any other job. */
    final String reducer;
    /** Its place among {@link laneflow.gearman.decision.Queues}' priorities. */
    final int priority;
    /** Somebody wants it run whether any client stays or not. */
    boolean background;
    /** Clients that submitted it, those that joined by the same unique included. */
    final List<Peer> clients = new ArrayList<>();

    Request request;
    long slot;
    /** An endpoint has begun its present attempt. */
    boolean running;

    int attempts;
    long done;
    long of;
    /** What the last endpoint said when it failed, or null. */
    byte[] exception;

    Job(
            String handle,
            GearmanConfig.Function function,
            String unique,
            String key,
            String reducer,
            int priority,
            boolean background) {
        this.handle = handle;
        this.function = function;
        this.unique = unique;
        this.key = key;
        this.reducer = reducer;
        this.priority = priority;
        this.background = background;
    }
}
