package laneflow.durable.decision;

/**
 * Limits how many durable jobs of a class run concurrently. No client waits for their results, so they only
 * use capacity that live requests leave free: the window grows with each served job and shrinks as soon as
 * jobs queue at endpoints or anything is refused. Additive increase, multiplicative decrease (Chiu and Jain,
 * 1989), with the delay before a job starts as the signal of queueing, as in TCP Vegas. Until the first such
 * signal or refusal the window grows exponentially. Times are in microseconds. No I/O, no clock of its own.
 */
public final class ConcurrencyLimiter {
    /** A longer delay between sending a call and the start of its job means that the endpoint queues. */
    public static final long QUEUE_DELAY_THRESHOLD = 50_000;
    /** Signals within this time after a decrease stem from calls sent before it, and are ignored. */
    private static final long DECREASE_INTERVAL = 200_000;
    /** Pause after the first refusal; consecutive refusals double it up to {@link #MAX_PAUSE}. */
    private static final long MIN_PAUSE = 20_000;

    private static final long MAX_PAUSE = 2_000_000;

    private int limit;
    private double window = 1;
    private boolean exponentialGrowth = true;
    private long lastDecreaseAt = Long.MIN_VALUE / 2;
    private long pausedUntil = Long.MIN_VALUE;
    private long nextPause = MIN_PAUSE;

    /** @param limit the upper bound of the window */
    public ConcurrencyLimiter(int limit) {
        this.limit = limit;
    }

    /** Changes the upper bound of the window, and shrinks the window if it exceeds the bound. */
    public void setLimit(int newLimit) {
        limit = newLimit;
        window = Math.min(window, limit);
    }

    /** Whether another job may start while {@code running} jobs are running. */
    public boolean mayStart(long now, int running) {
        return now >= pausedUntil && running < (int) window;
    }

    /** The end of the current pause, before which no job may start. */
    public long pausedUntil() {
        return pausedUntil;
    }

    public int window() {
        return (int) window;
    }

    /** Records that an endpoint started a job {@code startDelay} after its call was sent. */
    public void onStarted(long now, long startDelay) {
        if (startDelay > QUEUE_DELAY_THRESHOLD) {
            decrease(now, 0.8);
        }
    }

    /** Records a served job. */
    public void onServed() {
        nextPause = MIN_PAUSE;
        window = Math.min(limit, window + (exponentialGrowth ? 1 : 1 / window));
    }

    /** Records a refused job: shrinks the window and pauses further starts. */
    public void onRefused(long now) {
        decrease(now, 0.5);
        pausedUntil = Math.max(pausedUntil, now + nextPause);
        nextPause = Math.min(MAX_PAUSE, 2 * nextPause);
    }

    /** Records that live requests were refused: the running durable jobs took capacity from them. */
    public void onLiveRefused(long now) {
        decrease(now, 0.5);
    }

    /** Lets no job start before {@code until}, for example while the store can't record leases. */
    public void pauseUntil(long until) {
        pausedUntil = Math.max(pausedUntil, until);
    }

    private void decrease(long now, double factor) {
        exponentialGrowth = false;
        if (now - lastDecreaseAt >= DECREASE_INTERVAL) {
            lastDecreaseAt = now;
            window = Math.max(1, window * factor);
        }
    }
}
