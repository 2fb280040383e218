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
import laneflow.core.RequestIds;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.JobClass;
import laneflow.gearman.GearmanConfig;
import laneflow.gearman.GearmanFront;
import laneflow.http.Config;
import laneflow.http.DiscoveryWatch;
import laneflow.http.HttpConnector;
import laneflow.http.HttpFront;
import laneflow.http.OperatorPort;
import laneflow.net.FatalErrors;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.ops.Operations;
import laneflow.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running scheduler: the core, its fronts and connectors on one loop, from the start to the end of its drain. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    /** How long connections are accepted after a SIGTERM: clients keep connecting for up to 0.4 s. */
    private static final long ACCEPT_DURATION_US = 550_000;
    /** The shortest time from SIGTERM to the end of the process; requests that arrive in it are accepted. */
    private static final long MIN_DRAIN_US = 750_000;
    /** The SIGKILL follows the SIGTERM no sooner than after the longest deadline of any class, at most this long ... */
    private static final double KILL_WAIT_CAP_S = 3;
    /** ... plus this margin. */
    private static final long KILL_MARGIN_US = 700_000;
    /** How long before the SIGKILL open requests are abandoned, so that their clients still get an answer. */
    private static final long ANSWER_MARGIN_US = 300_000;
    /** How long before the SIGKILL clients that have connected stop waiting for room: they are still to be refused. */
    private static final long ADMISSION_MARGIN_US = 150_000;
    /** How long before the SIGKILL connections are drained: most requests accepted by then still complete. */
    private static final long DRAIN_MARGIN_US = 1_300_000;

    /**
     * Time after its start at which a process reports itself ready even if it knows no endpoint. The operators require
     * nine in ten processes to be ready within 10 s, and each within 30 s, however long discovery is unavailable.
     */
    private static final long READY_TIMEOUT_US = 9_000_000;

    private static final long DRAIN_POLL_US = 5_000;
    private static final long MAX_DRAIN_S = 30;

    private final Loop loop;
    private final Counters counters = new Counters();
    private final Scheduler scheduler;
    private final HttpFront front;
    /** Null where the Gearman front is off. */
    private final GearmanFront gearman;

    private final Subsystems subsystems;
    /** Null without discovery. */
    private final DiscoveryWatch watch;
    /** Null without a second address, for operations. */
    private final Operations operations;

    private final CountDownLatch drained = new CountDownLatch(1);
    /** From this instant on the scheduler is ready even if it knows no endpoint. Accessed on the loop only. */
    private long readyDeadlineUs = Long.MAX_VALUE;

    private boolean stopping;
    private boolean drainingConnections;

    /** Reads the configuration, at the start and again on SIGHUP. */
    public interface Source {
        Setup read() throws IOException, WireException;
    }

    /** Starts the scheduler; returns once clients can connect. */
    public Serve(Setup setup) throws IOException, InterruptedException {
        this(setup, ProcessEnvironment.NONE);
    }

    /** Starts the scheduler with settings from environment variables; returns once clients can connect. */
    public Serve(Setup setup, ProcessEnvironment environment) throws IOException, InterruptedException {
        Config config = setup.config();
        GearmanConfig gearmanConfig = setup.gearman();
        loop = new Loop(config.maxSockets);
        scheduler = new Scheduler(config.settings, config.seed, loop, loop.deadlines(), counters);
        scheduler.setMemory(loop.messageMemory().openRequests());
        scheduler.setRequestIds(RequestIds.ofHeap());
        HttpConnector connector = new HttpConnector(loop, scheduler, config.idleConnectionSeconds);
        front = new HttpFront(loop, scheduler, config.classNames);
        watch = config.discoveryAddress == null ? null : new DiscoveryWatch(loop, scheduler, connector, config);
        gearman = gearmanConfig == null ? null : new GearmanFront(loop, scheduler, gearmanConfig);
        subsystems = new Subsystems(
                setup, new Subsystems.Core(loop, scheduler, connector, front, gearman, environment.socketPassed()));
        loop.call(() -> {
            scheduler.start(connector, config.lastKnown.entries);
            if (watch != null) {
                watch.startWatch();
            }
            readyDeadlineUs = loop.micros() + READY_TIMEOUT_US;
            front.setReadiness(this::isReady);
        });
        String opsAddress = environment.opsAddress() != null ? environment.opsAddress() : config.opsAddress;
        operations = opsAddress == null && !environment.socketPassed()
                ? null
                : new Operations(
                        loop,
                        scheduler,
                        front,
                        environment.scratchFolder(),
                        environment.socketPassed(),
                        new Operations.ProcessState(this::canServe, () -> stopping, this::onReplaced));
        if (gearman != null) {
            connector.raiseMaxBody(gearmanConfig.maxBodyBytes);
        }
        subsystems.start();
        if (environment.socketPassed()) {
            front.listenOnPassedSocket();
            operations.begin(front);
        } else {
            front.listen(Loop.parseAddress(config.listen));
        }
        if (opsAddress != null) {
            operations.listen(Loop.parseAddress(opsAddress));
        }
        if (gearman != null) {
            gearman.listen(Loop.parseAddress(gearmanConfig.listen));
        }
        subsystems.onServing();
    }

    /** False until endpoints are known: before discovery's first list every request would be refused. */
    private boolean canServe() {
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
     * Whether the health check reports ready. A scheduler that another process has superseded stays ready, so that both
     * processes give the same answer. One that knows no endpoint for too long is ready all the same: a refusal tells
     * clients when to retry, a closed port does not. It still doesn't supersede another process, which only {@link
     * #canServe} allows.
     */
    private boolean isReady() {
        boolean waitedTooLong = mayServe() && loop.micros() >= readyDeadlineUs;
        return (canServe() || waitedTooLong || operations != null && operations.isSuperseded())
                && (operations == null || !operations.isDrained());
    }

    /** Called when another process has taken over all clients. */
    private void onReplaced() {
        if (!stopping) {
            exitAsync();
        }
    }

    /** Exits as on SIGTERM: the shutdown hook answers accepted requests before the JVM ends. */
    private void exitAsync() {
        new Thread(() -> System.exit(0), "shutdown").start();
    }

    /** Runs the scheduler until a signal ends the process. */
    public static void run(Source source) throws IOException, WireException, InterruptedException {
        FatalErrors.endProcessIfUncaught();
        Setup setup = source.read();
        // Without a handler a SIGHUP ends the JVM and loses all open requests. Configuration is read off the loop by
        // a single thread, so that the last of several signals reads the newest file.
        ExecutorService reader = Threads.serialExecutor("reload");
        CompletableFuture<Serve> startedServe = new CompletableFuture<>();
        if (!HangupSignal.handle(() -> reader.execute(() -> startedServe.join().reload(source)))) {
            LOG.warn("SIGHUP is ignored, as under nohup: a new discovery address can't be reloaded");
        }
        // The JVM ends when its shutdown hooks have returned. The hook is added before clients can connect: a signal
        // before that would end the process with accepted requests unanswered.
        Runtime.getRuntime().addShutdownHook(shutdownHook(startedServe));
        Serve serve;
        try {
            serve = new Serve(setup, ProcessEnvironment.of(System.getenv()));
        } catch (IOException | InterruptedException | RuntimeException e) {
            startedServe.completeExceptionally(e);
            throw e;
        }
        startedServe.complete(serve);
        if (serve.gearman != null) {
            serve.gearman.onShutdownCommand(serve::exitAsync);
        }
        serve.drained.await();
    }

    /** Creates the thread that waits for the start to complete or fail, then drains and stops the scheduler. */
    static Thread shutdownHook(CompletableFuture<Serve> startedServe) {
        return new Thread(
                () -> {
                    try {
                        startedServe.get(MAX_DRAIN_S, TimeUnit.SECONDS).stop();
                    } catch (ExecutionException | TimeoutException e) {
                        LOG.debug("the scheduler did not start: there is nothing to drain", e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "drain");
    }

    /**
     * Reads the configuration again, on the calling thread, and follows discovery to its new address. If it can't be
     * read, nothing changes. Open requests are not affected.
     */
    public void reload(Source source) {
        try {
            String discovery = source.read().config().discoveryAddress;
            if (watch == null || discovery == null) {
                LOG.warn("configuration reloaded: discovery is not configured, nothing changes");
                return;
            }
            Loop.parseAddress(discovery);
            loop.later(() -> watch.moveTo(discovery));
        } catch (IOException | WireException | RuntimeException e) {
            LOG.warn("the configuration can't be reloaded and stays as it was: {}", e.getMessage());
        }
    }

    /** Stops abruptly, as in a power failure: nothing more is answered or written. */
    public void halt() throws InterruptedException {
        loop.stop();
        subsystems.halt();
        if (operations != null) {
            operations.halt();
        }
    }

    public HttpFront front() {
        return front;
    }

    public GearmanFront gearman() {
        return gearman;
    }

    /** The operators' port, or null where operators use the clients' port. */
    public OperatorPort operatorPort() {
        return subsystems.port();
    }

    /** The server at the second address, or null. */
    public Operations operations() {
        return operations;
    }

    public Loop loop() {
        return loop;
    }

    public Scheduler scheduler() {
        return scheduler;
    }

    /** Drains the scheduler: answers all requests accepted before and during the drain, then stops. */
    public void stop() {
        stop(scheduler::hasArrivalSurge);
    }

    /**
     * Drains the scheduler and stops it.
     *
     * @param mayBeLastOfZone whether clients may have no other scheduler yet, and are served as long as possible
     */
    public void stop(BooleanSupplier mayBeLastOfZone) {
        try {
            loop.call(() -> drain(mayBeLastOfZone.getAsBoolean()));
            if (!drained.await(MAX_DRAIN_S, TimeUnit.SECONDS)) {
                LOG.warn("drain timed out, open requests: {}", scheduler.openRequests());
            }
            String[] counterLine = new String[1];
            loop.call(() -> counterLine[0] = counters.line());
            subsystems.close();
            if (operations != null) {
                operations.close();
            }
            LOG.info("{}", counterLine[0]);
            loop.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain(boolean mayBeLastOfZone) {
        if (stopping) {
            return;
        }
        stopping = true;
        counters.add("stop.begun");
        LOG.info("stopping, {} open; {}", scheduler.openRequests(), counters.line());
        double maxDeadlineS = 0;
        for (JobClass jobClass : scheduler.settings().classes) {
            maxDeadlineS = Math.max(maxDeadlineS, jobClass.deadline);
        }
        long nowUs = loop.micros();
        long killUs = nowUs + (long) (Math.min(maxDeadlineS, KILL_WAIT_CAP_S) * 1e6) + KILL_MARGIN_US;
        loop.deadlines().at(nowUs + ACCEPT_DURATION_US, () -> stopAccepting(killUs - ADMISSION_MARGIN_US));
        // A scheduler that has just taken over another one's clients may be the last of its zone: the clients have no
        // other one yet. Otherwise clients are sent away early, so that they settle elsewhere before the next scheduler
        // stops.
        counters.add(mayBeLastOfZone ? "stop.as_last" : "stop.early");
        // Where another process has superseded this one, there is time to let clients leave with their answers.
        boolean stopSlowly = mayBeLastOfZone || operations != null && operations.isSuperseded();
        long drainAtUs = stopSlowly
                ? Math.max(nowUs + ACCEPT_DURATION_US, killUs - DRAIN_MARGIN_US)
                : nowUs + ACCEPT_DURATION_US;
        loop.deadlines().at(drainAtUs, this::drainConnections);
        loop.deadlines()
                .at(
                        Math.max(nowUs + MIN_DRAIN_US, killUs - ANSWER_MARGIN_US),
                        () -> abandonOpenRequests(nowUs + ACCEPT_DURATION_US));
        subsystems.drain();
        loop.deadlines().at(nowUs + MIN_DRAIN_US, this::checkDrained);
    }

    private void abandonOpenRequests(long acceptedSince) {
        subsystems.abandonRunning();
        // A request that is read after this answer would still be open at the SIGKILL.
        front.refuseNewRequests();
        scheduler.abandonSince(acceptedSince);
    }

    private void stopAccepting(long deadlineUs) {
        front.stopAccepting(deadlineUs);
        if (gearman != null) {
            gearman.stopAccepting(deadlineUs);
        }
    }

    /** Begins to drain connections; until this is called, connections are kept alive. */
    private void drainConnections() {
        drainingConnections = true;
        front.drain();
        if (gearman != null) {
            gearman.drain();
        }
    }

    private void checkDrained() {
        boolean noClientsLeft = drainingConnections || front.hasNoClients() && gearman == null;
        if (noClientsLeft
                && !front.isClosingListener()
                && !subsystems.hasPendingAnswers()
                && scheduler.openRequests() == 0
                && front.busyConnections() == 0
                && (gearman == null || !gearman.isClosingListener() && gearman.unflushedConnections() == 0)) {
            drained.countDown();
        } else {
            loop.deadlines().at(loop.micros() + DRAIN_POLL_US, this::checkDrained);
        }
    }
}
