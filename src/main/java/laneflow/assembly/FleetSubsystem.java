package laneflow.assembly;

import java.io.IOException;
import java.net.BindException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.LockSupport;
import laneflow.capacity.CapacitySubsystem;
import laneflow.control.ResourceType;
import laneflow.control.SettingTypes;
import laneflow.core.Counters;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.Settings;
import laneflow.fleet.Fleet;
import laneflow.fleet.FleetConfig;
import laneflow.http.Config;
import laneflow.maintenance.MaintenanceExtension;
import laneflow.maintenance.MaintenanceSubsystem;
import laneflow.maintenance.decision.WindowLedger;
import laneflow.membership.Members;
import laneflow.membership.decision.MemberMetadata;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.policy.PolicySubsystem;
import laneflow.policy.PolicyTypes;
import laneflow.task.Hooks;
import laneflow.task.Recovery;
import laneflow.task.Tasks;
import laneflow.task.decision.TaskTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The subsystem of a fleet: links to other schedulers, membership, policy, tasks, capacity and maintenance.
 * A scheduler without {@code [fleet]} loads none of its classes.
 */
final class FleetSubsystem implements Subsystem {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSubsystem.class);
    private static final long BIND_RETRY_NS = 20_000_000;
    private static final String CLOCK_RATE_PROPERTY = "laneflow.lab.clock_rate";
    /** True runs fleet work on the traffic loop instead of a thread of its own, to measure what that costs. */
    private static final String SINGLE_LOOP_PROPERTY = "laneflow.lab.one_loop";
    /** Connections reserved for schedulers that the configuration does not name yet, and for operators. */
    private static final int SPARE_LINKS = 16;

    private static final String MICRORAFT_LOG_PROPERTY = "org.slf4j.simpleLogger.log.io.microraft";

    private final Subsystems.Core core;
    private final boolean reportsPolicy;
    /** The loop of the control thread, on which all messages between schedulers are sent and received. */
    private final Loop control;

    private final Counters counters;
    private final Fleet fleet;
    /** Null without {@code [members]}. */
    private final Members members;

    private volatile boolean closed;
    private boolean listening;
    /** Accessed on the traffic loop only. */
    private boolean draining;
    /** Null without {@code [capacity]}. */
    private final CapacitySubsystem capacity;
    /** Null without {@code [policy]}. */
    private final PolicySubsystem policy;
    /** Null without {@code [policy]}. */
    private final Tasks tasks;
    /** Null where jobs of a dead scheduler are adopted with the {@code jobs adopt} command only. */
    private final Recovery recovery;
    /** Null without {@code [tasks]}. */
    private final Hooks hooks;
    /** Null without {@code [policy]}. */
    private final MaintenanceSubsystem maintenance;

    /**
     * Links this scheduler with the others; called before clients can connect.
     *
     * @param durability null where durable jobs are off
     */
    FleetSubsystem(Setup setup, Subsystems.Core core, Durability durability) throws IOException, InterruptedException {
        this.core = core;
        reportsPolicy = setup.policy() != null && setup.policy().tellsPolicy;
        FleetConfig config = setup.fleet();
        control = Boolean.getBoolean(SINGLE_LOOP_PROPERTY)
                ? core.loop()
                : new Loop("control", config.peers.size() + SPARE_LINKS, true);
        counters = new Counters();
        Loop loop = control;
        Scheduler scheduler = core.scheduler();
        if (System.getProperty(MICRORAFT_LOG_PROPERTY) == null) {
            // MicroRaft logs every step of an election at info; the policy subsystem logs the results itself.
            System.setProperty(MICRORAFT_LOG_PROPERTY, "warn");
        }
        byte[] generation = new byte[6];
        SecureRandom random = new SecureRandom();
        random.nextBytes(generation);
        String build = FleetSubsystem.class.getPackage().getImplementationVersion();
        fleet = new Fleet(
                loop,
                config,
                new Fleet.Self(config.name, HexFormat.of().formatHex(generation), build == null ? "" : build),
                Token.read(config.tokenFile),
                counters,
                random.nextLong());
        loop.call(() -> fleet.serve(
                "/counters",
                (verb, path, body, answer) -> core.loop().later(() -> {
                    String traffic = scheduler.counters().text();
                    control.later(() -> answer.respond(200, "text/plain", "", mergeCounters(traffic)));
                })));
        // Only tests and measurements set another rate than 1.
        double clockRate = Double.parseDouble(System.getProperty(CLOCK_RATE_PROPERTY, "1"));
        tasks = setup.policy() == null ? null : new Tasks(loop, fleet, counters);
        MaintenanceExtension maintenanceExtension = setup.policy() == null
                ? null
                : new MaintenanceExtension(
                        loop, core.loop(), scheduler, counters, () -> policyInForce(), setup.maintenance());
        ExecutorService fileReader = Threads.serialExecutor("policy-reader");
        policy = setup.policy() == null
                ? null
                : new PolicySubsystem(new PolicySubsystem.Dependencies(
                        loop,
                        core.loop(),
                        fleet,
                        scheduler,
                        counters,
                        setup.policy(),
                        bans -> policyTypes(setup, bans),
                        List.of(setup.config().classNames),
                        fileReader,
                        random.nextLong(),
                        clockRate,
                        core.upgrade(),
                        Map.of(TaskTable.NAME, new TaskTable(), WindowLedger.NAME, new WindowLedger()),
                        List.of(tasks, maintenanceExtension)));
        maintenance = maintenanceExtension == null ? null : createMaintenance(setup, maintenanceExtension);
        hooks = setup.tasks() == null
                ? null
                : new Hooks(loop, tasks, counters, fleet.self().id(), setup.tasks().hooks);
        recovery = setup.tasks() == null || setup.tasks().stores == null
                ? null
                : new Recovery(loop, tasks, scheduler.counters(), durability.jobs(), setup.tasks(), config.name);
        members = setup.members() == null ? null : createMembers(setup, fileReader, random.nextLong());
        capacity = setup.capacity() == null
                ? null
                : new CapacitySubsystem(
                        loop,
                        core.loop(),
                        counters,
                        scheduler,
                        fleet,
                        members,
                        setup.capacity(),
                        setup.config().zones,
                        random.nextLong());
        listen();
    }

    private MaintenanceSubsystem createMaintenance(Setup setup, MaintenanceExtension maintenanceExtension)
            throws InterruptedException {
        MaintenanceSubsystem[] created = new MaintenanceSubsystem[1];
        control.call(() -> created[0] =
                new MaintenanceSubsystem(control, fleet, tasks, counters, maintenanceExtension, setup.maintenance()));
        return created[0];
    }

    /** The number of the policy in force, or -1. Called on the traffic loop, also before {@code policy} is set. */
    private long policyInForce() {
        return policy == null ? -1 : policy.policyNumber();
    }

    private Members createMembers(Setup setup, ExecutorService fileReader, long seed)
            throws IOException, InterruptedException {
        Config config = setup.config();
        Scheduler scheduler = core.scheduler();
        return new Members(new Members.Dependencies(
                control,
                core.loop(),
                fleet,
                setup.members(),
                counters,
                config.zones.isEmpty() ? "" : config.zones.get(config.settings.zone),
                () -> new Members.RequestStatus(
                        policy == null ? -1 : policy.policyNumber(),
                        condition(),
                        scheduler.openRequests() / (double) config.maxSockets,
                        servedRequests(scheduler)),
                fileReader,
                seed));
    }

    /** Merges the counters of the traffic loop with those of the control loop, sorted by name. */
    private String mergeCounters(String traffic) {
        TreeSet<String> counterLines = new TreeSet<>(List.of(traffic.split("\n")));
        counterLines.addAll(List.of(counters.text().split("\n")));
        return String.join("\n", counterLines) + "\n";
    }

    private MemberMetadata.Condition condition() {
        if (policy != null && !policy.isReady() && !draining) {
            return MemberMetadata.Condition.FENCED;
        }
        return draining || !core.front().isReady() ? MemberMetadata.Condition.DRAINING : MemberMetadata.Condition.READY;
    }

    private static long servedRequests(Scheduler scheduler) {
        long total = 0;
        for (long[] counts : scheduler.countsByClass()) {
            total += counts[Scheduler.ACCEPTED] - counts[Scheduler.FAILED] - counts[Scheduler.REFUSED];
        }
        return total;
    }

    private void listen() throws IOException, InterruptedException {
        try {
            listenAndJoin();
        } catch (BindException e) {
            if (!core.upgrade()) {
                throw e;
            }
            LOG.info("fleet: the address is in use; listening once the previous process has ended");
            Threads.daemon(this::listenOnceFree, "fleet-address").start();
        }
    }

    private void listenAndJoin() throws IOException, InterruptedException {
        if (!listening) {
            fleet.listen();
            listening = true;
        }
        if (members != null) {
            // After listening: this process joins only once the previous one has released the address.
            members.join();
            if (capacity != null) {
                control.call(capacity::begin);
            }
        }
    }

    /** Retries on its own thread until the previous process, which holds the address in an upgrade, has ended. */
    private void listenOnceFree() {
        while (!closed) {
            try {
                listenAndJoin();
                return;
            } catch (BindException e) {
                LockSupport.parkNanos(BIND_RETRY_NS);
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RejectedExecutionException e) {
                LOG.error("fleet: can't listen for other schedulers: {}", e.getMessage());
                return;
            }
        }
    }

    /** The resource types that a policy may contain on this scheduler. */
    static PolicyTypes policyTypes(Setup setup, ResourceType bans) {
        Config config = setup.config();
        Settings settings = config.settings;
        List<ResourceType> types = new ArrayList<>();
        types.add(SettingTypes.classes(settings, List.of(config.classNames)));
        try {
            types.add(SettingTypes.limits(settings, config, StreamedTypes.processLimits()));
        } catch (IOException e) {
            throw new IllegalStateException("the limits of this process can't be read", e);
        }
        types.add(SettingTypes.module(settings));
        types.add(bans);
        types.removeIf(type -> setup.fixed().containsKey(type.name()));
        return new PolicyTypes(types, setup.fixed());
    }

    @Override
    public void start() throws InterruptedException {
        if (reportsPolicy) {
            core.loop().call(() -> core.front().setVersionHeaders(policy::versionOfEpoch));
        }
        if (hooks != null) {
            control.call(hooks::begin);
        }
        if (maintenance != null) {
            control.call(maintenance::begin);
        }
        if (recovery != null) {
            recovery.begin();
        }
    }

    @Override
    public void drain() {
        draining = true;
        if (tasks != null) {
            control.later(tasks::drain);
        }
        if (members != null) {
            members.statusChanged();
        }
    }

    @Override
    public boolean isReady() {
        return policy == null || policy.isReady();
    }

    /** Leaves the fleet in order, so that the other schedulers need not wait for a timeout. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        if (recovery != null) {
            recovery.close();
        }
        if (hooks != null) {
            hooks.close();
        }
        if (maintenance != null) {
            control.call(maintenance::close);
        }
        if (members != null) {
            members.leave();
        }
        if (policy != null) {
            policy.stopDeciding();
            policy.close();
        }
        String[] counterLine = new String[1];
        control.call(() -> {
            fleet.close();
            counterLine[0] = counters.line();
        });
        LOG.info("fleet: {}", counterLine[0]);
        halt();
    }

    @Override
    public void halt() throws InterruptedException {
        if (control != core.loop()) {
            control.stop();
        }
    }
}
