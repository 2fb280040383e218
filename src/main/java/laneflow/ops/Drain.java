package laneflow.ops;

import laneflow.core.Deadlines.Deadline;
import laneflow.http.HttpFront;
import laneflow.net.Loop;

/**
 * Drains the clients of a scheduler that continues to run, and lets them return. It takes the steps of a shutdown that
 * can be undone: the scheduler reports that it is not ready, each response closes its connection, then idle connections
 * are closed, but never one with a request coming in. The listener stays open, as the platform continues to poll it.
 */
public final class Drain {
    /** The platform polls readiness every 100 ms and sends new connections for another 200 ms after that. */
    private static final long FIRST_CLOSE_DELAY_US = 400_000;
    /** How often idle connections are closed after that, for clients that connect later. */
    private static final long CLOSE_INTERVAL_US = 100_000;
    /** A younger connection may have its first request on the way. */
    private static final long MIN_AGE_US = 250_000;

    /** In a handover, connections in use are closed with their next response; one idle for longer expects none soon. */
    private static final long HANDOVER_MIN_IDLE_US = 500_000;
    /** How long after a handover clients that belong to the other process may still arrive here. */
    private static final long HANDOVER_SETTLE_US = 1_000_000;

    private final Loop loop;
    private final HttpFront front;
    private final Deadline timer;
    private boolean ordered;
    private boolean handedOver;
    private long since;

    public Drain(Loop loop, HttpFront front) {
        this.loop = loop;
        this.front = front;
        timer = loop.deadlines().create(this::closeIdle);
    }

    /** Starts or ends a drain that operators have ordered; no effect if it is in that state already. */
    public void setOrdered(boolean on) {
        if (ordered != on) {
            ordered = on;
            restart();
        }
    }

    /** Starts or ends the drain of a handover. It is not urgent, so connections in use are not closed. */
    void setHandedOver(boolean on) {
        if (handedOver != on) {
            handedOver = on;
            restart();
        }
    }

    /** Starts the drain over with its first delay, or undoes it if neither reason applies any more. */
    private void restart() {
        since = loop.micros();
        front.closeAfterResponses(ordered || handedOver);
        if (ordered || handedOver) {
            loop.deadlines().set(timer, since + FIRST_CLOSE_DELAY_US);
        } else {
            loop.deadlines().cancel(timer);
        }
    }

    private void closeIdle() {
        front.closeIdle(ordered ? MIN_AGE_US : HANDOVER_SETTLE_US, ordered ? 0 : HANDOVER_MIN_IDLE_US);
        loop.deadlines().set(timer, loop.micros() + CLOSE_INTERVAL_US);
    }

    /** True while a drain ordered by operators is in force. */
    public boolean isOrdered() {
        return ordered;
    }

    /** True once clients that were on their way when the drain started have arrived. */
    boolean isOver(long now) {
        return now - since > HANDOVER_SETTLE_US;
    }
}
