package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import laneflow.core.EndpointSet.Entry;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Updates of the endpoint list, prepared in steps: nothing is visible before the adoption, everything after it. */
class StagedUpdateTest {
    private static final int NAMES = 300;

    private static final class NoOpConnector implements Connector {
        @Override
        public void open(Attempt attempt) {}

        @Override
        public boolean close(Attempt attempt) {
            return false;
        }

        @Override
        public void probe(Endpoint endpoint) {}

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    private static List<Entry> randomEntries(SplittableRandom random) {
        List<Entry> entries = new ArrayList<>();
        int percent = random.nextInt(100);
        for (int i = 0; i < NAMES; i++) {
            if (random.nextInt(100) < percent) {
                Entry entry = new Entry();
                entry.name = "e" + i;
                entry.dial = "127.0.0.1:" + (1 + random.nextInt(2));
                entry.state = random.nextInt(3) == 0 ? State.DRAINING : State.READY;
                entries.add(entry);
            }
        }
        return entries;
    }

    /** The addresses of the ready endpoints of a source, by name. */
    private static Map<String, String> readyAddresses(Scheduler scheduler, Connector connector) {
        Map<String, String> readyAddresses = new TreeMap<>();
        scheduler.endpoints().ofSource(connector).stream()
                .filter(endpoint -> endpoint.state() == State.READY)
                .forEach(endpoint -> readyAddresses.put(endpoint.name, endpoint.dial));
        return readyAddresses;
    }

    @Property(tries = 150, seed = "7")
    void anySequenceOfUpdatesIsAdoptedAsAWhole(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Settings settings = new Settings();
        settings.classes = new JobClass[] {new JobClass()};
        Scheduler scheduler = new Scheduler(settings, 1, () -> 5, new Deadlines(), new Counters());
        Connector connector = new NoOpConnector();
        Connector other = new NoOpConnector();
        // An endpoint that two sources list belongs to the one that listed it first.
        Entry foreign = new Entry();
        foreign.name = "e7";
        foreign.dial = "127.0.0.1:77";
        scheduler.list(other, false, List.of(foreign));
        Map<String, String> current = new TreeMap<>();
        for (int version = 0; version < 5; version++) {
            List<Entry> entries = randomEntries(random);
            Set<String> names = new HashSet<>();
            Map<String, State> expectedStates = new TreeMap<>();
            Map<String, String> next = new TreeMap<>();
            for (Entry entry : entries) {
                names.add(entry.name);
                if (!entry.name.equals("e7")) {
                    expectedStates.put(entry.name, entry.state);
                    if (entry.state == State.READY) {
                        next.put(entry.name, entry.dial);
                    }
                }
            }
            StagedUpdate update = scheduler.stageUpdate(connector, entries, names);
            // All steps or only some: adopt() does the remaining ones.
            int maxSteps = random.nextInt(3) == 0 ? random.nextInt(5) : Integer.MAX_VALUE;
            for (int step = 0; step < maxSteps && update.step(); step++) {
                assertEquals(current, readyAddresses(scheduler, connector));
            }
            update.adopt();
            assertEquals(next, readyAddresses(scheduler, connector));
            while (update.removeDrained()) {
                assertEquals(next, readyAddresses(scheduler, connector));
            }
            Map<String, State> states = new TreeMap<>();
            scheduler.endpoints().ofSource(connector).forEach(endpoint -> states.put(endpoint.name, endpoint.state()));
            assertEquals(expectedStates, states);
            assertEquals("127.0.0.1:77", scheduler.endpoints().get("e7").dial);
            current = next;
        }
    }
}
