package laneflow.membership.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import laneflow.lab.world.MemberWorld;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Long simulations of {@link Swim} fleets: bounds on convergence, false deaths and traffic, and random faults. */
@Timeout(300)
class SwimDaysTest {
    private static final long PERIOD = 250_000;
    private static final long SECOND = 1_000_000;

    private final List<String> violations = new ArrayList<>();

    private MemberWorld newWorld(int members, long seed) {
        MemberWorld world = new MemberWorld(members, new SwimTimings(PERIOD), seed);
        world.onChange((observer, before, now) -> {
            if (before != null && before.instance().id() == now.instance().id()) {
                if (now.incarnation() < before.incarnation()) {
                    violations.add("incarnation decreased: " + before + " to " + now);
                }
                if (!before.state().isLive() && now.state().isLive()) {
                    violations.add("an ended instance came back: " + now);
                }
            } else if (before != null
                    && now.instance().address().equals(before.instance().address())
                    && now.instance().generation() <= before.instance().generation()) {
                violations.add("an earlier instance replaced a later one: " + before + " to " + now);
            }
        });
        return world;
    }

    private static MemberWorld started(MemberWorld world) {
        for (int i = 0; i < world.size(); i++) {
            world.start(i, 0, 1, 2);
        }
        awaitSettled(world, 20, "initial start");
        // Gossip goes on for a while after that.
        world.runFor(10 * SECOND);
        return world;
    }

    private static long awaitSettled(MemberWorld world, int withinS, String step) {
        long settledAfter = world.runUntil(world::isSettled, withinS * SECOND, PERIOD / 5);
        assertTrue(settledAfter >= 0, step + ": not settled in " + withinS + " s");
        return settledAfter;
    }

    @ParameterizedTest
    @CsvSource({"3, 1", "12, 2", "200, 3"})
    void crashesLeavesAndRejoinsAreDetectedByAll(int members, long seed) {
        MemberWorld world = started(newWorld(members, seed));
        long bytes = world.bytesSent();
        world.runFor(10 * SECOND);
        double idleBytesPerSecond = (world.bytesSent() - bytes) / 10.0 / members;
        assertTrue(idleBytesPerSecond < 1000, idleBytesPerSecond + " bytes per second when idle");
        for (int round = 0; round < 5; round++) {
            int member = 1 + round % (members - 1);
            world.crash(member);
            long detectedAfter = world.runUntil(() -> world.agree(i -> true), 10 * SECOND, PERIOD / 10);
            assertTrue(detectedAfter >= 0 && detectedAfter < 4 * SECOND, "crash detected after " + detectedAfter);
            world.start(member, 0, 1, 2);
            awaitSettled(world, 12, "member restarted");
            world.runFor(SECOND);
        }
        world.leave(members - 1);
        long detectedAfter = world.runUntil(() -> world.agree(i -> true), 10 * SECOND, PERIOD / 10);
        assertTrue(detectedAfter >= 0 && detectedAfter < 3 * SECOND / 2, "a leave takes " + detectedAfter);
        assertTrue(world.largestDatagramBytes() <= Seal.MAX_DATAGRAM_BYTES, world.largestDatagramBytes() + " bytes");
        assertEquals(List.of(), violations);
    }

    @Test
    void idleTrafficPerMemberIsIndependentOfTheFleetSize() {
        double[] bytesPerSecond = new double[2];
        for (int k = 0; k < 2; k++) {
            MemberWorld world = started(newWorld(k == 0 ? 12 : 400, 5));
            world.runFor(20 * SECOND);
            long bytes = world.bytesSent();
            int digest = world.swim(0).digest();
            world.runFor(10 * SECOND);
            bytesPerSecond[k] = (world.bytesSent() - bytes) / 10.0 / world.size();
            assertTrue(world.isSettled());
            assertEquals(digest, world.swim(0).digest(), "the digest is stable while nothing changes");
        }
        assertTrue(bytesPerSecond[1] < bytesPerSecond[0] * 1.05, bytesPerSecond[0] + " and " + bytesPerSecond[1]);
    }

    @ParameterizedTest
    @CsvSource({"12, 1", "60, 2", "200, 3"})
    void halvesThatDeclaredEachOtherDeadMergeAgain(int members, long seed) {
        MemberWorld world = started(newWorld(members, seed));
        int half = members / 2;
        world.cut((from, to) -> from < half != to < half);
        long splitAfter = world.runUntil(
                () -> world.agree(i -> i < half) && world.agree(i -> i >= half), 20 * SECOND, PERIOD / 5);
        assertTrue(splitAfter >= 0, "each half settles on its own");
        // During the partition a member crashes on each side, and one of them restarts.
        world.crash(1);
        world.crash(half + 1);
        world.start(half + 1, half, half + 2);
        world.runFor(15 * SECOND);
        world.cut((from, to) -> false);
        long mergedAfter = world.runUntil(() -> world.agree(i -> true), 20 * SECOND, PERIOD / 5);
        assertTrue(mergedAfter >= 0 && mergedAfter < 5 * SECOND, "found again after " + mergedAfter);
        assertEquals(List.of(), violations);
    }

