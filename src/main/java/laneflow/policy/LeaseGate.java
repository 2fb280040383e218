package laneflow.policy;

import java.lang.invoke.VarHandle;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import laneflow.core.AdmissionGate;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Loop;
import laneflow.policy.decision.LeaseSnapshot;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The lease where requests are taken: on the traffic's thread, while all that keeps the lease is on the
 * control thread. That thread publishes what holds, whole and unchanging; a request reads the clock first
 * and what holds behind it. So whatever was published before the control thread said that it obeys it, is
 * seen by every decision of a later instant, and a lease that has run out gates by the clock alone, whatever
 * the control thread is doing.
 *
 * <p>A policy is adopted here, as a whole and in one turn, and only then does the control thread hear of it.
 */
final class LeaseGate implements AdmissionGate {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseGate.class);
    private static final int MOST_STAMPS = 64;
    private static final double COME_BACK_PART = 0.1;

    /**
     * What the control thread publishes.
     *
     * @param ready what was read and found sound of the policies that the leave names
     */
    record Published(LeaseSnapshot leave, Map<Long, PolicyTypes.Prepared> ready) {}

    /** Told, on the traffic's thread, of what was adopted and what of it waits for a restart. */
    interface Adopted {
        void adopted(long number, List<String> waitsForRestart);
    }

    private final Loop traffic;
    private final IntSupplier retuned;
    private final Counters counters;
    private final boolean servesCutOff;
    private final double comeBack;
    private final LongSupplier clock;
    private final Adopted news;
    private final Deadline begin;
    private final TreeMap<Integer, Long> stamps = new TreeMap<>();
    private volatile Published published = new Published(LeaseSnapshot.NONE, Map.of());
    /** The policy that was adopted last, -1 before the first; written on the traffic's thread only. */
    private volatile long begun = -1;

    private boolean left;
    private long lastDecidedNs;

    /**
     * One that may not decide yet.
     *
     * @param retuned tells the scheduler that settings have changed; the number of what comes under them
     * @param clock the lease's, which any thread may read
     */
    LeaseGate(
            Loop traffic,
            Counters counters,
            IntSupplier retuned,
            PolicyConfig config,
            LongSupplier clock,
            Adopted news) {
        this.traffic = traffic;
        this.counters = counters;
        this.retuned = retuned;
        this.clock = clock;
        this.news = news;
        servesCutOff = config.servesCutOff;
        comeBack = config.lease / 1e6 * COME_BACK_PART;
        begin = traffic.deadlines().create(this::look);
    }

    /** On the control thread: from its return on nothing is decided by what was published before. */
    void publish(Published now) {
        published = now;
        if (now.leave().next() >= 0 || now.leave().number() != begun) {
            // Begun with also where nobody asks, and where an earlier grant had run out before it was read. A
            // renewal of what has begun wakes nobody.
            try {
                traffic.later(this::look);
            } catch (RejectedExecutionException e) {
                LOG.debug("nobody takes requests any more");
            }
        }
    }

    private void look() {
        settle();
        if (!left && isAboutToBegin()) {
            traffic.deadlines().set(begin, traffic.micros() + untilNext());
        }
    }

    private boolean isAboutToBegin() {
        LeaseSnapshot leave = published.leave();
        return leave.next() >= 0 && leave.next() != begun;
    }

    @Override
    public boolean mayDecide() {
        boolean may = settle() >= 0;
        if (!may && servesCutOff) {
            counters.add("policy.decided_without_lease");
        }
        if (may || servesCutOff) {
            lastDecidedNs = System.nanoTime();
        }
        return may || servesCutOff;
    }

    /** Whether clients may be asked for. */
    boolean isReady() {
        return !left && (servesCutOff || settle() >= 0);
    }

    @Override
    public long microsUntilOpen() {
        return left || !isAboutToBegin() ? Long.MAX_VALUE : untilNext();
    }

    /** From the turn's instant on, which deadlines are set by and which lags behind now. */
    private long untilNext() {
        return traffic.currentMicros()
                - traffic.micros()
                + Math.max(0, published.leave().nextStart() - clock.getAsLong())
                + 1;
    }

    @Override
    public double retryAfter() {
        return comeBack;
    }

    /** Begins with what is due; returns the policy by which it may decide now, or -1. */
    private long settle() {
        // Read anew for each request: a process that was stopped amid a turn wakes with the turn's old time.
        long now = clock.getAsLong();
        // The other way round, what was published between the two would be passed over at an instant at
        // which the control thread has said already that it is obeyed.
        VarHandle.fullFence();
        Published holds = published;
        long number = left ? -1 : holds.leave().deciding(now);
        if (number >= 0 && number != begun && !adopt(number, holds, now)) {
            return -1;
        }
        return number;
    }

    /** All of it in this turn: requests that come see the new one, those that are open keep theirs. */
    private boolean adopt(long number, Published holds, long now) {
        PolicyTypes.Prepared next = holds.ready().get(number);
        if (next == null) {
            // No leader grants what was not said to be ready; deciding by another would be worse than not.
            counters.add("policy.granted_unready");
            return false;
        }
        long from = System.nanoTime();
        long before = begun;
        List<String> waits = next.adopt();
        begun = number;
        stamps.put(retuned.getAsInt(), number);
        if (stamps.size() > MOST_STAMPS) {
            stamps.pollFirstEntry();
        }
        counters.add("policy.begun");
        long fence = before >= 0 ? holds.leave().fence(now) : 0;
        counters.set("policy.fence_most_us", Math.max(fence, counters.get("policy.fence_most_us")));
        LOG.info(
                "policy begins number={} before={} last_decided_ns={} began_ns={} fence_us={} took_us={}",
                number,
                Math.max(0, before),
                lastDecidedNs,
                from,
                fence,
                (System.nanoTime() - from) / 1000);
        news.adopted(number, waits);
        return true;
    }

    /** The policy that was adopted last; 0: the file's own. */
    long number() {
        return Math.max(0, begun);
    }

    /** The policy that requests of that epoch came under, for answers; empty where none has begun. */
    String stamp(int epoch) {
        Map.Entry<Integer, Long> at = stamps.floorEntry(epoch);
        return at == null ? "" : "policy=" + at.getValue();
    }

    /** It decides no more. */
    void leave() {
        left = true;
        traffic.deadlines().cancel(begin);
    }
}
