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
 * Sends attempts over HTTP/1.1, one at a time per connection, and pools idle connections to each endpoint.
 * It never retries by itself: the decision module decides on retries.
 */
public final class HttpConnector implements Connector {
    /** Share of the endpoints' idle limit after which a connection is closed, before the endpoint closes it. */
    private static final double IDLE_LIMIT_SHARE = 0.7;
    /** Idle connections kept per endpoint: each costs the endpoint some of its resources. */
    private static final int MAX_IDLE_PER_ENDPOINT = 8;

    final Loop loop;
    final Scheduler scheduler;
    final long idleLimitMicros;
    final long connectTimeoutMicros;
    /** Idle connections to all endpoints, longest idle first. */
    private final ArrayDeque<EndpointConnection> idleConnections = new ArrayDeque<>();

    /** Room for a request's head beside its body. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    private int outRingBytes = 128 * 1024;

    /** @param idleSeconds time after which endpoints close idle connections */
    public HttpConnector(Loop loop, Scheduler scheduler, double idleSeconds) {
        this.loop = loop;
        this.scheduler = scheduler;
        idleLimitMicros = (long) (idleSeconds * IDLE_LIMIT_SHARE * 1e6);
        connectTimeoutMicros = (long) (scheduler.settings().connectTimeout * 1e6);
    }

    /** Makes room for requests of another front whose bodies may be longer than those of the HTTP front. */
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
        // Without a connection the attempt was never opened: its lease had not been written yet.
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

    /** True if the attempt's job may run twice. */
    boolean mayRepeat(Attempt attempt) {
        return scheduler.settings().classes[attempt.request.jobClass].effect != Effect.UNSAFE;
    }

    /**
     * Returns the most recently used idle connection to the endpoint, or a new one.
     *
     * @param freshOnly true to skip connections that the endpoint may have closed meanwhile
     */
    private EndpointConnection acquire(Endpoint endpoint, boolean freshOnly) {
        List<EndpointConnection> candidates = idleConnectionsOf(endpoint);
        // Connections to a former address of the endpoint are closed.
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

    // ---- called by connections ----

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
