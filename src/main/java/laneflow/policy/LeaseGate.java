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
 * Admits requests only under a valid lease. It runs on the traffic thread, while the lease is kept on the
 * control thread, which publishes immutable snapshots. A request reads the clock first and the snapshot after
 * that: whatever was published before the control thread acknowledged a grant is seen by every later
 * decision. An expired lease closes the gate by the clock alone, whatever the control thread is doing.
 *
 * <p>The gate adopts a policy as a whole, in one turn; the control thread is notified afterwards.
 */
final class LeaseGate implements AdmissionGate {
    private static final Logger LOG = LoggerFactory.getLogger(LeaseGate.class);
    private static final int MAX_EPOCHS_KEPT = 64;
    private static final double RETRY_AFTER_LEASE_SHARE = 0.1;

    /**
     * A snapshot published by the control thread.
     *
     * @param prepared the valid policies among those that the lease names
     */
    record Published(LeaseSnapshot lease, Map<Long, PolicyTypes.Prepared> prepared) {}

    /**
     * Notified on the traffic thread of an adopted policy and of those of its settings that need a restart.
     */
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
    /** The policy adopted last, -1 before the first; written on the traffic thread only. */
    private volatile long adoptedPolicy = -1;

    private boolean stopped;
    private long lastDecidedNs;

    /**
     * Creates a closed gate.
     *
     * @param settingsChanged tells the scheduler that settings have changed; returns the epoch of requests
     * that come under them
     * @param clock the clock for leases, which any thread may read
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

    /**
     * Publishes a snapshot, on the control thread. Once it returns, no decision is made by an earlier one.
     */
    void publish(Published next) {
        published = next;
        if (next.lease().next() >= 0 || next.lease().current() != adoptedPolicy) {
            // Switches even if no request comes or an earlier grant expired unread. Renewals of the adopted
            // policy need no wake-up.
            try {
                traffic.later(this::switchIfDue);
            } catch (RejectedExecutionException e) {
                LOG.debug("the traffic loop has ended");
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
        boolean hasPolicy = currentPolicy() >= 0;
        if (!hasPolicy && servesWithoutLease) {
            counters.add("policy.decided_without_lease");
        }
        if (hasPolicy || servesWithoutLease) {
            lastDecidedNs = System.nanoTime();
        }
        return hasPolicy || servesWithoutLease;
    }

    /** Readiness: whether this scheduler should get clients. */
    boolean isReady() {
        return !stopped && (servesWithoutLease || currentPolicy() >= 0);
    }

    @Override
    public long microsUntilOpen() {
        return stopped || !isSwitchPending() ? Long.MAX_VALUE : microsToSwitch();
    }

    /**
     * Time until the switch, counted like all deadlines from the instant of the current turn, which is older
     * than now.
     */
    private long microsToSwitch() {
        return traffic.currentMicros()
                - traffic.micros()
                + Math.max(0, published.lease().nextStart() - clock.getAsLong())
                + 1;
    }

    @Override
    public double retryAfter() {
        return retryAfterSeconds;
    }

    /**
     * Switches to the next policy if it is due; returns the policy by which requests may be decided now, or
     * -1.
     */
    private long currentPolicy() {
        // Read for each request: a process suspended within a turn resumes with the time of that turn.
        long now = clock.getAsLong();
        // In the opposite order, a snapshot published between the two reads would be missed at an instant at
        // which the control thread has already acknowledged it.
        VarHandle.fullFence();
        Published snapshot = published;
        long number = stopped ? -1 : snapshot.lease().policyAt(now);
        if (number >= 0 && number != adoptedPolicy && !adopt(number, snapshot, now)) {
            return -1;
        }
        return number;
    }

    /** Adopts a policy in one turn: new requests see the new policy, open ones keep theirs. */
    private boolean adopt(long number, Published snapshot, long now) {
        PolicyTypes.Prepared next = snapshot.prepared().get(number);
        if (next == null) {
            // A leader grants only what was reported ready; to decide by another policy would be worse than
            // not to decide.
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

    /** The policy adopted last; 0 is the configuration file's. */
    long policyNumber() {
        return Math.max(0, adoptedPolicy);
    }

    /** The policy of that epoch's requests, as sent to clients; empty before the first policy. */
    String versionOfEpoch(int epoch) {
        Map.Entry<Integer, Long> entry = policyByEpoch.floorEntry(epoch);
        return entry == null ? "" : "policy=" + entry.getValue();
    }

    /** Stops using any lease, for good. */
    void stop() {
        stopped = true;
        traffic.deadlines().cancel(switchTimer);
    }
}