    /** In a small partition most members that are probed cannot answer; finding that out must not take minutes. */
    @ParameterizedTest
    @CsvSource({"6, 1, 20", "32, 1, 35", "32, 3, 20", "200, 3, 40"})
    void aSmallPartitionSettles(int members, int partSize, int withinS) {
        MemberWorld world = started(newWorld(members, 3));
        int first = members - partSize;
        world.cut((from, to) -> from < first != to < first);
        long splitAfter = world.runUntil(
                () -> world.agree(i -> i < first) && world.agree(i -> i >= first), withinS * SECOND, PERIOD / 5);
        assertTrue(splitAfter >= 0, "not settled in " + withinS + " s");
        world.cut((from, to) -> false);
        long mergedAfter = world.runUntil(() -> world.agree(i -> true), 20 * SECOND, PERIOD / 5);
        assertTrue(mergedAfter >= 0 && mergedAfter < 5 * SECOND, "found again after " + mergedAfter);
        assertEquals(List.of(), violations);
    }

    @ParameterizedTest
    @CsvSource({"12, 1", "60, 2", "200, 3"})
    void halfTheFleetCrashesAndAllRestart(int members, long seed) {
        MemberWorld world = started(newWorld(members, seed));
        for (int i = members / 2; i < members; i++) {
            world.crash(i);
        }
        long detectedAfter = world.runUntil(() -> world.agree(i -> true), 20 * SECOND, PERIOD / 5);
        assertTrue(
                detectedAfter >= 0 && detectedAfter < 10 * SECOND,
                "crash of half the members detected after " + detectedAfter);
        for (int i = 0; i < members; i++) {
            world.crash(i);
        }
        world.runFor(SECOND);
        for (int i = members - 1; i >= 0; i--) {
            world.start(i, 0, 1, 2);
            world.runFor(3000);
        }
        awaitSettled(world, 20, "all restarted in another order");
        assertEquals(List.of(), violations);
    }

