package laneflow.policy;

import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import laneflow.control.ResourceType;
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
    private final Policy policy;
    private PolicyPort port;
    /** Null where this process does not vote. */
    private volatile Voting voting;
    private volatile boolean closed;

    /**
     * What the assembly gives it.
     *
     * @param types makes the types that a policy may hold here, given the one of bans
     * @param reading a thread that reads policies, one after the other
     * @param clockRate 1, but in tests of clocks that drift
     * @param upgrade true if the process before this one may still vote
     * @param parts more that the voters agree on, by name; the same at all
     * @param rider what rides on renewals, or null
     */
    public record Given(Loop loop, Fleet fleet, Scheduler scheduler, PolicyConfig config,
            Function<ResourceType, PolicyTypes> types, List<String> classes, Executor reading, long seed,
            double clockRate, boolean upgrade, Map<String, Ledger.Part> parts, Rider rider) {
    }

    /**
     * Opens the store of votes where this process has one, and begins. From here on the scheduler decides
     * only under a lease. A store that can't be used costs the vote, not the service.
     */
    public PolicyPart(Given given) throws InterruptedException {
        loop = given.loop();
        PolicyConfig config = given.config();
        Fleet fleet = given.fleet();
        Scheduler scheduler = given.scheduler();
        policy = new Policy(loop, fleet, scheduler, config,
                given.types().apply(new BansType(scheduler::bar)), given.reading(), given.seed(),
                given.clockRate());
        Opened votes = null;
        boolean later = false;
        if (config.dir != null) {
            try {
                votes = open(given);
            } catch (VoteStore.Taken e) {
                later = given.upgrade();
                if (!later) {
                    lost(scheduler, e);
                }
            } catch (IOException e) {
                lost(scheduler, e);
            }
        }
        Opened opened = votes;
        loop.call(() -> {
            scheduler.decideWhile(policy);
            Leadership leadership = opened == null ? null : vote(given, opened);
            port = new PolicyPort(fleet, policy, scheduler.counters(), leadership);
            if (given.rider() != null) {
                policy.carry(given.rider());
            }
            policy.begin(leadership);
        });
        if (later) {
            LOG.info("policy: votes as soon as the process before this one has ended");
            Threads.daemon(() -> voteLater(given), "policy-store").start();
        }
    }

    private static void lost(Scheduler scheduler, IOException why) {
        LOG.error("policy: this process does not vote: {}", why.getMessage());
        scheduler.counters().set("policy.vote_lost", 1);
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
                loop.later(() -> lost(given.scheduler(), e));
                return;
            } catch (InterruptedException | RejectedExecutionException e) {
                close(opened.store());
                return;
            }
            LockSupport.parkNanos(AGAIN_NS);
        }
    }

    /** A store of votes, with what an earlier life left in it, or null. */
    private record Opened(VoteStore store, RestoredRaftState restored) {
    }

    private static Opened open(Given given) throws IOException {
        VoteStore store = VoteStore.open(given.config().dir, given.fleet().self().name());
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
        voting = new Voting(votes.store(), new Ledger(given.parts()), given.config().lease, loop::later,
                (to, message) -> group[0].send(to, message), new Voting.News() {
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
        group[0] = new VoterGroup(loop, given.fleet(), given.config(), given.scheduler().counters(), voting);
        leadership[0] = new Leadership(loop, given.fleet(), given.config(), given.scheduler().counters(),
                voting, group[0], policy, new FleetTrial(given.classes(), given.config().probation,
                given.config().bound), given.rider());
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

    /** Whether clients may be asked for; on the loop. */
    public boolean isReady() {
        return policy.isReady();
    }

    /** The policy that is in force here; on the loop. */
    public long number() {
        return policy.number();
    }

    /** The policy that requests of that epoch came under, for answers; on the loop. */
    public String stamp(int epoch) {
        return policy.stamp(epoch);
    }

    /** All is answered: this process decides no more, and the others need not wait for its lease. */
    public void leave() {
        policy.leave();
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
