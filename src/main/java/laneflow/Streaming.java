package laneflow;

import java.io.IOException;
import java.nio.file.Files;
import java.security.SecureRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import laneflow.control.ControlClient;
import laneflow.control.ControlConfig;
import laneflow.control.LastGood;
import laneflow.core.Carrier;
import laneflow.core.Scheduler;
import laneflow.http.HttpFront;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Streamed configuration's part of the assembly, apart so that a scheduler without it loads none of it. */
final class Streaming {
    private static final Logger LOG = LoggerFactory.getLogger(Streaming.class);

    private Streaming() {
    }

    /** Runs the last good version, if one is kept, and asks for the newest. */
    static void begin(Setup setup, Loop loop, Scheduler scheduler, Carrier carrier, HttpFront front)
            throws IOException, InterruptedException {
        ControlConfig config = setup.control();
        if (setup.config().discovery != null) {
            // Two sources of one set would undo each other's changes.
            LOG.warn("discovery names the endpoints here: no destination set is streamed");
            return;
        }
        String token = config.tokenFile == null ? null : Files.readString(config.tokenFile).strip();
        if (token != null && !token.matches("[!-~]{1,4096}")) {
            throw new IOException(config.tokenFile + ": holds no token: one word of visible characters");
        }
        if (config.folder != null) {
            Files.createDirectories(config.folder);
        }
        LastGood lastGood = config.folder == null ? null : new LastGood(config.folder, "destinations");
        LastGood.Kept kept = read(lastGood);
        ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "last-good");
            thread.setDaemon(true);
            return thread;
        });
        loop.call(() -> {
            ControlClient client = new ControlClient(loop, scheduler, carrier, config, setup.config().zones,
                    setup.config().name, token, lastGood, disk, System::currentTimeMillis,
                    new SecureRandom().nextLong());
            if (kept != null) {
                client.startFrom(kept);
            }
            client.begin();
            front.report("/config", client::report);
        });
    }

    private static LastGood.Kept read(LastGood lastGood) {
        try {
            return lastGood == null ? null : lastGood.read();
        } catch (IOException e) {
            LOG.error("config: the last good version is passed over: {}", e.getMessage());
            return null;
        }
    }
}
