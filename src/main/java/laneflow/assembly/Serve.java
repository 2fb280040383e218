package laneflow.assembly;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import laneflow.core.Counters;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.JobClass;
import laneflow.gearman.GearmanConfig;
import laneflow.gearman.GearmanFront;
import laneflow.http.Config;
import laneflow.http.DiscoveryWatch;
import laneflow.http.HttpConnector;
import laneflow.http.HttpFront;
import laneflow.http.OperatorPort;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.ops.Operations;
import laneflow.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The real scheduler: the core, its fronts and connectors on one loop, from the start to the last answer. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    /** After a SIGTERM clients keep coming for up to 0.4 s. */
    private static final long ACCEPT_ON = 550_000;
    /** Until then what has come in counts as taken. */
    private static final long STAY_ON = 750_000;
    /** A SIGKILL comes no sooner than the longest wait of any class, but for that, behind a SIGTERM ... */
    private static final double LONGEST_WAIT_S = 3;
    /** ... and this much. */
    private static final long KILL_AFTER = 700_000;
    /** So long before it what is still open is given up: unanswered at the kill it would be lost. */
    private static final long ANSWER_BEFORE = 300_000;
    /** So long before it clients are sent away: most of what has come until then still ends. */
    private static final long LEAVE_BEFORE = 1_300_000;

    /**
     * Microseconds after its start at which a process asks for clients even if it knows no endpoint. The operators
     * want nine in ten processes to be ready within 10 s, and each within 30 s, however long discovery is away.
     */
    private static final long READY_AT_LATEST = 9_000_000;

    private static final long LOOK_AGAIN = 5_000;
    private static final long LONGEST_DRAIN_S = 30;

    private final Loop loop;
    private final Counters counters = new Counters();
    private final Scheduler scheduler;
    private final HttpFront front;
    /** Null where the Gearman front is off. */
    private final GearmanFront gearman;

    private final Subsystems subsystems;
    /** Null where no discovery is named. */
    private final DiscoveryWatch watch;
    /** Null where no second address is named. */
    private final Operations operations;

    private final CountDownLatch drained = new CountDownLatch(1);
    /** From then on it is ready even if it knows no endpoint; the loop's own. */
    private long readyAtLatest = Long.MAX_VALUE;

    private boolean stopping;
    private boolean leaving;

    /** Where a start, and a SIGHUP again, read from. */
    public interface Source {
        Setup read() throws IOException, WireException;
    }

    /** Starts to serve; returns once clients are let in. */
    public Serve(Setup setup) throws IOException, InterruptedException {
        this(setup, ProcessEnvironment.NONE);
    }

    /** The same with what the environment names. */
    public Serve(Setup setup, ProcessEnvironment around) throws IOException, InterruptedException {
        Config config = setup.config();
        GearmanConfig gearmanConfig = setup.gearman();
        loop = new Loop(config.maxSockets);
        scheduler = new Scheduler(config.settings, config.seed, loop, loop.deadlines(), counters);
        HttpConnector connector = new HttpConnector(loop, scheduler, config.idleConnectionSeconds);
        front = new HttpFront(loop, scheduler, config.classNames);
        watch = config.discoveryAddress == null ? null : new DiscoveryWatch(loop, scheduler, connector, config);
        gearman = gearmanConfig == null ? null : new GearmanFront(loop, scheduler, gearmanConfig, config.seed);
        subsystems =
                new Subsystems(setup, new Subsystems.Core(loop, scheduler, connector, front, gearman, around.passed()));
        loop.call(() -> {
            scheduler.start(connector, config.lastKnown.entries);
            if (watch != null) {
                watch.startWatch();
            }
            readyAtLatest = loop.micros() + READY_AT_LATEST;
            front.setReadiness(this::isReady);
        });
        String ops = around.ops() != null ? around.ops() : config.opsAddress;
        operations = ops == null && !around.passed()
                ? null
                : new Operations(
                        loop,
                        scheduler,
                        front,
                        around.scratch(),
                        around.passed(),
                        new Operations.ProcessState(this::serves, () -> stopping, this::replaced));
        if (gearman != null) {
            connector.raiseMaxBody(gearmanConfig.maxBodyBytes);
        }
        subsystems.begin();
        if (around.passed()) {
            front.listenOnPassedSocket();
            operations.begin(front);
        } else {
            front.listen(Loop.parseAddress(config.listen));
        }
        if (ops != null) {
            operations.listen(Loop.parseAddress(ops));
        }
        if (gearman != null) {
            gearman.listen(Loop.parseAddress(gearmanConfig.listen));
        }
        subsystems.opened();
    }

    /** Begun with nothing known, it would refuse all that comes before discovery's first word. */
    private boolean serves() {
        return mayServe() && knowsEndpoints();
    }

    private boolean mayServe() {
        return !stopping && subsystems.isReady();
    }

    private boolean knowsEndpoints() {
        return watch == null
                || watch.isStartupWaitOver()
                        && (scheduler.endpoints().size() > 0 || counters.get("discovery.lists") > 0);
    }

    /**
     * Where another process serves in its place, the scheduler stays ready whichever of them is asked. One that knows
     * no endpoint for long asks for clients all the same: a refusal tells them when to come back, a closed door
     * nothing. It takes no other process's place by that, as only {@link #serves} allows.
     */
    private boolean isReady() {
        boolean waitedLong = mayServe() && loop.micros() >= readyAtLatest;
        return (serves() || waitedLong || operations != null && operations.isSuperseded())
                && (operations == null || !operations.isDrained());
    }

    /** Another process has all its clients. */
    private void replaced() {
        if (!stopping) {
            exit();
        }
    }

    /** As with SIGTERM: the hook answers what was taken before the machine ends. */
    private void exit() {
        new Thread(() -> System.exit(0), "shutdown").start();
    }

    /** Runs the command until a signal ends it. */
    public static void run(Source source) throws IOException, WireException, InterruptedException {
        Setup setup = source.read();
        // Without a handler the machine ends on SIGHUP, and all that is open with it. Files are read off the
        // loop, one after the other: the last reading is of the newest file, however close signals come.
        ExecutorService reader = Threads.serialExecutor("reload");
        CompletableFuture<Serve> serving = new CompletableFuture<>();
        if (!HangupSignal.handle(() -> reader.execute(() -> serving.join().reload(source)))) {
            LOG.warn("SIGHUP is ignored, as under nohup: a moved discovery will not be followed");
        }
        // The machine ends when its hooks have returned. It is there before anybody is let in: a signal that
        // came first would end it amid what it has just taken.
        Runtime.getRuntime().addShutdownHook(ending(serving));
        Serve serve;
        try {
            serve = new Serve(setup, ProcessEnvironment.of(System.getenv()));
        } catch (IOException | InterruptedException | RuntimeException e) {
            serving.completeExceptionally(e);
            throw e;
        }
        serving.complete(serve);
        if (serve.gearman != null) {
            serve.gearman.onShutdownCommand(serve::exit);
        }
        serve.drained.await();
    }

    /** Waits until the scheduler stands, if it ever does, and then until all that was taken is answered. */
    static Thread ending(CompletableFuture<Serve> serving) {
        return new Thread(
                () -> {
                    try {
                        serving.get(LONGEST_DRAIN_S, TimeUnit.SECONDS).stop();
                    } catch (ExecutionException | TimeoutException e) {
                        LOG.debug("it never stood: nothing was taken", e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "drain");
    }

    /**
     * Reads the configuration again, on the caller's thread, and follows discovery to where it is now. What
     * can't be read changes nothing, and no open request is touched.
     */
    public void reload(Source source) {
        try {
            String discovery = source.read().config().discoveryAddress;
            if (watch == null || discovery == null) {
                LOG.warn("read again: there is no discovery to follow, nothing changes");
                return;
            }
            Loop.parseAddress(discovery);
            loop.later(() -> watch.moveTo(discovery));
        } catch (IOException | WireException | RuntimeException e) {
            LOG.warn("the configuration stays as it was: {}", e.getMessage());
        }
    }

    /** Ends at once, as a machine does that loses its power: nothing more is answered or written. */
    public void halt() throws InterruptedException {
        loop.stop();
        subsystems.halt();
    }

    public HttpFront front() {
        return front;
    }

    public GearmanFront gearman() {
        return gearman;
    }

    /** Where operators ask, or null where that is the clients' port. */
    public OperatorPort operators() {
        return subsystems.port();
    }

    /** The second address, or null. */
    public Operations operations() {
        return operations;
    }

    public Loop loop() {
        return loop;
    }

    public Scheduler scheduler() {
        return scheduler;
    }

    /** Answers all that was and is still taken, then ends. */
    public void stop() {
        stop(scheduler::hasArrivalSurge);
    }

    /** The same; the condition tells whether its clients may have nobody else yet, and are served on. */
    public void stop(BooleanSupplier last) {
        try {
            loop.call(() -> drain(last.getAsBoolean()));
            if (!drained.await(LONGEST_DRAIN_S, TimeUnit.SECONDS)) {
                LOG.warn("not all answered: {}", scheduler.openRequests());
            }
            String[] line = new String[1];
            loop.call(() -> line[0] = counters.line());
            subsystems.close();
            LOG.info("{}", line[0]);
            loop.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain(boolean last) {
        if (stopping) {
            return;
        }
        stopping = true;
        counters.add("stop.begun");
        LOG.info("stopping, {} open; {}", scheduler.openRequests(), counters.line());
        double longest = 0;
        for (JobClass type : scheduler.settings().classes) {
            longest = Math.max(longest, type.deadline);
        }
        long now = loop.micros();
        long kill = now + (long) (Math.min(longest, LONGEST_WAIT_S) * 1e6) + KILL_AFTER;
        loop.deadlines().at(now + ACCEPT_ON, this::stopAccepting);
        // Who has just taken over another's clients may be the last of its zone: they have nobody else yet.
        // Others send theirs away early, so that they are at home elsewhere before the next one stops.
        counters.add(last ? "stop.as_last" : "stop.early");
        // Where another process has taken over, clients leave with their answers, and there is time for it.
        boolean slowly = last || operations != null && operations.isSuperseded();
        long leaveAt = slowly ? Math.max(now + ACCEPT_ON, kill - LEAVE_BEFORE) : now + ACCEPT_ON;
        loop.deadlines().at(leaveAt, this::leave);
        loop.deadlines().at(Math.max(now + STAY_ON, kill - ANSWER_BEFORE), () -> giveUp(now + ACCEPT_ON));
        subsystems.drain();
        loop.deadlines().at(now + STAY_ON, this::drainedYet);
    }

    private void giveUp(long since) {
        subsystems.letGo();
        // What is read behind an answer that is given now would be unanswered at the kill.
        front.refuseNewRequests();
        scheduler.abandonSince(since);
    }

    private void stopAccepting() {
        front.stopAccepting();
        if (gearman != null) {
            gearman.stopAccepting();
        }
    }

    /** Until here kept connections are served on. */
    private void leave() {
        leaving = true;
        front.drain();
        if (gearman != null) {
            gearman.drain();
        }
    }

    private void drainedYet() {
        boolean alone = leaving || front.hasNoClients() && gearman == null;
        if (alone
                && !subsystems.isOwed()
                && scheduler.openRequests() == 0
                && front.busyConnections() == 0
                && (gearman == null || gearman.unflushedConnections() == 0)) {
            drained.countDown();
        } else {
            loop.deadlines().at(loop.micros() + LOOK_AGAIN, this::drainedYet);
        }
    }
}
