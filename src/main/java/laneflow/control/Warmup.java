package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import laneflow.config.AddressRange;
import laneflow.core.Attempt;
import laneflow.core.Connector;
import laneflow.core.Counters;
import laneflow.core.Deadlines;
import laneflow.core.Endpoint;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Settings;

/**
 * Warms up the JVM's code for reading and adopting destination sets, on the reading thread, with generated sets
 * and a scheduler that serves no requests. Code that is loaded and compiled by then reads a large set in a tenth
 * of the time: with 2,000 endpoints, the first set took 240 ms to read and 8.6 ms to adopt, the fifth 20 ms and
 * 2.2 ms. The work is split into parts, so that a line received meanwhile waits for one part only.
 */
final class Warmup {
    private static final int ENDPOINTS = 250;
    private static final int ROUNDS = 32;

    private final DestinationType type;
    private int round;

    Warmup() {
        Settings settings = new Settings();
        settings.classes = new JobClass[] {new JobClass()};
        Scheduler scratch = new Scheduler(settings, 1, () -> 0, new Deadlines(), new Counters());
        Connector connector = new UnusedConnector();
        type = new DestinationType(
                List.of("a"),
                List.of("c"),
                List.of(AddressRange.parse("127.0.0.0/8")),
                false,
                (entries, named) -> scratch.stageUpdate(connector, entries, named));
    }

    /** Runs one part; returns false once nothing is left to do. */
    boolean runPart() {
        // Large and small sets alternate, so that the removal of endpoints is warmed up as well.
        adopt(resources(round % 2 == 0 ? ENDPOINTS : 1));
        return ++round < ROUNDS;
    }

    private void adopt(String text) {
        ResourceType.ParsedResources parsed =
                type.read(JsonParser.parseString(text).getAsJsonArray());
        while (parsed.prepare()) {
            continue;
        }
        parsed.adopt();
        while (parsed.cleanUp()) {
            continue;
        }
    }

    private static String resources(int count) {
        JsonArray resources = new JsonArray();
        for (int i = 0; i < count; i++) {
            JsonObject resource = new JsonObject();
            resource.addProperty("name", "e-" + i);
            resource.addProperty("dial", "127.0.0.1:9");
            resource.addProperty("zone", "a");
            resource.addProperty("state", "ready");
            resource.addProperty("weight", 1);
            resources.add(resource);
        }
        return resources.toString();
    }

    /** A connector for endpoints that are never called. */
    private static final class UnusedConnector implements Connector {
        @Override
        public void open(Attempt call) {
            throw new IllegalStateException("the warm-up opens no attempts");
        }

        @Override
        public boolean close(Attempt call) {
            throw new IllegalStateException("the warm-up opens no attempts");
        }

        @Override
        public void probe(Endpoint endpoint) {
            // Nothing answers.
        }

        @Override
        public void closeIdle(Endpoint endpoint) {
            // Nothing is open.
        }
    }
}
