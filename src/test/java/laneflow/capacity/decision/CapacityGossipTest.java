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

/** What one scheduler tells, believes and hands to the module. */
class CapacityGossipTest {
    private static final int ROOM = 200;
    private static final double SLOTS = 4;

    /** One scheduler whose actions are kept. */
    private static final class Site implements CapacityGossip.Callbacks {
        private final int number;
        private final CapacityGossip capacity;
        private final Map<Long, Double> occupied = new HashMap<>();
        private final Map<Long, Double> ages = new HashMap<>();
        private final Map<String, Integer> counts = new HashMap<>();
        private final ArrayDeque<byte[]> answers = new ArrayDeque<>();

        private Site(int number, int endpoints) {
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
        public void count(String what) {
            counts.merge(what, 1, Integer::sum);
        }

        /** A call there and back, by which it hears of so many free slots. */
        private void completesCall(long now, long endpoint, double free, double queue) {
            capacity.attemptSent(now, endpoint);
            capacity.attemptEnded(now, endpoint, false, free, queue);
        }

        private void sendsTo(long now, long later, Site other) {
            byte[] bytes = capacity.buildMessage(now, 0, ROOM);
            if (bytes != null) {
                assertTrue(bytes.length <= ROOM, "within its room");
                other.capacity.receive(now + later, number, 0, bytes, ROOM);
            }
        }
    }

    private final Site one = new Site(1, 40);
    private final Site other = new Site(2, 40);

    private void knowSize() {
        // One's own endpoint shows how large such endpoints are.
        other.completesCall(0, 40, SLOTS, 0);
    }

    @Test
    void newsBecomesAReportOfItsAge() {
        knowSize();
        one.completesCall(1_000_000, 7, 0, 3);
        one.sendsTo(1_500_000, 1000, other);
        assertEquals(0.5, other.ages.get(7L), 0.08);
        assertTrue(other.occupied.get(7L) > 2, "it is said to be full: " + other.occupied.get(7L));
        assertNull(other.occupied.get(8L), "nothing is made of what nobody has told");
    }

    @Test
    void ownReportsThatAreNewerStand() {
        knowSize();
        one.completesCall(1_000_000, 7, 0, 3);
        other.completesCall(1_200_000, 7, SLOTS, 0);
        one.sendsTo(1_500_000, 1000, other);
        assertNull(other.occupied.get(7L));
        assertEquals(2, other.capacity.latestReport(7).source());
    }

    @Test
    void whatIsNotListedOrDrainsOrIsOfAnotherLifeMeansNothing() {
        knowSize();
        one.capacity.addEndpoint(99, 0, 0, "", 0);
        one.capacity.addEndpoint(5, 0, 0, "", 12_000);
        other.capacity.removeEndpoint(6);
        for (long endpoint : new long[] {99, 5, 6}) {
            one.completesCall(1_000_000, endpoint, SLOTS, 0);
        }
        one.sendsTo(1_100_000, 1000, other);
        assertTrue(other.occupied.isEmpty(), "handed: " + other.occupied);
        assertEquals(39, other.capacity.freeSlotsInZone(1_100_000, 0).endpoints(), "no new one, none brought back");
    }

    @Test
    void ofAnEndpointOfUnknownSizeOneSourceProvesNothing() {
        for (int source = 1; source <= 3; source++) {
            Site sender = source == 1 ? one : new Site(source + 10, 40);
            sender.completesCall(1_000_000 + source, 7, source == 2 ? 192 : SLOTS, 0);
            sender.sendsTo(1_100_000, 1000, other);
            assertEquals(source == 3, other.occupied.containsKey(7L), source + " have told");
        }
        assertTrue(other.occupied.get(7L) >= 0, "by the size that three agree on, not by 192");
    }

    @Test
    void whatWasUnderWayForLongIsOldWhateverClocksShow() {
        knowSize();
        long wrong = 3_600_000_000L;
        CapacityGossip hourAhead = new CapacityGossip(3, 0, LoadEstimator.BLEND, one);
        hourAhead.addEndpoint(7, 0, 0, "", 0);
        for (int i = 0; i < 3; i++) {
            hourAhead.attemptSent(wrong + i, 7);
            hourAhead.attemptEnded(wrong + 100_000 * i, 7, false, 0, 0);
            byte[] bytes = hourAhead.buildMessage(wrong + 100_000 * i, 0, ROOM);
            other.capacity.receive(1_000_000 + 100_000 * i + (i == 2 ? 2_000_000 : 5000), 3, 0, bytes, ROOM);
            if (i < 2) {
                assertEquals(0.01, other.ages.get(7L), 0.005);
                other.ages.clear();
            }
        }
        assertTrue(other.ages.isEmpty() || other.ages.get(7L) > 1.9, "the last was two seconds under way");
    }

