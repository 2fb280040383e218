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
    private static final int MAX_EPOCHS_KEPT = 64;
    private static final double RETRY_AFTER_LEASE_SHARE = 0.1;

    /**
     * What the control thread publishes.
     *
     * @param ready what was read and found sound of the policies that the leave names
     */
    record Published(LeaseSnapshot lease, Map<Long, PolicyTypes.Prepared> prepared) {}

    /** Told, on the traffic's thread, of what was adopted and what of it waits for a restart. */
    interface AdoptionListener {
        void onAdopted(long number, List<String> waitsForRestart);
    }

    private final Loop traffic;
    private final IntSupplier settingsChanged;
    private final Counters counters;
    private final boolean servesWithoutLease;
    private final double retryAfterSeconds;
    private final LongSupplier clock;
    private final AdoptionListener listener;
    private final Deadline switchTimer;
    private final TreeMap<Integer, Long> policyByEpoch = new TreeMap<>();
    private volatile Published published = new Published(LeaseSnapshot.NONE, Map.of());
    /** The policy that was adopted last, -1 before the first; written on the traffic's thread only. */
    private volatile long adoptedPolicy = -1;

    private boolean stopped;
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
            IntSupplier settingsChanged,
            PolicyConfig config,
            LongSupplier clock,
            AdoptionListener listener) {
        this.traffic = traffic;
        this.counters = counters;
        this.settingsChanged = settingsChanged;
        this.clock = clock;
        this.listener = listener;
        servesWithoutLease = config.servesWithoutLease;
        retryAfterSeconds = config.leaseMicros / 1e6 * RETRY_AFTER_LEASE_SHARE;
        switchTimer = traffic.deadlines().create(this::switchIfDue);
    }

    /** On the control thread: from its return on nothing is decided by what was published before. */
    void publish(Published next) {
        published = next;
        if (next.lease().next() >= 0 || next.lease().current() != adoptedPolicy) {
            // Begun with also where nobody asks, and where an earlier grant had run out before it was read. A
            // renewal of what has begun wakes nobody.
            try {
                traffic.later(this::switchIfDue);
            } catch (RejectedExecutionException e) {
                LOG.debug("nobody takes requests any more");
            }
        }
    }

    private void switchIfDue() {
        currentPolicy();
        if (!stopped && isSwitchPending()) {
            traffic.deadlines().set(switchTimer, traffic.micros() + microsToSwitch());
        }
    }

    private boolean isSwitchPending() {
        LeaseSnapshot lease = published.lease();
        return lease.next() >= 0 && lease.next() != adoptedPolicy;
    }

    @Override
    public boolean mayDecide() {
        boolean may = currentPolicy() >= 0;
        if (!may && servesWithoutLease) {
            counters.add("policy.decided_without_lease");
        }
        if (may || servesWithoutLease) {
            lastDecidedNs = System.nanoTime();
        }
        return may || servesWithoutLease;
    }

    /** Whether clients may be asked for. */
    boolean isReady() {
        return !stopped && (servesWithoutLease || currentPolicy() >= 0);
    }

    @Override
    public long decidesWithin() {
        return stopped || !isSwitchPending() ? Long.MAX_VALUE : microsToSwitch();
    }

    /** From the turn's instant on, which deadlines are set by and which lags behind now. */
    private long microsToSwitch() {
        return traffic.fresh()
                - traffic.micros()
                + Math.max(0, published.lease().nextStart() - clock.getAsLong())
                + 1;
    }

    @Override
    public double comeBack() {
        return retryAfterSeconds;
    }

    /** Begins with what is due; returns the policy by which it may decide now, or -1. */
    private long currentPolicy() {
        // Read anew for each request: a process that was stopped amid a turn wakes with the turn's old time.
        long now = clock.getAsLong();
        // The other way round, what was published between the two would be passed over at an instant at
        // which the control thread has said already that it is obeyed.
        VarHandle.fullFence();
        Published snapshot = published;
        long number = stopped ? -1 : snapshot.lease().policyAt(now);
        if (number >= 0 && number != adoptedPolicy && !adopt(number, snapshot, now)) {
            return -1;
        }
        return number;
    }

    /** All of it in this turn: requests that come see the new one, those that are open keep theirs. */
    private boolean adopt(long number, Published snapshot, long now) {
        PolicyTypes.Prepared next = snapshot.prepared().get(number);
        if (next == null) {
            // No leader grants what was not said to be ready; deciding by another would be worse than not.
            counters.add("policy.granted_unready");
            return false;
        }
        long startNs = System.nanoTime();
        long before = adoptedPolicy;
        List<String> waitsForRestart = next.adopt();
        adoptedPolicy = number;
        policyByEpoch.put(settingsChanged.getAsInt(), number);
        if (policyByEpoch.size() > MAX_EPOCHS_KEPT) {
            policyByEpoch.pollFirstEntry();
        }
        counters.add("policy.begun");
        long fence = before >= 0 ? snapshot.lease().fence(now) : 0;
        counters.set("policy.fence_most_us", Math.max(fence, counters.get("policy.fence_most_us")));
        LOG.info(
                "policy begins number={} before={} last_decided_ns={} began_ns={} fence_us={} took_us={}",
                number,
                Math.max(0, before),
                lastDecidedNs,
                startNs,
                fence,
                (System.nanoTime() - startNs) / 1000);
        listener.onAdopted(number, waitsForRestart);
        return true;
    }

    /** The policy that was adopted last; 0: the file's own. */
    long policyNumber() {
        return Math.max(0, adoptedPolicy);
    }

    /** The policy that requests of that epoch came under, for answers; empty where none has begun. */
    String versionOfEpoch(int epoch) {
        Map.Entry<Integer, Long> at = policyByEpoch.floorEntry(epoch);
        return at == null ? "" : "policy=" + at.getValue();
    }

    /** It decides no more. */
    void stop() {
        stopped = true;
        traffic.deadlines().cancel(switchTimer);
    }
}
