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

/** What schedulers do together, as part of the assembly: a scheduler by itself loads none of it. */
final class FleetSubsystem implements Subsystem {
    private static final Logger LOG = LoggerFactory.getLogger(FleetSubsystem.class);
    private static final long AGAIN_NS = 20_000_000;
    private static final String CLOCK_RATE = "laneflow.lab.clock_rate";
    /** True to have all on the traffic's thread, for measurements of what that costs. */
    private static final String ONE_LOOP = "laneflow.lab.one_loop";
    /** Links to others that no file names yet, and operators that ask. */
    private static final int SPARE_LINKS = 16;

    private static final String LIBRARY_LOG = "org.slf4j.simpleLogger.log.io.microraft";

    private final Subsystems.Core core;
    private final boolean tellsPolicy;
    /** Of the control thread: whatever schedulers say to each other is heard and said there. */
    private final Loop control;

    private final Counters counters;
    private final Fleet fleet;
    /** Null where no view is kept. */
    private final Members members;

    private volatile boolean closed;
    private boolean listens;
    /** On the loop. */
    private boolean draining;
    /** Null where nobody tells of free capacity. */
    private final CapacitySubsystem capacity;
    /** Null where no policy is decided together. */
    private final PolicySubsystem policy;
    /** Null where no policy is decided together. */
    private final Tasks tasks;
    /** Null where dead schedulers' jobs are adopted by hand. */
    private final Recovery recovery;
    /** Null where the fleet calls nothing. */
    private final Hooks hooks;
    /** Null where no policy is decided together. */
    private final MaintenanceSubsystem maintenance;