    @Test
    void packetLossAndShortStallsCauseNoFalseDeaths() {
        MemberWorld world = started(newWorld(200, 8));
        int[] deaths = {0};
        world.onChange((observer, before, now) -> deaths[0] += now.state() == State.DEAD ? 1 : 0);
        world.network(0.2, 0.05, 200, 1000);
        SplittableRandom random = new SplittableRandom(8);
        for (int round = 0; round < 15; round++) {
            List<Integer> stalled = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                if (random.nextDouble() < 0.05) {
                    world.stall(i);
                    stalled.add(i);
                }
            }
            world.runFor(SECOND / 2);
            stalled.forEach(world::resume);
            world.runFor(SECOND / 2);
        }
        assertEquals(0, deaths[0]);
        world.network(0, 0, 200, 300);
        awaitSettled(world, 10, "the network has recovered");
    }

    @Test
    void delaysOfThreeHundredMsWithLossCauseNoFalseDeaths() {
        MemberWorld world = started(newWorld(20, 9));
        int[] deaths = {0};
        world.onChange((observer, before, now) -> deaths[0] += now.state() == State.DEAD ? 1 : 0);
        world.network(0.3, 0.1, 0, 300_000);
        world.runFor(30 * SECOND);
        assertEquals(0, deaths[0]);
        world.network(0, 0, 200, 300);
        awaitSettled(world, 10, "the network has recovered");
    }

    @Test
    void membersThatOnlyReceiveOrOnlySendAreDeclaredDead() {
        MemberWorld world = started(newWorld(8, 4));
        world.cut((from, to) -> from == 3 || to == 5);
        long agreed = world.runUntil(() -> world.agree(i -> i != 3 && i != 5), 30 * SECOND, PERIOD / 5);
        assertTrue(agreed >= 0, "the others agree on the remaining members");
        world.runFor(10 * SECOND);
        assertTrue(world.agree(i -> i != 3 && i != 5), "the others still agree");
        world.cut((from, to) -> false);
        awaitSettled(world, 10, "the cut has healed");
        assertEquals(List.of(), violations);
    }

    @Test
    void aSingleOneWayCutCausesNoDeath() {
        MemberWorld world = started(newWorld(6, 4));
        int[] deaths = {0};
        world.onChange((observer, before, now) -> deaths[0] += now.state() == State.DEAD ? 1 : 0);
        world.cut((from, to) -> from == 1 && to == 2);
        world.runFor(30 * SECOND);
        assertEquals(0, deaths[0]);
        assertTrue(world.agree(i -> true));
    }

    @Test
    void aFlappingMemberReturnsOnlyAsANewInstance() {
        MemberWorld world = started(newWorld(10, 6));
        for (int round = 0; round < 8; round++) {
            world.stall(4);
            world.runFor(round % 2 == 0 ? SECOND / 3 : 6 * SECOND);
            world.resume(4);
            world.runFor(SECOND);
        }
        awaitSettled(world, 10, "the member runs again");
        assertTrue(world.count(4, "reborn") >= 4, "each death leads to a new instance");
        assertEquals(List.of(), violations);
    }

    @Test
    void theOlderInstanceKeepsADuplicateName() {
        MemberWorld world = started(newWorld(6, 2));
        world.crash(5);
        world.runUntil(() -> world.agree(i -> true), 10 * SECOND, PERIOD / 5);
        world.startAs(5, "n1", 0, 1, 2);
        world.runFor(10 * SECOND);
        assertTrue(world.swim(5).isNameTaken(), "the younger instance knows that its name is taken");
        assertTrue(world.agree(i -> i != 5), "the others keep their view");
        for (int i : new int[] {0, 2, 3, 4}) {
            assertEquals(world.address(1), world.swim(i).other("n1").instance().address());
        }
        // The name is free once the older instance is gone.
        world.crash(1);
        awaitSettled(world, 20, "the younger instance has taken the name");
        assertEquals(world.address(5), world.swim(0).other("n1").instance().address());
        assertTrue(
                world.runUntil(() -> !world.swim(5).isNameTaken(), 10 * SECOND, PERIOD) >= 0,
                "the younger instance knows that it holds the name");
    }

    @Test
    void anAddressMayGetAnotherNameAndAClockMayGoBack() {
        MemberWorld world = started(newWorld(6, 3));
        world.crash(4);
        world.startAs(4, "other", 0, 1);
        awaitSettled(world, 20, "another name at the same address");
        assertEquals(State.DEAD, world.swim(0).other("n4").state());
        // A restart with a clock a day behind must still count as a later instance.
        world.crash(3);
        world.startWithClock(3, -86_400_000, 0, 1);
        awaitSettled(world, 20, "restart with a clock set back");
        assertEquals(
                List.of(),
                violations.stream()
                        .filter(text -> !text.contains("earlier instance"))
                        .toList());
    }

    @Test
    void aSingleFalseMessageCausesNoDeathWhateverItsIncarnation() {
        MemberWorld world = started(newWorld(8, 7));
        Update.MemberRecord victim = world.swim(0).other("n5");
        int[] deaths = {0};
        world.onChange((observer, before, now) -> deaths[0] += now.state().isLive() ? 0 : 1);
        for (State claimed : new State[] {State.SUSPECT, State.DEAD, State.LEFT}) {
            for (int incarnation : new int[] {0, victim.incarnation() + 1, Integer.MAX_VALUE}) {
                List<Update> claims = new ArrayList<>();
                claims.add(new Update.Claim(victim.instance().id(), incarnation, claimed, 42));
                claims.add(new Update.MemberRecord(victim.instance(), incarnation, claimed, victim.metadata()));
                claims.add(new Update.MemberRecord(
                        MemberInstance.of(
                                "n5", Long.MAX_VALUE, victim.instance().address()),
                        0,
                        State.ALIVE,
                        victim.metadata()));
                long from = world.swim(1).self().instance().id();
                world.inject(2, world.address(1), new Message(Message.Kind.GOSSIP, from, 0, 0, 0, null, claims));
                world.runFor(6 * SECOND);
                assertTrue(world.swim(2).other("n5").state().isLive(), claimed + " " + incarnation);
            }
        }
        awaitSettled(world, 10, "the false claims are refuted");
        assertEquals(0, deaths[0]);
        assertTrue(world.swim(5).self().incarnation() < 1 << 30);
    }

    @ParameterizedTest
    @CsvSource({"40, 11, 12", "40, 12, 12", "200, 13, 6", "500, 14, 2"})
    void randomFaultSequencesEndSettled(int members, long seed, int events) {
        MemberWorld world = started(newWorld(members, seed));
        SplittableRandom random = new SplittableRandom(seed);
        for (int n = 0; n < events; n++) {
            int member = 3 + random.nextInt(members - 3);
            switch (random.nextInt(6)) {
                case 0 -> world.crash(member);
                case 1 -> {
                    if (!world.isUp(member)) {
                        world.start(member, 0, 1, 2);
                    }
                }
                case 2 -> {
                    if (world.isRunning(member)) {
                        world.stall(member);
                        world.runFor(random.nextLong(8 * SECOND));
                        world.resume(member);
                    }
                }
                case 3 -> {
                    int partSize = 1 + random.nextInt(members - 1);
                    world.cut((from, to) -> from < partSize != to < partSize);
                    world.runFor(random.nextLong(12 * SECOND));
                    world.cut((from, to) -> false);
                }
                case 4 -> world.network(0.3 * random.nextDouble(), 0.1, 200, random.nextInt(100_000));
                default -> {
                    if (world.isRunning(member)) {
                        world.leave(member);
                    }
                }
            }
            world.runFor(random.nextLong(3 * SECOND));
        }
        world.network(0, 0, 200, 300);
        for (int i = 0; i < members; i++) {
            if (!world.isUp(i)) {
                world.start(i, 0, 1, 2);
            }
        }
        awaitSettled(world, 30, "all faults are over");
        world.runFor(20 * SECOND);
        assertTrue(world.isSettled(), "the views stay settled");
        assertEquals(List.of(), violations);
    }
}
