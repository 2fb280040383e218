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

/** The gate applies the lease whatever the control thread does or fails to do. */
class LeaseGateTest {
    @TempDir
    private Path folder;

    private final Counters counters = new Counters();
    private final List<String> events = new ArrayList<>();
    private final PolicyTypes types =
            new PolicyTypes(List.of(new BansType(names -> events.add("adopt " + names))), Map.of());
    private Loop traffic;
    private LeaseGate gate;
    /** Used on the traffic thread, like the gate. */
    private long now = 100;

    private Runnable onClockRead = () -> {};

    private PolicyConfig config() throws Exception {
        Path file = folder.resolve("f.toml");
        Files.writeString(
                file,
                "name = \"n1\"\nlisten = \"127.0.0.1:0\"\n[classes.check]\n[fleet]\n"
                        + "listen = \"127.0.0.1:0\"\n[fleet.peers]\nn2 = \"127.0.0.1:1\"\n[policy]\nvoters = [\"n2\"]\n");
        return Setup.fromOperatorsFile(file, null, null).policy();
    }

    @BeforeEach
    void createGate() throws Exception {
        PolicyConfig config = config();
        traffic = new Loop(128);
        traffic.call(() -> gate = new LeaseGate(
                traffic,
                counters,
                () -> 1,
                config,
                () -> {
                    long timeRead = now;
                    onClockRead.run();
                    return timeRead;
                },
                (number, waits) -> events.add("adopted " + number)));
    }

    @AfterEach
    void stopLoop() throws InterruptedException {
        traffic.stop();
    }

    private Published published(long number, long stop, long next, long nextStart, long nextStop) {
        PolicyTypes.Prepared filePolicy = types.read(new JsonObject());
        JsonObject bans = new JsonObject();
        JsonArray resources = new JsonArray();
        resources.add(JsonParser.parseString("{\"name\": \"till-3\"}"));
        bans.add("bans", resources);
        return new Published(
                new LeaseSnapshot(number, stop, next, nextStart, nextStop, 0),
                Map.of(0L, filePolicy, 1L, types.read(bans)));
    }

    @Test
    void leaseExpiresWithoutAnotherPublication() throws Exception {
        traffic.call(() -> {
            assertFalse(gate.mayDecide());
            gate.publish(published(0, 200, -1, 0, 0));
            now = 199;
            assertTrue(gate.mayDecide());
            now = 200;
            assertFalse(gate.mayDecide());
            assertFalse(gate.isReady());
        });
    }

    @Test
    void firstRequestAdoptsThePolicyBeforeTheListenerIsNotified() throws Exception {
        traffic.call(() -> {
            gate.publish(published(0, 150, 1, 160, 400));
            assertTrue(gate.mayDecide());
            now = 155;
            assertFalse(gate.mayDecide(), "between the two policies");
            assertEquals(List.of("adopt []", "adopted 0"), events);
            now = 160;
            assertTrue(gate.mayDecide());
            assertEquals(List.of("adopt []", "adopted 0", "adopt [till-3]", "adopted 1"), events);
            assertEquals(1, gate.policyNumber());
            assertEquals(10, counters.get("policy.fence_most_us"));
        });
    }

    /** A process that starts slowly may read its first grant after it has expired: the next grant counts. */
    @Test
    void firstUnexpiredGrantIsAdoptedWithoutRequests() throws Exception {
        traffic.call(() -> gate.publish(published(0, 90, -1, 0, 0)));
        traffic.call(() -> assertEquals(List.of(), events));
        traffic.call(() -> gate.publish(published(0, 200, -1, 0, 0)));
        traffic.call(() -> assertEquals(List.of("adopt []", "adopted 0"), events));
        traffic.call(() -> gate.publish(published(0, 300, -1, 0, 0)));
        traffic.call(() -> assertEquals(List.of("adopt []", "adopted 0"), events, "a renewal adopts nothing again"));
    }

    /**
     * The control thread publishes an earlier end and acknowledges it just after a request has read the
     * clock.
     */
    @Test
    void snapshotPublishedAfterTheClockReadIsSeen() throws Exception {
        traffic.call(() -> {
            gate.publish(published(0, 1000, -1, 0, 0));
            assertTrue(gate.mayDecide());
            now = 500;
            onClockRead = () -> gate.publish(published(0, 400, 1, 600, 900));
            assertFalse(gate.mayDecide());
        });
    }

    /**
     * With the real clock and a control thread that is blocked within its turn, as by a slow disk or peer:
     * the lease still ends on time, by the clock that each request reads.
     */
    @Test
    void leaseExpiresWhileTheControlThreadIsBlocked() throws Exception {
        Loop control = new Loop("control", 8, true);
        CountDownLatch release = new CountDownLatch(1);
        AtomicBoolean controlContinued = new AtomicBoolean();
        try {
            LongSupplier clock = PolicyAgent.clock(control, 1);
            long[] lastRead = new long[1];
            LeaseGate[] ownGate = new LeaseGate[1];
            PolicyConfig config = config();
            traffic.call(() -> ownGate[0] = new LeaseGate(
                    traffic,
                    counters,
                    () -> 1,
                    config,
                    () -> {
                        lastRead[0] = clock.getAsLong();
                        return lastRead[0];
                    },
                    (number, waits) -> events.add("adopted " + number)));
            long[] end = new long[1];
            control.call(() -> {
                end[0] = clock.getAsLong() + 300_000;
                ownGate[0].publish(published(0, end[0], -1, 0, 0));
            });
            CountDownLatch blocked = new CountDownLatch(1);
            control.later(() -> {
                blocked.countDown();
                awaitQuietly(release);
            });
            control.later(() -> controlContinued.set(true));
            blocked.await();
            traffic.call(() -> {
                long before = lastRead[0];
                int decided = 0;
                while (ownGate[0].mayDecide()) {
                    assertTrue(lastRead[0] < end[0], "decided at " + lastRead[0] + ", the lease ended at " + end[0]);
                    before = lastRead[0];
                    decided++;
                }
                assertTrue(lastRead[0] >= end[0] && before < end[0], before + " " + lastRead[0] + " " + end[0]);
                assertTrue(decided > 0, "nothing was decided under the lease");
                assertFalse(ownGate[0].isReady());
                assertFalse(ownGate[0].mayDecide());
            });
            assertFalse(controlContinued.get(), "the control thread was not blocked throughout");
            release.countDown();
            control.call(() -> ownGate[0].publish(published(0, clock.getAsLong() + 60_000_000, -1, 0, 0)));
            traffic.call(() -> assertTrue(ownGate[0].mayDecide(), "no decision after a renewal"));
        } finally {
            release.countDown();
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
    void policyThatWasNotPreparedIsNotUsed() throws Exception {
        traffic.call(() -> {
            gate.publish(new Published(new LeaseSnapshot(7, 400, -1, 0, 0, 0), Map.of()));
            assertFalse(gate.mayDecide());
            assertEquals(1, counters.get("policy.granted_unready"));
            gate.publish(published(1, 400, -1, 0, 0));
            assertTrue(gate.mayDecide());
            gate.stop();
            assertFalse(gate.mayDecide());
        });
    }
}