    @Test
    void whoLiesLosesItsSayAndOthersKeepTheirs() {
        Site liar = new Site(66, 40);
        SplittableRandom random = new SplittableRandom(3);
        knowSize();
        for (int i = 0; i < 60; i++) {
            long now = 1_000_000 + i * 50_000L;
            long endpoint = 1 + random.nextInt(39);
            double free = 1 + random.nextInt(4);
            one.completesCall(now, endpoint, free, 0);
            liar.completesCall(now + 1, endpoint + 1 > 39 ? 1 : endpoint + 1, 192, 0);
            one.sendsTo(now + 2, 1000, other);
            liar.sendsTo(now + 2, 1000, other);
            // Its own call takes a slot of those.
            other.completesCall(now + 4000, endpoint, free - 1, 0);
            other.completesCall(now + 4000, endpoint + 1 > 39 ? 1 : endpoint + 1, 0, 2);
        }
        assertTrue(other.capacity.reliability(66) < 0.1, "liar " + other.capacity.reliability(66));
        assertTrue(other.capacity.reliability(1) > 0.8, "honest " + other.capacity.reliability(1));
        assertTrue(other.counts.get("distrusted") > 0);
    }

    @Test
    void oneThatIsNewHasTheWholePictureWithinTwelveRounds() {
        List<Site> old = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            old.add(new Site(100 + i, 5000));
            for (int endpoint = 1; endpoint <= 5000; endpoint++) {
                old.get(i).completesCall(endpoint + i, endpoint, endpoint % 5, 0);
            }
        }
        Site young = new Site(7, 5000);
        SplittableRandom random = new SplittableRandom(5);
        int rounds = 0;
        for (long now = 1_000_000; young.capacity.knownShare() < 0.99; now += CapacityGossip.ROUND_MICROS) {
            rounds++;
            assertTrue(rounds <= 12, "known after 12 rounds: " + young.capacity.knownShare());
            for (int i = 0; i < (young.capacity.isBootstrapping() ? 4 : 2); i++) {
                Site asked = old.get(random.nextInt(9));
                byte[] bytes = young.capacity.buildMessage(now, 0, ROOM);
                if (bytes != null) {
                    asked.capacity.receive(now, 7, 0, bytes, ROOM);
                }
                while (!asked.answers.isEmpty()) {
                    young.capacity.receive(now + 1000, asked.number, 0, asked.answers.poll(), ROOM);
                }
            }
        }
        assertTrue(rounds >= 2, "it can't all come at once");
    }

    @Test
    void roomIsSummedWithWhatMayBeWrong() {
        knowSize();
        for (long endpoint = 1; endpoint <= 20; endpoint++) {
            other.completesCall(1_000_000, endpoint, 2, 0);
        }
        CapacityGossip.FreeSlots now = other.capacity.freeSlotsInZone(1_000_000, 0);
        CapacityGossip.FreeSlots later = other.capacity.freeSlotsInZone(60_000_000, 0);
        assertEquals(40, now.endpoints());
        assertEquals(21, now.reported());
        assertTrue(Math.abs(now.free() - 80) <= now.error() + 4, now.toString());
        assertTrue(later.error() > now.error(), "doubt grows with age: " + now + ", " + later);
        assertTrue(other.capacity.freeSlotsInBlock(1_000_000, "b1").endpoints() == 20);
    }

    @Test
    void nothingNewIsNotToldForEver() {
        knowSize();
        one.completesCall(1_000_000, 7, 1, 0);
        int told = 0;
        while (one.capacity.buildMessage(1_100_000, 0, ROOM) != null && one.capacity.hasDataToSend() && told < 100) {
            told++;
        }
        assertNotNull(one.capacity.latestReport(7));
        assertTrue(told <= 100);
    }
}
