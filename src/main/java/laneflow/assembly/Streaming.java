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

/** Streamed configuration, as part of the assembly. */
final class Streaming implements Subsystem {
    private static final Logger LOG = LoggerFactory.getLogger(Streaming.class);
    private static final int MOST_QUEUED = 512;

    private final Setup setup;
    private final Subsystems.Core core;
    /** Null where there are no durable jobs. */
    private final Durability durability;
    /** Null where there is no operators' port. */
    private final OperatorPort port;

    Streaming(Setup setup, Subsystems.Core core, Durability durability) {
        this.setup = setup;
        this.core = core;
        this.durability = durability;
        port = setup.control().listen == null ? null : new OperatorPort(core.loop());
    }

    /** Runs the last good versions, where they are kept, and asks for the newest. */
    @Override
    public void opened() throws IOException, InterruptedException {
        ControlConfig config = setup.control();
        String token = Token.read(config.tokenFile);
        if (config.folder != null) {
            Files.createDirectories(config.folder);
        }
        Map<ResourceType, LastGood> types = new LinkedHashMap<>();
        Map<String, LastGood.SavedVersion> kept = new LinkedHashMap<>();
        for (ResourceType type : StreamedTypes.all(setup, new Live())) {
            LastGood file = config.folder == null ? null : new LastGood(config.folder, type.name());
            types.put(type, file);
            LastGood.SavedVersion found = file == null ? null : PersistedSettings.read(file);
            if (found != null) {
                kept.put(type.name(), found);
            }
        }
        ControlClient.Context around = new ControlClient.Context(
                setup.config().name,
                token,
                List.of(setup.config().classNames),
                thread("config-reader"),
                thread("config-files"),
                System::currentTimeMillis,
                new SecureRandom().nextLong());
        core.loop().call(() -> {
            ControlClient client = new ControlClient(core.loop(), core.scheduler(), config, around, types);
            setup.notStreamed().forEach(client::rejectType);
            BiConsumer<String, Supplier<String>> reports = port == null ? core.front()::addReport : port::addReport;
            reports.accept("/config", client::report);
            reports.accept("/config/history", client::history);
            if (port != null) {
                port.addReport("/counters", core.scheduler().counters()::text);
            }
            if (config.tellVersions) {
                core.front().setVersionHeaders(client::versions);
            }
            kept.forEach(client::startFrom);
            client.begin();
        });
        if (port != null) {
            port.listen(Loop.parseAddress(config.listen));
        }
    }

    /** Where operators ask, or null. */
    OperatorPort port() {
        return port;
    }

    /** One task after the other, with a bound: a disk that hangs must not fill the memory. */
    private static ExecutorService thread(String name) {
        return new ThreadPoolExecutor(
                1,
                1,
                0,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(MOST_QUEUED),
                task -> Threads.daemon(task, name),
                (task, executor) -> LOG.error("{}: too much waits already, a task is dropped", name));
    }

    /** Adopting, with the parts that run. */
    private final class Live implements StreamedTypes.Adopters {
        @Override
        public StagedUpdate replacement(List<Entry> entries, Set<String> named) {
            return core.scheduler().stageUpdate(core.connector(), entries, named);
        }

        @Override
        public List<String> functions(GearmanConfig read) {
            return core.gearman().adopt(read);
        }

        @Override
        public List<String> durable(DurableConfig read) {
            return durability.adopt(read);
        }
    }
}
