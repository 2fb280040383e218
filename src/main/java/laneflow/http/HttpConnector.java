package laneflow.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import laneflow.core.Attempt;
import laneflow.core.Connector;
import laneflow.core.Endpoint;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.Effect;
import laneflow.net.Loop;

/**
 * Attempts over HTTP/1.1, one at a time on a connection, and the idle connections to each endpoint.
 * Nothing is ever sent again here: whether a call is repeated is the module's decision.
 */
public final class HttpConnector implements Connector {
    /** Part of the idle limit after which a connection is closed: later that might cross a request. */
    private static final double IDLE_PART = 0.7;
    /** Idle connections kept to one endpoint: each takes a little of what it can do. */
    private static final int MOST_KEPT = 8;

    final Loop loop;
    final Scheduler scheduler;
    final long idleLimit;
    final long connectTimeout;
    /** Idle connections to all endpoints, the longest idle first. */
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();

    /** What a call may hold besides its body. */
    private static final int HEAD = 16 * 1024;

    private int outRing = 128 * 1024;

    /** @param idleSeconds after which endpoints close idle connections themselves */
    public HttpConnector(Loop loop, Scheduler scheduler, double idleSeconds) {
        this.loop = loop;
        this.scheduler = scheduler;
        idleLimit = (long) (idleSeconds * IDLE_PART * 1e6);
        connectTimeout = (long) (scheduler.settings().connectTimeout * 1e6);
    }

    /** Requests of another front may be longer than this wire's own. */
    public void raiseMaxBody(int bytes) {
        outRing = Math.max(outRing, Integer.highestOneBit(bytes + HEAD) << 1);
    }

    int outRing() {
        return outRing;
    }

    @Override
    public void open(Attempt call) {
        take(call.endpoint, !mayRepeat(call)).begin(call);
    }

    @Override
    public boolean close(Attempt call) {
        // Without a connection it was never opened: its lease had not been written yet.
        return !(call.attachment instanceof EndpointConnection) || ((EndpointConnection) call.attachment).giveUp(call);
    }

    @Override
    public boolean closeUnsent(Attempt call) {
        return !(call.attachment instanceof EndpointConnection)
                || ((EndpointConnection) call.attachment).giveUpUnsent(call);
    }

    @Override
    public void probe(Endpoint endpoint) {
        take(endpoint, false).probe();
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        for (EndpointConnection connection : idleOf(endpoint)) {
            connection.shut();
        }
    }

    private List<EndpointConnection> idleOf(Endpoint endpoint) {
        List<EndpointConnection> found = new ArrayList<>();
        for (EndpointConnection connection : idle) {
            if (connection.endpoint == endpoint) {
                found.add(connection);
            }
        }
        return found;
    }

    /** True if the call's job may run twice. */
    boolean mayRepeat(Attempt call) {
        return scheduler.settings().classes[call.request.jobClass].effect != Effect.UNSAFE;
    }

    /** The connection to the endpoint used last, or a new one; none that may be stale if so asked. */
    private EndpointConnection take(Endpoint endpoint, boolean sure) {
        List<EndpointConnection> found = idleOf(endpoint);
        // One that leads to where the endpoint no longer is must not be used.
        for (int i = found.size() - 1; i >= 0; i--) {
            EndpointConnection connection = found.get(i);
            if (!connection.dial.equals(endpoint.dial)) {
                connection.shut();
            } else if ((!sure || !connection.mayBeStale()) && connection.isSound()) {
                idle.remove(connection);
                return connection;
            }
        }
        if (!loop.hasRoom() && !idle.isEmpty()) {
            idle.peek().shut();
        }
        return new EndpointConnection(this, endpoint);
    }

    // ---- from connections ----

    void keep(EndpointConnection connection) {
        idle.add(connection);
        List<EndpointConnection> found = idleOf(connection.endpoint);
        if (found.size() > MOST_KEPT) {
            found.get(0).shut();
        }
    }

    void forget(EndpointConnection connection) {
        idle.remove(connection);
    }

    void count(String name) {
        scheduler.counters().add(name);
    }
}
