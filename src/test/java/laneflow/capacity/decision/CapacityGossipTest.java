package laneflow.capacity.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import laneflow.decision.Dispatch.LoadReport;
import org.junit.jupiter.api.Test;

/** Which reports a scheduler sends, accepts and delivers to the decision module. */
class CapacityGossipTest {
    private static final int MAX_BYTES = 200;
    private static final double SLOTS = 4;

    /** A scheduler whose callbacks are recorded. */
    private static final class TestScheduler implements CapacityGossip.Callbacks {
        private final int number;
        private final CapacityGossip capacity;
        private final Map<Long, Double> occupied = new HashMap<>();
        private final Map<Long, Double> ages = new HashMap<>();
        private final Map<String, Integer> counts = new HashMap<>();
        private final ArrayDeque<byte[]> answers = new ArrayDeque<>();

        private TestScheduler(int number, int endpoints) {
            this.number = number;
            capacity = new CapacityGossip(number, 0, LoadEstimator.BLEND, this);
            for (int i = 1; i <= endpoints; i++) {
                capacity.addEndpoint(i, 0, 0, "b" + i % 2, 0);
            }
        }

        @Override
        public void report(long endpoint, double age, LoadReport report) {
            occupied.put(endpoint, SLOTS - report.freeSlots + (report.queue > 0 ? report.queue : 0));
            ages.put(endpoint, age);
        }

        @Override
        public void send(int scheduler, byte[] bytes) {
            answers.add(bytes);
        }

        @Override
        public void count(String event) {
            counts.merge(event, 1, Integer::sum);
        }

        /** Completes a request to the endpoint, whose answer reports the given load. */
        private void completeRequest(long now, long endpoint, double free, double queue) {
            capacity.attemptSent(now, endpoint);
            capacity.attemptEnded(now, endpoint, false, free, queue);
        }

        private void sendTo(long now, long transitMicros, TestScheduler receiver) {
            byte[] bytes = capacity.buildMessage(now, 0, MAX_BYTES);
            if (bytes != null) {
                assertTrue(bytes.length <= MAX_BYTES, "size limit");
                receiver.capacity.receive(now + transitMicros, number, 0, bytes, MAX_BYTES);
            }
        }
    }

    private final TestScheduler first = new TestScheduler(1, 40);
    private final TestScheduler second = new TestScheduler(2, 40);

    private void learnSlotCount() {
        // A report to this scheduler itself shows how many slots endpoints of this kind have.
        second.completeRequest(0, 40, SLOTS, 0);
    }

    @Test
    void peerReportIsDeliveredWithItsAge() {
        learnSlotCount();
        first.completeRequest(1_000_000, 7, 0, 3);
        first.sendTo(1_500_000, 1000, second);
        assertEquals(0.5, second.ages.get(7L), 0.08);
        assertTrue(second.occupied.get(7L) > 2, "reported as full: " + second.occupied.get(7L));
        assertNull(second.occupied.get(8L), "no report of this endpoint");
    }

    @Test
    void newerOwnReportIsKept() {
        learnSlotCount();
        first.completeRequest(1_000_000, 7, 0, 3);
        second.completeRequest(1_200_000, 7, SLOTS, 0);
        first.sendTo(1_500_000, 1000, second);
        assertNull(second.occupied.get(7L));
        assertEquals(2, second.capacity.latestReport(7).source());
    }

    @Test
    void reportsOfUnlistedRemovedOrRestartedEndpointsAreIgnored() {
        learnSlotCount();
        first.capacity.addEndpoint(99, 0, 0, "", 0);
        first.capacity.addEndpoint(5, 0, 0, "", 12_000);
        second.capacity.removeEndpoint(6);
        for (long endpoint : new long[] {99, 5, 6}) {
            first.completeRequest(1_000_000, endpoint, SLOTS, 0);
        }
        first.sendTo(1_100_000, 1000, second);
        assertTrue(second.occupied.isEmpty(), "delivered: " + second.occupied);
        assertEquals(39, second.capacity.freeSlotsInZone(1_100_000, 0).endpoints(), "no endpoint added or restored");
    }

    @Test
    void unknownSlotCountNeedsThreeSources() {
        for (int source = 1; source <= 3; source++) {
            TestScheduler sender = source == 1 ? first : new TestScheduler(source + 10, 40);
            sender.completeRequest(1_000_000 + source, 7, source == 2 ? 192 : SLOTS, 0);
            sender.sendTo(1_100_000, 1000, second);
            assertEquals(source == 3, second.occupied.containsKey(7L), source + " sources have reported");
        }
        assertTrue(second.occupied.get(7L) >= 0, "by a slot count that three sources confirm, not by 192");
    }

