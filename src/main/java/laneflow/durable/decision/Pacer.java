package laneflow.durable.decision;

/**
 * How many durable jobs of a class may be at work at a time. Nobody waits for their answers, so they take
 * what live requests leave: the number grows with each served job and shrinks as soon as endpoints are seen
 * to queue or anything is refused. Additive increase, multiplicative decrease (Chiu and Jain, 1989), with
 * the wait before a start as the signal of a queue, as in TCP Vegas; a doubling start until the first sign
 * of either. Times are microseconds. No I/O, no clock of its own.
 */
public final class Pacer {
    /** An endpoint that starts a job later than this after its call was sent has a queue. */
    public static final long QUEUED = 50_000;
    /** Signs within this time of a decrease are of what was sent before it. */
    private static final long SETTLE = 200_000;
    /** The shortest and the longest pause behind a refusal; consecutive ones double it. */
    private static final long FIRST_PAUSE = 20_000;

    private static final long LONGEST_PAUSE = 2_000_000;

    private int most;
    private double window = 1;
    private boolean doubling = true;
    private long shrunkAt = Long.MIN_VALUE / 2;
    private long pausedUntil = Long.MIN_VALUE;
    private long pause = FIRST_PAUSE;

    /** @param most never more than this */
    public Pacer(int most) {
        this.most = most;
    }

    /** From now on never more than this. */
    public void most(int given) {
        most = given;
        window = Math.min(window, most);
    }

    /** Whether another may begin beside so many. */
    public boolean room(long now, int atWork) {
        return now >= pausedUntil && atWork < (int) window;
    }

    /** When to ask again if nothing happens before. */
    public long pausedUntil() {
        return pausedUntil;
    }

    public int window() {
        return (int) window;
    }

    /** An endpoint has started on a job, so long after its call was sent. */
    public void started(long now, long waited) {
        if (waited > QUEUED) {
            shrink(now, 0.8);
        }
    }

    /** A job was served. */
    public void served() {
        pause = FIRST_PAUSE;
        window = Math.min(most, window + (doubling ? 1 : 1 / window));
    }

    /** A job was turned away. */
    public void refused(long now) {
        shrink(now, 0.5);
        pausedUntil = Math.max(pausedUntil, now + pause);
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
    }

    /** Live requests were refused since this was last asked: what is at work here was in their way. */
    public void liveRefused(long now) {
        shrink(now, 0.5);
    }

    /** Nothing begins before then, as where the store takes no leases. */
    public void hold(long until) {
        pausedUntil = Math.max(pausedUntil, until);
    }

    private void shrink(long now, double by) {
        doubling = false;
        if (now - shrunkAt >= SETTLE) {
            shrunkAt = now;
            window = Math.max(1, window * by);
        }
    }
}
