package laneflow.assembly;

import java.io.IOException;
import java.nio.file.Files;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import laneflow.control.ControlClient;
import laneflow.control.ControlConfig;
import laneflow.control.LastGood;
import laneflow.control.ResourceType;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.StagedUpdate;
import laneflow.durable.DurableConfig;
import laneflow.gearman.GearmanConfig;
import laneflow.http.OperatorPort;
import laneflow.net.Loop;
import laneflow.net.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The subsystem of streamed configuration: runs the client of the control service and serves its reports. */
final class Streaming implements Subsystem {
    private static final Logger LOG = LoggerFactory.getLogger(Streaming.class);
    private static final int MAX_QUEUED_TASKS = 512;

    private final Setup setup;
    private final Subsystems.Core core;
    /** Null where durable jobs are off. */
    private final Durability durability;
    /** Null where operators use the clients' port. */
    private final OperatorPort port;

    private final ExecutorService reader = boundedExecutor("config-reader");
    /** Writes the last good versions and the history. */
    private final ExecutorService fileWriter = boundedExecutor("config-files");

    Streaming(Setup setup, Subsystems.Core core, Durability durability) {
        this.setup = setup;
        this.core = core;
        this.durability = durability;
        port = setup.control().listen == null ? null : new OperatorPort(core.loop());
    }

    /** Starts from the last good versions, where they were saved, and subscribes to newer ones. */
    @Override
    public void onServing() throws IOException, InterruptedException {
        ControlConfig config = setup.control();
        String token = Token.read(config.tokenFile);
        if (config.folder != null) {
            Files.createDirectories(config.folder);
        }
        Map<ResourceType, LastGood> lastGoodByType = new LinkedHashMap<>();
        Map<String, LastGood.SavedVersion> savedVersions = new LinkedHashMap<>();
        for (ResourceType type : StreamedTypes.all(setup, new LiveAdopters())) {
            LastGood lastGood = config.folder == null ? null : new LastGood(config.folder, type.name());
            lastGoodByType.put(type, lastGood);
            LastGood.SavedVersion savedVersion = lastGood == null ? null : PersistedSettings.read(lastGood);
            if (savedVersion != null) {
                savedVersions.put(type.name(), savedVersion);
            }
        }
        ControlClient.Context context = new ControlClient.Context(
                setup.config().name,
                token,
                List.of(setup.config().classNames),
                reader,
                fileWriter,
                System::currentTimeMillis,
                new SecureRandom().nextLong());
        core.loop().call(() -> {
            ControlClient client = new ControlClient(core.loop(), core.scheduler(), config, context, lastGoodByType);
            setup.notStreamed().forEach(client::rejectType);
            BiConsumer<String, Supplier<String>> registerReport =
                    port == null ? core.front()::addReport : port::addReport;
            registerReport.accept("/config", client::report);
            registerReport.accept("/config/history", client::history);
            if (port != null) {
                port.addReport("/counters", core.scheduler().counters()::text);
            }
            if (config.tellVersions) {
                core.front().setVersionHeaders(client::versions);
            }
            savedVersions.forEach(client::startFrom);
            client.begin();
        });
        if (port != null) {
            port.listen(Loop.parseAddress(config.listen));
        }
    }

    @Override
    public void close() throws InterruptedException {
        Threads.abort(reader);
        Threads.finish(fileWriter);
    }

    @Override
    public void halt() throws InterruptedException {
        Threads.abort(reader);
        Threads.abort(fileWriter);
    }

    /** The operators' port, or null. */
    OperatorPort port() {
        return port;
    }

    /** Creates a single-threaded executor with a bounded queue: a hanging disk must not exhaust memory. */
    private static ExecutorService boundedExecutor(String name) {
        return new ThreadPoolExecutor(
                1,
                1,
                0,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(MAX_QUEUED_TASKS),
                task -> Threads.daemon(task, name),
                (task, executor) -> onRejected(name, executor));
    }

    private static void onRejected(String name, ExecutorService executor) {
        if (executor.isShutdown()) {
            LOG.debug("{}: the scheduler ends, a task is dropped", name);
        } else {
            LOG.error("{}: the queue is full, a task is dropped", name);
        }
    }

    /** Applies resources to the running scheduler. */
    private final class LiveAdopters implements StreamedTypes.Adopters {
        @Override
        public StagedUpdate replacement(List<Entry> entries, Set<String> names) {
            return core.scheduler().stageUpdate(core.connector(), entries, names);
        }

        @Override
        public List<String> functions(GearmanConfig config) {
            return core.gearman().adopt(config);
        }

        @Override
        public List<String> durable(DurableConfig config) {
            return durability.updateConfig(config);
        }
    }
}
