package laneflow.gearman;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import laneflow.core.Attempt;
import laneflow.core.Connector;
import laneflow.core.Endpoint;
import laneflow.decision.Dispatch.Outcome;

/** Sends attempts to Gearman workers: each is queued at its worker until the worker grabs it. */
final class GearmanConnector implements Connector {
    private final GearmanFront front;
    private final Map<String, Worker> workers = new HashMap<>();

    GearmanConnector(GearmanFront front) {
        this.front = front;
    }

    void add(String name, Worker worker) {
        workers.put(name, worker);
    }

    void remove(String name) {
        workers.remove(name);
    }

    @Override
    public void open(Attempt attempt) {
        Worker worker = workers.get(attempt.endpoint.name);
        if (worker == null) {
            front.loop.later(() -> front.scheduler.ended(attempt, Outcome.CONNECT_FAILED, null, null));
        } else {
            worker.enqueue(attempt);
        }
    }

    @Override
    public boolean queuesAttempts() {
        return true;
    }

    /** Whether no worker was ever assigned the attempt. */
    static boolean isUnsent(Attempt attempt) {
        return attempt.attachment == null;
    }

    @Override
    public boolean close(Attempt attempt) {
        Worker worker = workers.get(attempt.endpoint.name);
        if (worker != null) {
            worker.detach(attempt);
        }
        return isUnsent(attempt);
    }

    @Override
    public boolean closeUnsent(Attempt attempt) {
        Worker worker = workers.get(attempt.endpoint.name);
        if (worker != null) {
            worker.removeQueued(attempt);
        }
        return isUnsent(attempt);
    }

    /**
     * Has the durable job that has waited longest at busy workers, among those that this idle one can run, placed anew.
     * Live requests stay where they were placed.
     */
    void reconsiderLongestWaiting(Worker idle) {
        workers.values().stream()
                .filter(Worker::isBusy)
                .flatMap(Worker::queuedDurable)
                .filter(idle::canRun)
                .min(Comparator.comparingLong((Attempt attempt) -> attempt.handedOverAt))
                .ifPresent(front.scheduler::reconsider);
    }

    @Override
    public void probe(Endpoint endpoint) {
        // The protocol has no load report, and a listed worker is known to be connected.
        front.loop.later(() -> front.scheduler.probed(endpoint, 0, Outcome.OK, null));
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        // A worker has a single connection and closes it itself.
    }
}
