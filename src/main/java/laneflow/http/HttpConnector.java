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
    private static final double IDLE_LIMIT_SHARE = 0.7;
    /** Idle connections kept to one endpoint: each takes a little of what it can do. */
    private static final int MAX_IDLE_PER_ENDPOINT = 8;

    final Loop loop;
    final Scheduler scheduler;
    final long idleLimitMicros;
    final long connectTimeoutMicros;
    /** Idle connections to all endpoints, the longest idle first. */
    private final ArrayDeque<EndpointConnection> idleConnections = new ArrayDeque<>();

    /** What a call may hold besides its body. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private int outRingBytes = 128 * 1024;

    /** @param idleSeconds after which endpoints close idle connections themselves */
    public HttpConnector(Loop loop, Scheduler scheduler, double idleSeconds) {
        this.loop = loop;
        this.scheduler = scheduler;
        idleLimitMicros = (long) (idleSeconds * IDLE_LIMIT_SHARE * 1e6);
        connectTimeoutMicros = (long) (scheduler.settings().connectTimeout * 1e6);
    }

    /** Requests of another front may be longer than this wire's own. */
    public void raiseMaxBody(int maxBodyBytes) {
        outRingBytes = Math.max(outRingBytes, Integer.highestOneBit(maxBodyBytes + MAX_HEAD_BYTES) << 1);
    }

    int outRingBytes() {
        return outRingBytes;
    }

    @Override
    public void open(Attempt attempt) {
        acquire(attempt.endpoint, !mayRepeat(attempt)).send(attempt);
    }

    @Override
    public boolean close(Attempt attempt) {
        // Without a connection it was never opened: its lease had not been written yet.
        return !(attempt.attachment instanceof EndpointConnection)
                || ((EndpointConnection) attempt.attachment).cancel(attempt);
    }

    @Override
    public boolean closeUnsent(Attempt attempt) {
        return !(attempt.attachment instanceof EndpointConnection)
                || ((EndpointConnection) attempt.attachment).cancelUnsent(attempt);
    }

    @Override
    public void probe(Endpoint endpoint) {
        acquire(endpoint, false).probe();
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        for (EndpointConnection connection : idleConnectionsOf(endpoint)) {
            connection.close();
        }
    }

    private List<EndpointConnection> idleConnectionsOf(Endpoint endpoint) {
        List<EndpointConnection> found = new ArrayList<>();
        for (EndpointConnection connection : idleConnections) {
            if (connection.endpoint == endpoint) {
                found.add(connection);
            }
        }
        return found;
    }

    /** True if the call's job may run twice. */
    boolean mayRepeat(Attempt attempt) {
        return scheduler.settings().classes[attempt.request.jobClass].effect != Effect.UNSAFE;
    }

    /** The connection to the endpoint used last, or a new one; none that may be stale if so asked. */
    private EndpointConnection acquire(Endpoint endpoint, boolean freshOnly) {
        List<EndpointConnection> candidates = idleConnectionsOf(endpoint);
        // One that leads to where the endpoint no longer is must not be used.
        for (int i = candidates.size() - 1; i >= 0; i--) {
            EndpointConnection connection = candidates.get(i);
            if (!connection.address.equals(endpoint.dial)) {
                connection.close();
            } else if ((!freshOnly || !connection.mayBeStale()) && connection.isUsable()) {
                idleConnections.remove(connection);
                return connection;
            }
        }
        if (!loop.hasRoom() && !idleConnections.isEmpty()) {
            idleConnections.peek().close();
        }
        return new EndpointConnection(this, endpoint);
    }

    // ---- from connections ----

    void addIdle(EndpointConnection connection) {
        idleConnections.add(connection);
        List<EndpointConnection> kept = idleConnectionsOf(connection.endpoint);
        if (kept.size() > MAX_IDLE_PER_ENDPOINT) {
            kept.get(0).close();
        }
    }

    void removeIdle(EndpointConnection connection) {
        idleConnections.remove(connection);
    }

    void count(String name) {
        scheduler.counters().add(name);
    }
}
