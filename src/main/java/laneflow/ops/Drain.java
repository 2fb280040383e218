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
    private static final long IDLE_FROM = 400_000;
    /** Those that come later are looked after as often. */
    private static final long AGAIN = 100_000;
    /** A connection that is younger may have its first request on the way. */
    private static final long YOUNG = 250_000;

    /** Handed over, connections in use leave with their next answer: one idle for so long has none soon. */
    private static final long UNUSED = 500_000;
    /** So long the other process's clients may still be on their way here. */
    private static final long SETTLED = 1_000_000;

    private final Loop loop;
    private final HttpFront front;
    private final Deadline timer;
    private boolean ordered;
    private boolean handed;
    private long since;

    public Drain(Loop loop, HttpFront front) {
        this.loop = loop;
        this.front = front;
        timer = loop.deadlines().create(this::closeIdle);
    }

    /** Operators want it, or no more; where it is so already, it goes on as it is. */
    public void ordered(boolean on) {
        if (ordered != on) {
            ordered = on;
            changed();
        }
    }

    /** Another process takes the clients, or no more. There is time, so none is closed that is in use. */
    void handed(boolean on) {
        if (handed != on) {
            handed = on;
            changed();
        }
    }

    /** Either begins anew with its first wait; without both every part is undone. */
    private void changed() {
        since = loop.micros();
        front.closeAfterResponses(ordered || handed);
        if (ordered || handed) {
            loop.deadlines().set(timer, since + IDLE_FROM);
        } else {
            loop.deadlines().cancel(timer);
        }
    }

    private void closeIdle() {
        front.closeIdle(ordered ? YOUNG : SETTLED, ordered ? 0 : UNUSED);
        loop.deadlines().set(timer, loop.micros() + AGAIN);
    }

    /** True while operators want clients sent away. */
    public boolean isOrdered() {
        return ordered;
    }

    /** True once nobody comes any more that was on the way when it began. */
    boolean isOver(long now) {
        return now - since > SETTLED;
    }
}
