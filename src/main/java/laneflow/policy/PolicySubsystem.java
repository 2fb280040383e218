package laneflow.policy;

import com.google.gson.JsonArray;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.LongSupplier;
import laneflow.control.ResourceType;
import laneflow.core.Counters;
import laneflow.core.Scheduler;
import laneflow.fleet.Fleet;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.policy.decision.Ledger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Policy changes at one scheduler: its agent, its voter if it has one, and its API. */
public final class PolicySubsystem {
    private static final Logger LOG = LoggerFactory.getLogger(PolicySubsystem.class);
    private static final long STORE_RETRY_NS = 20_000_000;

    private final Loop loop;
    private final Loop traffic;
    private final PolicyAgent policy;
    private final LeaseGate gate;
    private final RenewalExtensions extensions;
    private PolicyApi api;
    /** Null if this process does not vote. */
    private volatile RaftVoter voter;

    private volatile boolean closed;

    /**
     * What the subsystem depends on.
     *
     * @param loop the control thread's
     * @param traffic the loop of the thread that takes requests and owns the scheduler
     * @param counters the control thread's
     * @param types makes the resource types accepted in a policy, given the type of bans
     * @param reading runs the reading of policies in order, on another thread
     * @param clockRate 1, except in tests of clock drift
     * @param upgrade true if the previous process may still vote
     * @param ledgerParts further state machines that the voters replicate, by name; the same at all voters
     * @param extensions extensions of renewals; the first one is the one that earlier builds know
     */
    public record Dependencies(
            Loop loop,
            Loop traffic,
            Fleet fleet,
            Scheduler scheduler,
            Counters counters,
            PolicyConfig config,
            Function<ResourceType, PolicyTypes> types,
            List<String> classes,
            Executor reading,
            long seed,
            double clockRate,
            boolean upgrade,
            Map<String, Ledger.Part> ledgerParts,
            List<RenewalExtension> extensions) {}

    /**
     * Opens the store of votes, if this process has one, and starts. From then on the scheduler decides only
     * under a lease. Without a usable store this process serves but does not vote.
     */
    public PolicySubsystem(Dependencies deps) throws InterruptedException {
        loop = deps.loop();
        extensions = new RenewalExtensions(deps.extensions());
        PolicyConfig config = deps.config();
        Fleet fleet = deps.fleet();
        Scheduler scheduler = deps.scheduler();
        traffic = deps.traffic();
        LongSupplier clock = PolicyAgent.clock(loop, deps.clockRate());
        gate = new LeaseGate(traffic, scheduler.counters(), scheduler::settingsChanged, config, clock, this::onAdopted);
        policy = new PolicyAgent(
                new PolicyAgent.Dependencies(
                        loop,
                        fleet,
                        deps.counters(),
                        config,
                        deps.types().apply(new BansType(scheduler::ban)),
                        deps.reading(),
                        deps.seed(),
                        clock,
                        () -> runOn(traffic, () -> readTallies(scheduler))),
                gate);
        OpenedStore openedStore = null;
        boolean storeLocked = false;
        if (config.dir != null) {
            try {
                openedStore = openStore(deps);
            } catch (VoteStore.StoreLockedException e) {
                storeLocked = deps.upgrade();
                if (!storeLocked) {
                    reportVoteLost(deps, e);
                }
            } catch (IOException e) {
                reportVoteLost(deps, e);
            }
        }
        OpenedStore opened = openedStore;
        traffic.call(() -> scheduler.setAdmissionGate(gate));
        loop.call(() -> {
            Leadership leadership = opened == null ? null : startVoter(deps, opened);
            api = new PolicyApi(
                    fleet, policy, deps.counters(), deps.ledgerParts().keySet(), leadership);
            policy.attach(extensions);
            policy.start(leadership);
        });
        if (storeLocked) {
            LOG.info("policy: voting starts when the previous process has ended");
            Threads.daemon(() -> waitForStore(deps), "policy-store").start();
        }
    }

    private static void reportVoteLost(Dependencies deps, IOException cause) {
        LOG.error("policy: this process does not vote: {}", cause.getMessage());
        deps.counters().set("policy.vote_lost", 1);
    }

    /** Called on the traffic thread. */
    private void onAdopted(long number, List<String> waitsForRestart) {
        runOn(loop, () -> policy.onAdopted(number, waitsForRestart));
    }