    @Test
    void transitDelayAddsToTheAgeDespiteClockOffset() {
        learnSlotCount();
        long clockOffset = 3_600_000_000L;
        CapacityGossip fastClock = new CapacityGossip(3, 0, LoadEstimator.BLEND, first);
        fastClock.addEndpoint(7, 0, 0, "", 0);
        for (int i = 0; i < 3; i++) {
            fastClock.attemptSent(clockOffset + i, 7);
            fastClock.attemptEnded(clockOffset + 100_000 * i, 7, false, 0, 0);
            byte[] bytes = fastClock.buildMessage(clockOffset + 100_000 * i, 0, MAX_BYTES);
            second.capacity.receive(1_000_000 + 100_000 * i + (i == 2 ? 2_000_000 : 5000), 3, 0, bytes, MAX_BYTES);
            if (i < 2) {
                assertEquals(0.01, second.ages.get(7L), 0.005);
                second.ages.clear();
            }
        }
        assertTrue(second.ages.isEmpty() || second.ages.get(7L) > 1.9, "the last message was two seconds in transit");
    }

    @Test
    void falseReportsLowerOnlyTheReliabilityOfTheirSource() {
        TestScheduler faulty = new TestScheduler(66, 40);
        SplittableRandom random = new SplittableRandom(3);
        learnSlotCount();
        for (int i = 0; i < 60; i++) {
            long now = 1_000_000 + i * 50_000L;
            long endpoint = 1 + random.nextInt(39);
            double free = 1 + random.nextInt(4);
            first.completeRequest(now, endpoint, free, 0);
            faulty.completeRequest(now + 1, endpoint + 1 > 39 ? 1 : endpoint + 1, 192, 0);
            first.sendTo(now + 2, 1000, second);
            faulty.sendTo(now + 2, 1000, second);
            // The scheduler's own request takes one of the free slots.
            second.completeRequest(now + 4000, endpoint, free - 1, 0);
            second.completeRequest(now + 4000, endpoint + 1 > 39 ? 1 : endpoint + 1, 0, 2);
        }
        assertTrue(second.capacity.reliability(66) < 0.1, "faulty source " + second.capacity.reliability(66));
        assertTrue(second.capacity.reliability(1) > 0.8, "honest source " + second.capacity.reliability(1));
        assertTrue(second.counts.get("distrusted") > 0);
    }

    @Test
    void newSchedulerLearnsTheTableWithinTwelveRounds() {
        List<TestScheduler> peers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            peers.add(new TestScheduler(100 + i, 5000));
            for (int endpoint = 1; endpoint <= 5000; endpoint++) {
                peers.get(i).completeRequest(endpoint + i, endpoint, endpoint % 5, 0);
            }
        }
        TestScheduler newcomer = new TestScheduler(7, 5000);
        SplittableRandom random = new SplittableRandom(5);
        int rounds = 0;
        for (long now = 1_000_000; newcomer.capacity.knownShare() < 0.99; now += CapacityGossip.ROUND_MICROS) {
            rounds++;
            assertTrue(rounds <= 12, "share reported after 12 rounds: " + newcomer.capacity.knownShare());
            for (int i = 0; i < (newcomer.capacity.isBootstrapping() ? 4 : 2); i++) {
                TestScheduler peer = peers.get(random.nextInt(9));
                byte[] bytes = newcomer.capacity.buildMessage(now, 0, MAX_BYTES);
                if (bytes != null) {
                    peer.capacity.receive(now, 7, 0, bytes, MAX_BYTES);
                }
                while (!peer.answers.isEmpty()) {
                    newcomer.capacity.receive(now + 1000, peer.number, 0, peer.answers.poll(), MAX_BYTES);
                }
            }
        }
        assertTrue(rounds >= 2, "more than one round is needed");
    }

    @Test
    void freeSlotsHaveAnErrorBoundThatGrowsWithAge() {
        learnSlotCount();
        for (long endpoint = 1; endpoint <= 20; endpoint++) {
            second.completeRequest(1_000_000, endpoint, 2, 0);
        }
        CapacityGossip.FreeSlots now = second.capacity.freeSlotsInZone(1_000_000, 0);
        CapacityGossip.FreeSlots later = second.capacity.freeSlotsInZone(60_000_000, 0);
        assertEquals(40, now.endpoints());
        assertEquals(21, now.reported());
        assertTrue(Math.abs(now.free() - 80) <= now.error() + 4, now.toString());
        assertTrue(later.error() > now.error(), "error grows with age: " + now + ", " + later);
        assertTrue(second.capacity.freeSlotsInBlock(1_000_000, "b1").endpoints() == 20);
    }

    @Test
    void unchangedReportIsNotSentForever() {
        learnSlotCount();
        first.completeRequest(1_000_000, 7, 1, 0);
        int sent = 0;
        while (first.capacity.buildMessage(1_100_000, 0, MAX_BYTES) != null
                && first.capacity.hasDataToSend()
                && sent < 100) {
            sent++;
        }
        assertNotNull(first.capacity.latestReport(7));
        assertTrue(sent <= 100);
    }
}
