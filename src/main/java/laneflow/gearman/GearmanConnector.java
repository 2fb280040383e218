package laneflow.gearman;

import java.util.HashMap;
import java.util.Map;
import laneflow.core.Attempt;
import laneflow.core.Connector;
import laneflow.core.Endpoint;
import laneflow.decision.Dispatch.Outcome;

/** Attempts at Gearman workers: one waits at its worker until that grabs it. */
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
    public void open(Attempt call) {
        Worker worker = workers.get(call.endpoint.name);
        if (worker == null) {
            front.loop.later(() -> front.scheduler.ended(call, Outcome.CONNECT_FAILED, null, null));
        } else {
            worker.offer(call);
        }
    }

    @Override
    public boolean close(Attempt call) {
        Worker worker = workers.get(call.endpoint.name);
        return worker != null && worker.drop(call);
    }

    @Override
    public boolean closeUnsent(Attempt call) {
        Worker worker = workers.get(call.endpoint.name);
        return worker != null && worker.dropWaiting(call);
    }

    @Override
    public void probe(Endpoint endpoint) {
        // A worker has no word for its load; that it is connected is known already.
        front.loop.later(() -> front.scheduler.probed(endpoint, 0, Outcome.OK, null));
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        // A worker's one connection is its own to close.
    }
}
