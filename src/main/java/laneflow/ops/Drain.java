package laneflow.ops;

import laneflow.core.Deadlines.Deadline;
import laneflow.http.HttpFront;
import laneflow.net.Loop;

/**
 * Sends clients away from a scheduler that goes on running, and lets them back. It takes the steps of a
 * planned end that can be undone: not ready, each answer closes its connection, then what is idle is closed,
 * a request that is coming in never. The listener stays open: the platform goes on asking there.
 */
public final class Drain {
    /** The platform asks every 100 ms and sends new connections for another 200 ms. */
    private static final long FIRST_CLOSE_DELAY_US = 400_000;
    /** Those that come later are looked after as often. */
    private static final long CLOSE_INTERVAL_US = 100_000;
    /** A connection that is younger may have its first request on the way. */
    private static final long MIN_AGE_US = 250_000;

    /** Handed over, connections in use leave with their next answer: one idle for so long has none soon. */
    private static final long HANDOVER_MIN_IDLE_US = 500_000;
    /** So long the other process's clients may still be on their way here. */
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

    /** Operators want it, or no more; where it is so already, it goes on as it is. */
    public void setOrdered(boolean on) {
        if (ordered != on) {
            ordered = on;
            restart();
        }
    }

    /** Another process takes the clients, or no more. There is time, so none is closed that is in use. */
    void setHandedOver(boolean on) {
        if (handedOver != on) {
            handedOver = on;
            restart();
        }
    }

    /** Either begins anew with its first wait; without both every part is undone. */
    private void restart() {
        since = loop.micros();
        front.sendAway(ordered || handedOver);
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

    /** True while operators want clients sent away. */
    public boolean isOrdered() {
        return ordered;
    }

    /** True once nobody comes any more that was on the way when it began. */
    boolean isOver(long now) {
        return now - since > HANDOVER_SETTLE_US;
    }
}
