package laneflow;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ExecutorService;
import laneflow.control.ResourceType;
import laneflow.control.SettingTypes;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.Settings;
import laneflow.fleet.Fleet;
import laneflow.fleet.FleetConfig;
import laneflow.http.Config;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.policy.PolicyPart;
import laneflow.policy.PolicyTypes;

/** What schedulers do together, as part of the assembly: a scheduler by itself loads none of it. */
final class Together {
    private static final String CLOCK_RATE = "laneflow.lab.clock_rate";
    private static final String LIBRARY_LOG = "org.slf4j.simpleLogger.log.io.microraft";

    private final Loop loop;
    private final Fleet fleet;
    /** Null where no policy is decided together. */
    private final PolicyPart policy;

    /** Links this scheduler with the others; before clients are let in. */
    Together(Setup setup, Loop loop, Scheduler scheduler) throws IOException, InterruptedException {
        this.loop = loop;
        if (System.getProperty(LIBRARY_LOG) == null) {
            // It tells every step of an election; what matters of them is told by the policy's own log.
            System.setProperty(LIBRARY_LOG, "warn");
        }
        FleetConfig config = setup.fleet();
        byte[] life = new byte[6];
        SecureRandom random = new SecureRandom();
        random.nextBytes(life);
        String build = Together.class.getPackage().getImplementationVersion();
        fleet = new Fleet(loop, config, new Fleet.Self(config.name, HexFormat.of().formatHex(life),
                build == null ? "" : build), Token.read(config.tokenFile), scheduler.counters(),
                random.nextLong());
        // Outside tests clocks run as they run.
        double clockRate = Double.parseDouble(System.getProperty(CLOCK_RATE, "1"));
        ExecutorService reading = Threads.inOrder("policy-reader");
        policy = setup.policy() == null ? null : new PolicyPart(new PolicyPart.Given(loop, fleet, scheduler,
                setup.policy(), bans -> types(setup, bans), List.of(setup.config().classNames), reading,
                random.nextLong(), clockRate));
        fleet.listen();
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
        all.add(bans);
        all.removeIf(type -> setup.fixed().containsKey(type.name()));
        return new PolicyTypes(all, setup.fixed());
    }

    /** Whether clients may be asked for; on the loop. */
    boolean isReady() {
        return policy == null || policy.isReady();
    }

    /** On the loop. */
    String stamp(int epoch) {
        return policy == null ? "" : policy.stamp(epoch);
    }

    /** All is answered: the others need not wait for this process. */
    void close() throws InterruptedException {
        if (policy != null) {
            loop.call(policy::leave);
            policy.close();
        }
        loop.call(fleet::close);
    }
}