    /** Reads the counts on the traffic thread, which owns them. */
    private void readTallies(Scheduler scheduler) {
        JsonArray tallies = new JsonArray();
        for (long[] row : scheduler.countsByClass()) {
            JsonArray counts = new JsonArray();
            for (long count : row) {
                counts.add(count);
            }
            tallies.add(counts);
        }
        runOn(loop, () -> policy.onTallies(tallies));
    }

    private static void runOn(Loop target, Runnable task) {
        try {
            target.later(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("the thread has ended");
        }
    }

    /**
     * Waits, during an upgrade, until the previous process ends and releases the store. Runs on a thread of
     * its own.
     */
    private void waitForStore(Dependencies deps) {
        while (!closed) {
            OpenedStore opened = null;
            try {
                opened = openStore(deps);
                OpenedStore openedStore = opened;
                loop.call(() -> {
                    Leadership leadership = startVoter(deps, openedStore);
                    policy.becomeVoter(leadership);
                    api.becomeVoter(leadership);
                });
                return;
            } catch (VoteStore.StoreLockedException e) {
                LOG.debug("the store is still locked", e);
            } catch (IOException e) {
                loop.later(() -> reportVoteLost(deps, e));
                return;
            } catch (InterruptedException | RejectedExecutionException e) {
                close(opened.store());
                return;
            }
            LockSupport.parkNanos(STORE_RETRY_NS);
        }
    }

    /** A store of votes with the state that an earlier process left in it, or null. */
    private record OpenedStore(VoteStore store, RestoredRaftState restored) {}

    private static OpenedStore openStore(Dependencies deps) throws IOException {
        VoteStore store = VoteStore.open(deps.config().dir, deps.fleet().self().name());
        try {
            return new OpenedStore(store, store.restored());
        } catch (IOException e) {
            close(store);
            throw e;
        }
    }

    private Leadership startVoter(Dependencies deps, OpenedStore opened) {
        VoterGroup[] group = new VoterGroup[1];
        Leadership[] leadership = new Leadership[1];
        voter = new RaftVoter(
                opened.store(),
                new Ledger(deps.ledgerParts()),
                deps.config().leaseMicros,
                loop::later,
                (to, message) -> group[0].send(to, message),
                new RaftVoter.Listener() {
                    @Override
                    public void onRole(int term, boolean leads, String leader, Set<String> voters) {
                        leadership[0].onRole(term, leads, leader, voters);
                    }

                    @Override
                    public void onStopped(String reason) {
                        leadership[0].onStopped(reason);
                    }

                    @Override
                    public void onRemoved() {
                        leadership[0].onRemoved();
                    }
                });
        group[0] = new VoterGroup(loop, deps.fleet(), deps.config(), deps.counters(), voter);
        leadership[0] = new Leadership(
                loop,
                deps.fleet(),
                deps.config(),
                deps.counters(),
                voter,
                group[0],
                policy,
                new FleetTrial(deps.classes(), deps.config().trialMicros, deps.config().maxWorsening),
                extensions);
        leadership[0].start();
        group[0].start(opened.restored());
        group[0].onLinksChanged();
        return leadership[0];
    }

    private static void close(VoteStore store) {
        try {
            store.close();
        } catch (IOException e) {
            LOG.debug("close", e);
        }
    }

    /** Readiness: whether this scheduler should get clients; on the traffic thread. */
    public boolean isReady() {
        return gate.isReady();
    }

    /** The policy in force at this scheduler; on the traffic thread. */
    public long policyNumber() {
        return gate.policyNumber();
    }

    /** The policy of that epoch's requests, as sent to clients; on the traffic thread. */
    public String versionOfEpoch(int epoch) {
        return gate.versionOfEpoch(epoch);
    }

    /**
     * Stops deciding once all requests are answered, then announces that, so that no change waits for this
     * process's lease. Not to be called on the two loops' threads.
     */
    public void stopDeciding() throws InterruptedException {
        traffic.call(gate::stop);
        loop.call(policy::stop);
    }

    /** Stops voting; the store is kept. Not to be called on the loop's thread. */
    public void close() throws InterruptedException {
        closed = true;
        if (voter == null) {
            return;
        }
        try {
            voter.close();
        } catch (IOException e) {
            LOG.warn("policy: closing the store of votes failed: {}", e.getMessage());
        }
    }
}
