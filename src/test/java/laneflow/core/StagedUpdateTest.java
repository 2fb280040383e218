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

/** Whole sets adopted in steps: nothing is to be seen before, all of it after. */
class StagedUpdateTest {
    private static final int NAMES = 300;

    private static final class Nobody implements Connector {
        @Override
        public void open(Attempt call) {}

        @Override
        public boolean close(Attempt call) {
            return false;
        }

        @Override
        public void probe(Endpoint endpoint) {}

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    private static List<Entry> draw(SplittableRandom random) {
        List<Entry> entries = new ArrayList<>();
        int share = random.nextInt(100);
        for (int i = 0; i < NAMES; i++) {
            if (random.nextInt(100) < share) {
                Entry entry = new Entry();
                entry.name = "e" + i;
                entry.dial = "127.0.0.1:" + (1 + random.nextInt(2));
                entry.state = random.nextInt(3) == 0 ? State.DRAINING : State.READY;
                entries.add(entry);
            }
        }
        return entries;
    }

    /** The live ones, and where they are called. */
    private static Map<String, String> live(Scheduler scheduler, Connector connector) {
        Map<String, String> live = new TreeMap<>();
        scheduler.endpoints().of(connector).stream()
                .filter(one -> one.state() == State.READY)
                .forEach(one -> live.put(one.name, one.dial));
        return live;
    }

    @Property(tries = 150, seed = "7")
    void anySequenceOfSetsHoldsWholeOrNotAtAll(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Settings settings = new Settings();
        settings.classes = new JobClass[] {new JobClass()};
        Scheduler scheduler = new Scheduler(settings, 1, () -> 5, new Deadlines(), new Counters());
        Connector connector = new Nobody();
        Connector other = new Nobody();
        // Of another source, and listed by this one too: it stays the other's.
        Entry foreign = new Entry();
        foreign.name = "e7";
        foreign.dial = "127.0.0.1:77";
        scheduler.list(other, false, List.of(foreign));
        Map<String, String> holds = new TreeMap<>();
        for (int version = 0; version < 5; version++) {
            List<Entry> entries = draw(random);
            Set<String> named = new HashSet<>();
            Map<String, State> all = new TreeMap<>();
            Map<String, String> next = new TreeMap<>();
            for (Entry entry : entries) {
                named.add(entry.name);
                if (!entry.name.equals("e7")) {
                    all.put(entry.name, entry.state);
                    if (entry.state == State.READY) {
                        next.put(entry.name, entry.dial);
                    }
                }
            }
            StagedUpdate replacement = scheduler.stageUpdate(connector, entries, named);
            // All steps, or only some of them: what is left is done with adopting.
            int most = random.nextInt(3) == 0 ? random.nextInt(5) : Integer.MAX_VALUE;
            for (int step = 0; step < most && replacement.step(); step++) {
                assertEquals(holds, live(scheduler, connector));
            }
            replacement.adopt();
            assertEquals(next, live(scheduler, connector));
            while (replacement.removeDrained()) {
                assertEquals(next, live(scheduler, connector));
            }
            Map<String, State> known = new TreeMap<>();
            scheduler.endpoints().of(connector).forEach(one -> known.put(one.name, one.state()));
            assertEquals(all, known);
            assertEquals("127.0.0.1:77", scheduler.endpoints().get("e7").dial);
            holds = next;
        }
    }
}
