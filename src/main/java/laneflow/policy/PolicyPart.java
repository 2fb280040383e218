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

/** Changes of policy put together at one scheduler: its own part, its vote where it has one, and its port. */
public final class PolicyPart {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyPart.class);
    private static final long AGAIN_NS = 20_000_000;

    private final Loop loop;
    private final Loop traffic;
    private final Policy policy;
    private final LeaseGate gate;
    private final RenewalExtensions riders;
    private PolicyPort port;
    /** Null where this process does not vote. */
    private volatile Voting voting;

    private volatile boolean closed;

    /**
     * What the assembly gives it.
     *
     * @param loop of the control thread
     * @param traffic of the thread that takes requests; the scheduler is its own
     * @param counters the control thread's
     * @param types makes the types that a policy may hold here, given the one of bans
     * @param reading a thread that reads policies, one after the other
     * @param clockRate 1, but in tests of clocks that drift
     * @param upgrade true if the process before this one may still vote
     * @param parts more that the voters agree on, by name; the same at all
     * @param riders what rides on renewals; the first is the one that builds before this one know
     */
    public record Given(
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
            Map<String, Ledger.Part> parts,
            List<RenewalExtension> riders) {}

    /**
     * Opens the store of votes where this process has one, and begins. From here on the scheduler decides
     * only under a lease. A store that can't be used costs the vote, not the service.
     */
    public PolicyPart(Given given) throws InterruptedException {
        loop = given.loop();
        riders = new RenewalExtensions(given.riders());
        PolicyConfig config = given.config();
        Fleet fleet = given.fleet();
        Scheduler scheduler = given.scheduler();
        traffic = given.traffic();
        LongSupplier clock = Policy.clock(loop, given.clockRate());
        gate = new LeaseGate(traffic, scheduler.counters(), scheduler::settingsChanged, config, clock, this::adopted);
        policy = new Policy(
                new Policy.Parts(
                        loop,
                        fleet,
                        given.counters(),
                        config,
                        given.types().apply(new BansType(scheduler::ban)),
                        given.reading(),
                        given.seed(),
                        clock,
                        () -> pass(traffic, () -> tally(scheduler))),
                gate);
        Opened votes = null;
        boolean later = false;
        if (config.dir != null) {
            try {
                votes = open(given);
            } catch (VoteStore.Taken e) {
                later = given.upgrade();
                if (!later) {
                    lost(given, e);
                }
            } catch (IOException e) {
                lost(given, e);
            }
        }
        Opened opened = votes;
        traffic.call(() -> scheduler.setAdmissionGate(gate));
        loop.call(() -> {
            Leadership leadership = opened == null ? null : vote(given, opened);
            port = new PolicyPort(fleet, policy, given.counters(), given.parts().keySet(), leadership);
            policy.carry(riders);
            policy.begin(leadership);
        });
        if (later) {
            LOG.info("policy: votes as soon as the process before this one has ended");
            Threads.daemon(() -> voteLater(given), "policy-store").start();
        }
    }

    private static void lost(Given given, IOException why) {
        LOG.error("policy: this process does not vote: {}", why.getMessage());
        given.counters().set("policy.vote_lost", 1);
    }

    /** On the traffic's thread. */
    private void adopted(long number, List<String> waits) {
        pass(loop, () -> policy.adopted(number, waits));
    }

    /** On the traffic's thread, whose counts they are. */
    private void tally(Scheduler scheduler) {
        JsonArray all = new JsonArray();
        for (long[] row : scheduler.countsByClass()) {
            JsonArray counts = new JsonArray();
            for (long one : row) {
                counts.add(one);
            }
            all.add(counts);
        }
        pass(loop, () -> policy.tallied(all));
    }

    private static void pass(Loop on, Runnable call) {
        try {
            on.later(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("that thread has ended");
        }
    }

    /** In an upgrade the store is the former process's until that ends. On a thread of its own. */
    private void voteLater(Given given) {
        while (!closed) {
            Opened opened = null;
            try {
                opened = open(given);
                Opened votes = opened;
                loop.call(() -> {
                    Leadership leadership = vote(given, votes);
                    policy.votes(leadership);
                    port.votes(leadership);
                });
                return;
            } catch (VoteStore.Taken e) {
                LOG.debug("not yet", e);
            } catch (IOException e) {
                loop.later(() -> lost(given, e));
                return;
            } catch (InterruptedException | RejectedExecutionException e) {
                close(opened.store());
                return;
            }
            LockSupport.parkNanos(AGAIN_NS);
        }
    }

    /** A store of votes, with what an earlier life left in it, or null. */
    private record Opened(VoteStore store, RestoredRaftState restored) {}

    private static Opened open(Given given) throws IOException {
        VoteStore store =
                VoteStore.open(given.config().dir, given.fleet().self().name());
        try {
            return new Opened(store, store.restored());
        } catch (IOException e) {
            close(store);
            throw e;
        }
    }

    private Leadership vote(Given given, Opened votes) {
        VoterGroup[] group = new VoterGroup[1];
        Leadership[] leadership = new Leadership[1];
        voting = new Voting(
                votes.store(),
                new Ledger(given.parts()),
                given.config().lease,
                loop::later,
                (to, message) -> group[0].send(to, message),
                new Voting.News() {
                    @Override
                    public void role(int term, boolean leads, String leader, Set<String> voters) {
                        leadership[0].role(term, leads, leader, voters);
                    }

                    @Override
                    public void stopped(String why) {
                        leadership[0].stopped(why);
                    }

                    @Override
                    public void takenOut() {
                        leadership[0].takenOut();
                    }
                });
        group[0] = new VoterGroup(loop, given.fleet(), given.config(), given.counters(), voting);
        leadership[0] = new Leadership(
                loop,
                given.fleet(),
                given.config(),
                given.counters(),
                voting,
                group[0],
                policy,
                new FleetTrial(given.classes(), given.config().probation, given.config().bound),
                riders);
        leadership[0].begin();
        group[0].begin(votes.restored());
        group[0].linked();
        return leadership[0];
    }

    private static void close(VoteStore store) {
        try {
            store.close();
        } catch (IOException e) {
            LOG.debug("close", e);
        }
    }

    /** Whether clients may be asked for; on the traffic's thread. */
    public boolean isReady() {
        return gate.isReady();
    }

    /** The policy that is in force here; on the traffic's thread. */
    public long number() {
        return gate.number();
    }

    /** The policy that requests of that epoch came under, for answers; on the traffic's thread. */
    public String stamp(int epoch) {
        return gate.stamp(epoch);
    }

    /**
     * All is answered: this process decides no more, and the others, told behind that, need not wait for its
     * lease. On any thread but these two.
     */
    public void leave() throws InterruptedException {
        traffic.call(gate::leave);
        loop.call(policy::leave);
    }

    /** Ends the vote, which its store keeps; on any thread but the loop's. */
    public void close() throws InterruptedException {
        closed = true;
        if (voting == null) {
            return;
        }
        try {
            voting.close();
        } catch (IOException e) {
            LOG.warn("policy: the store of votes did not close: {}", e.getMessage());
        }
    }
}