    /**
     * Links this scheduler with the others; before clients are let in.
     *
     * @param durability null where no jobs are kept
     */
    FleetSubsystem(Setup setup, Subsystems.Core core, Durability durability) throws IOException, InterruptedException {
        this.core = core;
        tellsPolicy = setup.policy() != null && setup.policy().tellsPolicy;
        FleetConfig config = setup.fleet();
        control = Boolean.getBoolean(ONE_LOOP)
                ? core.loop()
                : new Loop("control", config.peers.size() + SPARE_LINKS, true);
        counters = new Counters();
        Loop loop = control;
        Scheduler scheduler = core.scheduler();
        if (System.getProperty(LIBRARY_LOG) == null) {
            // It tells every step of an election; what matters of them is told by the policy's own log.
            System.setProperty(LIBRARY_LOG, "warn");
        }
        byte[] life = new byte[6];
        SecureRandom random = new SecureRandom();
        random.nextBytes(life);
        String build = FleetSubsystem.class.getPackage().getImplementationVersion();
        fleet = new Fleet(
                loop,
                config,
                new Fleet.Self(config.name, HexFormat.of().formatHex(life), build == null ? "" : build),
                Token.read(config.tokenFile),
                counters,
                random.nextLong());
        loop.call(() -> fleet.serve(
                "/counters",
                (verb, path, body, answer) -> core.loop().later(() -> {
                    String traffic = scheduler.counters().text();
                    control.later(() -> answer.respond(200, "text/plain", "", both(traffic)));
                })));
        // Outside tests clocks run as they run.
        double clockRate = Double.parseDouble(System.getProperty(CLOCK_RATE, "1"));
        tasks = setup.policy() == null ? null : new Tasks(loop, fleet, counters);
        MaintenanceExtension windows = setup.policy() == null
                ? null
                : new MaintenanceExtension(
                        loop, core.loop(), scheduler, counters, () -> policyInForce(), setup.maintenance());
        ExecutorService reading = Threads.serialExecutor("policy-reader");
        policy = setup.policy() == null
                ? null
                : new PolicySubsystem(new PolicySubsystem.Dependencies(
                        loop,
                        core.loop(),
                        fleet,
                        scheduler,
                        counters,
                        setup.policy(),
                        bans -> types(setup, bans),
                        List.of(setup.config().classNames),
                        reading,
                        random.nextLong(),
                        clockRate,
                        core.upgrade(),
                        Map.of(TaskTable.NAME, new TaskTable(), WindowLedger.NAME, new WindowLedger()),
                        List.of(tasks, windows)));
        maintenance = windows == null ? null : maintenance(setup, windows);
        hooks = setup.tasks() == null
                ? null
                : new Hooks(loop, tasks, counters, fleet.self().id(), setup.tasks().hooks);
        recovery = setup.tasks() == null || setup.tasks().stores == null
                ? null
                : new Recovery(loop, tasks, scheduler.counters(), durability.jobs(), setup.tasks(), config.name);
        members = setup.members() == null ? null : members(setup, reading, random.nextLong());
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

    private MaintenanceSubsystem maintenance(Setup setup, MaintenanceExtension windows) throws InterruptedException {
        MaintenanceSubsystem[] made = new MaintenanceSubsystem[1];
        control.call(() ->
                made[0] = new MaintenanceSubsystem(control, fleet, tasks, counters, windows, setup.maintenance()));
        return made[0];
    }

    /** On the traffic's thread; nothing is while this is still being made. */
    private long policyInForce() {
        return policy == null ? -1 : policy.policyNumber();
    }

    private Members members(Setup setup, ExecutorService reading, long seed) throws IOException, InterruptedException {
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
                        served(scheduler)),
                reading,
                seed));
    }

    /** Both threads' counters, in order of their names. */
    private String both(String traffic) {
        TreeSet<String> lines = new TreeSet<>(List.of(traffic.split("\n")));
        lines.addAll(List.of(counters.text().split("\n")));
        return String.join("\n", lines) + "\n";
    }

    private MemberMetadata.Condition condition() {
        if (policy != null && !policy.isReady() && !draining) {
            return MemberMetadata.Condition.FENCED;
        }
        return draining || !core.front().isReady() ? MemberMetadata.Condition.DRAINING : MemberMetadata.Condition.READY;
    }

    private static long served(Scheduler scheduler) {
        long all = 0;
        for (long[] row : scheduler.countsByClass()) {
            all += row[Scheduler.ACCEPTED] - row[Scheduler.FAILED] - row[Scheduler.REFUSED];
        }
        return all;
    }

    private void listen() throws IOException, InterruptedException {
        try {
            listenNow();
        } catch (BindException e) {
            if (!core.upgrade()) {
                throw e;
            }
            LOG.info("other schedulers can come as soon as the process before this one has ended");
            Threads.daemon(this::listenLater, "fleet-address").start();
        }
    }

    private void listenNow() throws IOException, InterruptedException {
        if (!listens) {
            fleet.listen();
            listens = true;
        }
        if (members != null) {
            // The last, so that a life begins only where the former one of this place has ended.
            members.join();
            if (capacity != null) {
                control.call(capacity::begin);
            }
        }
    }

    /** In an upgrade the address is the former process's until that ends. On a thread of its own. */
    private void listenLater() {
        while (!closed) {
            try {
                listenNow();
                return;
            } catch (BindException e) {
                LockSupport.parkNanos(AGAIN_NS);
            } catch (InterruptedException e) {
                return;
            } catch (IOException | RejectedExecutionException e) {
                LOG.error("fleet: other schedulers can't come here: {}", e.getMessage());
                return;
            }
        }
    }

    /** The types that a policy may hold here. */
    static PolicyTypes types(Setup setup, ResourceType bans) {
        Config config = setup.config();
        Settings settings = config.settings;
        List<ResourceType> all = new ArrayList<>();
        all.add(SettingTypes.classes(settings, List.of(config.classNames)));
        try {
            all.add(SettingTypes.limits(settings, config, StreamedTypes.ceilings()));
        } catch (IOException e) {
            throw new IllegalStateException("what this process may have can't be read", e);
        }
        all.add(SettingTypes.module(settings));
        all.add(bans);
        all.removeIf(type -> setup.fixed().containsKey(type.name()));
        return new PolicyTypes(all, setup.fixed());
    }

    @Override
    public void begin() throws InterruptedException {
        if (tellsPolicy) {
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

    /** The others need not wait for this process. */
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
        String[] line = new String[1];
        control.call(() -> {
            fleet.close();
            line[0] = counters.line();
        });
        LOG.info("together: {}", line[0]);
        halt();
    }

    @Override
    public void halt() throws InterruptedException {
        if (control != core.loop()) {
            control.stop();
        }
    }
}
