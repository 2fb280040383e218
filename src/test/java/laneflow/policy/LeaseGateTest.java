package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import laneflow.assembly.Setup;
import laneflow.core.Counters;
import laneflow.net.Loop;
import laneflow.policy.LeaseGate.Published;
import laneflow.policy.decision.LeaseSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The lease where requests are taken, whatever the control thread does or leaves undone. */
class LeaseGateTest {
    @TempDir
    private Path folder;

    private final Counters counters = new Counters();
    private final List<String> events = new ArrayList<>();
    private final PolicyTypes types =
            new PolicyTypes(List.of(new BansType(names -> events.add("adopt " + names))), Map.of());
    private Loop traffic;
    private LeaseGate gate;
    /** On the traffic's thread, as the gate is. */
    private long now = 100;

    private Runnable amidClock = () -> {};

    private PolicyConfig config() throws Exception {
        Path file = folder.resolve("f.toml");
        Files.writeString(
                file,
                "name = \"n1\"\nlisten = \"127.0.0.1:0\"\n[classes.check]\n[fleet]\n"
                        + "listen = \"127.0.0.1:0\"\n[fleet.peers]\nn2 = \"127.0.0.1:1\"\n[policy]\nvoters = [\"n2\"]\n");
        return Setup.operators(file, null, null).policy();
    }

    @BeforeEach
    void make() throws Exception {
        PolicyConfig config = config();
        traffic = new Loop(128);
        traffic.call(() -> gate = new LeaseGate(
                traffic,
                counters,
                () -> 1,
                config,
                () -> {
                    long read = now;
                    amidClock.run();
                    return read;
                },
                (number, waits) -> events.add("told " + number)));
    }

    @AfterEach
    void end() throws InterruptedException {
        traffic.stop();
    }

    private Published holds(long number, long stop, long next, long nextStart, long nextStop) {
        PolicyTypes.Prepared own = types.read(new JsonObject());
        JsonObject bans = new JsonObject();
        JsonArray one = new JsonArray();
        one.add(JsonParser.parseString("{\"name\": \"till-3\"}"));
        bans.add("bans", one);
        return new Published(
                new LeaseSnapshot(number, stop, next, nextStart, nextStop, 0), Map.of(0L, own, 1L, types.read(bans)));
    }

    @Test
    void aLeaseEndsByTheClockThoughNothingMoreIsPublished() throws Exception {
        traffic.call(() -> {
            assertFalse(gate.mayDecide());
            gate.publish(holds(0, 200, -1, 0, 0));
            now = 199;
            assertTrue(gate.mayDecide());
            now = 200;
            assertFalse(gate.mayDecide());
            assertFalse(gate.isReady());
        });
    }

    @Test
    void aPolicyIsAdoptedByTheRequestThatComesFirstAndOnlyThenTold() throws Exception {
        traffic.call(() -> {
            gate.publish(holds(0, 150, 1, 160, 400));
            assertTrue(gate.mayDecide());
            now = 155;
            assertFalse(gate.mayDecide(), "by neither");
            assertEquals(List.of("adopt []", "told 0"), events);
            now = 160;
            assertTrue(gate.mayDecide());
            assertEquals(List.of("adopt []", "told 0", "adopt [till-3]", "told 1"), events);
            assertEquals(1, gate.policyNumber());
            assertEquals(10, counters.get("policy.fence_most_us"));
        });
    }

    /** A process that was slow to start reads its first grant when that has run out: the next one counts. */
    @Test
    void aPolicyBeginsWithTheFirstGrantThatStillHoldsThoughNobodyAsks() throws Exception {
        traffic.call(() -> gate.publish(holds(0, 90, -1, 0, 0)));
        traffic.call(() -> assertEquals(List.of(), events));
        traffic.call(() -> gate.publish(holds(0, 200, -1, 0, 0)));
        traffic.call(() -> assertEquals(List.of("adopt []", "told 0"), events));
        traffic.call(() -> gate.publish(holds(0, 300, -1, 0, 0)));
        traffic.call(() -> assertEquals(List.of("adopt []", "told 0"), events, "a renewal adopts nothing anew"));
    }

    /** The control thread publishes an earlier end, and says so, right behind a request's look at the clock. */
    @Test
    void whatIsPublishedBehindTheClockIsSeen() throws Exception {
        traffic.call(() -> {
            gate.publish(holds(0, 1000, -1, 0, 0));
            assertTrue(gate.mayDecide());
            now = 500;
            amidClock = () -> gate.publish(holds(0, 400, 1, 600, 900));
            assertFalse(gate.mayDecide());
        });
    }

    /**
     * By the clock itself, and with a control thread that stands still amid its turn, as one does whose disk or
     * whose peers hold it up: the gate is its lease's end, read anew for each request, and nobody's word.
     */
    @Test
    void withTheControlThreadStandingStillItEndsByItself() throws Exception {
        Loop control = new Loop("control", 8, true);
        CountDownLatch still = new CountDownLatch(1);
        AtomicBoolean ranOn = new AtomicBoolean();
        try {
            LongSupplier clock = PolicyAgent.clock(control, 1);
            long[] read = new long[1];
            LeaseGate[] own = new LeaseGate[1];
            PolicyConfig config = config();
            traffic.call(() -> own[0] = new LeaseGate(
                    traffic,
                    counters,
                    () -> 1,
                    config,
                    () -> {
                        read[0] = clock.getAsLong();
                        return read[0];
                    },
                    (number, waits) -> events.add("told " + number)));
            long[] stop = new long[1];
            control.call(() -> {
                stop[0] = clock.getAsLong() + 300_000;
                own[0].publish(holds(0, stop[0], -1, 0, 0));
            });
            CountDownLatch stands = new CountDownLatch(1);
            control.later(() -> {
                stands.countDown();
                awaitQuietly(still);
            });
            control.later(() -> ranOn.set(true));
            stands.await();
            traffic.call(() -> {
                long before = read[0];
                int decided = 0;
                while (own[0].mayDecide()) {
                    assertTrue(read[0] < stop[0], "decided at " + read[0] + ", it ended at " + stop[0]);
                    before = read[0];
                    decided++;
                }
                assertTrue(read[0] >= stop[0] && before < stop[0], before + " " + read[0] + " " + stop[0]);
                assertTrue(decided > 0, "it decided while it had leave");
                assertFalse(own[0].isReady());
                assertFalse(own[0].mayDecide());
            });
            assertFalse(ranOn.get(), "the control thread stood still throughout");
            still.countDown();
            control.call(() -> own[0].publish(holds(0, clock.getAsLong() + 60_000_000, -1, 0, 0)));
            traffic.call(() -> assertTrue(own[0].mayDecide(), "renewed, it decides again"));
        } finally {
            still.countDown();
            control.stop();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void whatWasNotReadIsNotDecidedBy() throws Exception {
        traffic.call(() -> {
            gate.publish(new Published(new LeaseSnapshot(7, 400, -1, 0, 0, 0), Map.of()));
            assertFalse(gate.mayDecide());
            assertEquals(1, counters.get("policy.granted_unready"));
            gate.publish(holds(1, 400, -1, 0, 0));
            assertTrue(gate.mayDecide());
            gate.stop();
            assertFalse(gate.mayDecide());
        });
    }
}
