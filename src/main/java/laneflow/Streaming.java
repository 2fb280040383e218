package laneflow;

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
import laneflow.core.Carrier;
import laneflow.core.DestinationSet.Entry;
import laneflow.core.Replacement;
import laneflow.core.Scheduler;
import laneflow.durable.DurableConfig;
import laneflow.gearman.GearmanConfig;
import laneflow.gearman.GearmanFront;
import laneflow.http.HttpFront;
import laneflow.http.OperatorPort;
import laneflow.net.Loop;
import laneflow.net.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Streamed configuration's part of the assembly, apart so that a scheduler without it loads none of it. */
final class Streaming {
    private static final Logger LOG = LoggerFactory.getLogger(Streaming.class);
    private static final int MOST_QUEUED = 512;

    /** Null where there is no operators' port. */
    private final OperatorPort port;

    private Streaming(OperatorPort port) {
        this.port = port;
    }

    /** What of the scheduler versions can change. */
    record Parts(Loop loop, Scheduler scheduler, Carrier carrier, HttpFront front, GearmanFront gearman,
            Durability durability) {
    }

    /** Runs the last good versions, where they are kept, and asks for the newest. */
    static Streaming begin(Setup setup, Parts parts) throws IOException, InterruptedException {
        ControlConfig config = setup.control();
        String token = Token.read(config.tokenFile);
        if (config.folder != null) {
            Files.createDirectories(config.folder);
        }
        Map<ResourceType, LastGood> types = new LinkedHashMap<>();
        Map<String, LastGood.Kept> kept = new LinkedHashMap<>();
        for (ResourceType type : StreamedTypes.all(setup, new Live(parts))) {
            LastGood file = config.folder == null ? null : new LastGood(config.folder, type.name());
            types.put(type, file);
            LastGood.Kept found = file == null ? null : KeptSettings.read(file);
            if (found != null) {
                kept.put(type.name(), found);
            }
        }
        ControlClient.Surroundings around = new ControlClient.Surroundings(setup.config().name, token,
                List.of(setup.config().classNames), thread("config-reader"), thread("config-files"),
                System::currentTimeMillis, new SecureRandom().nextLong());
        OperatorPort port = config.listen == null ? null : new OperatorPort(parts.loop);
        parts.loop.call(() -> {
            ControlClient client = new ControlClient(parts.loop, parts.scheduler, config, around, types);
            setup.notStreamed().forEach(client::fix);
            BiConsumer<String, Supplier<String>> reports = port == null ? parts.front::report : port::report;
            reports.accept("/config", client::report);
            reports.accept("/config/history", client::history);
            if (port != null) {
                port.report("/counters", parts.scheduler.counters()::text);
            }
            if (config.tellVersions) {
                parts.front.tellVersions(client::versions);
            }
            kept.forEach(client::startFrom);
            client.begin();
        });
        if (port != null) {
            port.listen(Loop.address(config.listen));
        }
        return new Streaming(port);
    }

    /** Where operators ask, or null. */
    OperatorPort port() {
        return port;
    }

    /** One task after the other, with a bound: a disk that hangs must not fill the memory. */
    private static ExecutorService thread(String name) {
        return new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MOST_QUEUED),
                task -> Threads.daemon(task, name),
                (task, executor) -> LOG.error("{}: too much waits already, a task is dropped", name));
    }

    /** Adopting, with the parts that run. */
    private record Live(Parts parts) implements StreamedTypes.Adopters {
        @Override
        public Replacement replacement(List<Entry> entries, Set<String> named) {
            return parts.scheduler.replacement(parts.carrier, entries, named);
        }

        @Override
        public List<String> functions(GearmanConfig read) {
            return parts.gearman.adopt(read);
        }

        @Override
        public List<String> durable(DurableConfig read) {
            return parts.durability.adopt(read);
        }
    }
}
