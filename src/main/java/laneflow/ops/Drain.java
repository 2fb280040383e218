package laneflow.ops;

import laneflow.core.Deadlines;
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

    private final Loop loop;
    private final HttpFront front;
    private final Deadline timer;
    private boolean on;

    public Drain(Loop loop, HttpFront front) {
        this.loop = loop;
        this.front = front;
        Deadlines deadlines = loop.deadlines();
        timer = deadlines.create(this::closeIdle);
    }

    /** Begins; one that is on goes on as it is. */
    public void on() {
        if (!on) {
            on = true;
            front.sendAway(true);
            loop.deadlines().set(timer, loop.micros() + IDLE_FROM);
        }
    }

    private void closeIdle() {
        front.closeIdle(YOUNG);
        loop.deadlines().set(timer, loop.micros() + AGAIN);
    }

    /** Undoes every part. */
    public void off() {
        if (on) {
            on = false;
            loop.deadlines().cancel(timer);
            front.sendAway(false);
        }
    }

    public boolean isOn() {
        return on;
    }
}
