package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import laneflow.control.decision.Probation;
import laneflow.control.decision.Probation.Counts;
import laneflow.control.decision.Probation.Verdict;
import laneflow.control.decision.Rollout;
import laneflow.control.decision.Version;
import laneflow.control.decision.VersionTracker;
import laneflow.control.decision.VersionTracker.Kind;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The decisions on streamed versions, by cases and over messages in any order. */
class VersionTrackerTest {
    private static Version version(long number, String digest) {
        return new Version(number, digest);
    }

    /** A version of these is bad where its number is divisible by three. */
    private static boolean bad(Version version) {
        return version.number() % 3 == 0;
    }

    private static void hear(VersionTracker track, Version offered) {
        if (track.classifyFull(offered).kind() == Kind.CHECK) {
            if (bad(offered)) {
                track.refuse(offered, "bad");
            } else {
                track.accept(offered);
            }
        }
    }

    @Test
    void eachMessageHasOneAnswer() {
        VersionTracker track = new VersionTracker();
        assertEquals(Kind.CHECK, track.classifyFull(version(4, "aa")).kind());
        track.accept(version(4, "aa"));
        track.settle();
        assertTrue(track.classifyFull(version(4, "aa")).isAck());
        assertEquals(Kind.OLDER, track.classifyFull(version(2, "ff")).kind());
        assertEquals(
                "version 4-aa runs, of the same number",
                track.classifyFull(version(4, "a9")).reason());
        assertEquals(Kind.CHECK, track.classifyFull(version(4, "ab")).kind());
        track.refuse(version(5, "bb"), "no live endpoint in zone celje-1");
        assertEquals(Kind.REFUSED, track.classifyFull(version(5, "bb")).kind());
        assertEquals(
                "no live endpoint in zone celje-1",
                track.classifyFull(version(5, "bb")).reason());
        assertEquals(Kind.CHECK, track.classifyFull(version(5, "bc")).kind());
        assertEquals(
                Kind.FULL_STATE_NEEDED,
                track.classifyDelta(version(3, "aa"), version(6, "cc")).kind());
        assertEquals(
                Kind.CHECK,
                track.classifyDelta(version(4, "aa"), version(6, "cc")).kind());
        track.accept(version(6, "cc"));
        assertEquals(1, track.gaps());
        assertThrows(IllegalStateException.class, () -> track.accept(version(5, "bc")));
        // What broke service goes, and is not tried again; a later one is.
        assertEquals(version(4, "aa"), track.takeBack("failures went up"));
        assertEquals(Kind.REFUSED, track.classifyFull(version(6, "cc")).kind());
        assertEquals("failures went up", track.lastRefused().getValue());
        assertEquals(Kind.CHECK, track.classifyFull(version(7, "dd")).kind());
        // Two on trial together go together, to the last that has stood its trial.
        track.accept(version(7, "dd"));
        track.accept(version(8, "ee"));
        assertTrue(track.isOnTrial());
        assertEquals(version(4, "aa"), track.takeBack("again"));
        assertEquals("again", track.classifyFull(version(7, "dd")).reason());
        assertEquals("again", track.classifyFull(version(8, "ee")).reason());
        assertFalse(track.isOnTrial());
        assertEquals(version(12, "0f"), Version.parse("12-0f"));
        assertEquals(Version.NONE, Version.parse("0"));
        for (String none : new String[] {"", "-1", "01", "1-G", "x"}) {
            assertThrows(IllegalArgumentException.class, () -> Version.parse(none), none);
        }
    }

    /** Any order, with any repeats, ends at the newest acceptable version; who saw the same set agrees. */
    @Property(tries = 1000, seed = "7")
    void orderDoesNotMatter(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 12) Integer> numbers, @ForAll int shuffle) {
        List<Version> seen = new ArrayList<>();
        for (int i = 0; i < numbers.size(); i++) {
            seen.add(version(numbers.get(i), "a" + i % 3));
        }
        VersionTracker one = new VersionTracker();
        seen.forEach(version -> hear(one, version));
        Random random = new Random(shuffle);
        List<Version> otherWay = new ArrayList<>(seen);
        otherWay.addAll(seen.subList(0, random.nextInt(seen.size())));
        Collections.shuffle(otherWay, random);
        VersionTracker other = new VersionTracker();
        otherWay.forEach(version -> hear(other, version));
        Version newest = seen.stream()
                .filter(version -> !bad(version))
                .max(Version::compareTo)
                .orElse(Version.NONE);
        assertEquals(newest, one.running());
        assertEquals(newest, other.running());
    }

    @Test
    void whoTakesPartFollowsFromNameAndSeed() {
        int part = 0;
        for (int i = 0; i < 1000; i++) {
            String name = "n" + i;
            part += Rollout.includes(name, 5, 0.2) ? 1 : 0;
            assertTrue(!Rollout.includes(name, 5, 0.2) || Rollout.includes(name, 5, 0.5));
            assertFalse(Rollout.includes(name, 5, 0));
            assertTrue(Rollout.includes(name, 5, 1));
        }
        assertEquals(200, part, 45);
        int both = 0;
        for (int i = 0; i < 1000; i++) {
            both += Rollout.includes("n" + i, 5, 0.5) && Rollout.includes("n" + i, 6, 0.5) ? 1 : 0;
        }
        // Another seed draws others: it is not always the same ones that go first.
        assertEquals(250, both, 60);
    }

    private static Counts counts(long requests, long failed, long refused, double perSecond) {
        return new Counts(requests, failed, 0, refused, perSecond);
    }

    @Test
    void aVersionIsBlamedForWhatItDidAndNotForABurst() {
        Counts calm = counts(1000, 5, 10, 100);
        assertEquals(
                Verdict.TOO_EARLY,
                Probation.evaluate(calm, counts(49, 49, 0, 100), null, null, 0.02)
                        .verdict());
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(calm, counts(1000, 12, 20, 100), null, null, 0.02)
                        .verdict());
        Probation.Finding broken = Probation.evaluate(calm, counts(500, 60, 0, 100), null, null, 0.02);
        assertEquals(Verdict.TAKE_BACK, broken.verdict());
        assertEquals("failures and connect errors went from 0.50 % to 12.00 %", broken.figures());
        // Refusals at the same load are the version's, in a burst they are not; failures are in either.
        assertEquals(
                Verdict.TAKE_BACK,
                Probation.evaluate(calm, counts(500, 2, 100, 100), null, null, 0.02)
                        .verdict());
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(calm, counts(900, 4, 300, 180), null, null, 0.02)
                        .verdict());
        assertEquals(
                Verdict.TAKE_BACK,
                Probation.evaluate(calm, counts(900, 90, 0, 180), null, null, 0.02)
                        .verdict());
        // A zone is lost, for everybody: the control group shows it.
        Counts lost = counts(1000, 200, 100, 100);
        assertEquals(
                Verdict.KEEP, Probation.evaluate(calm, lost, calm, lost, 0.02).verdict());
        assertEquals(
                Verdict.TAKE_BACK,
                Probation.evaluate(calm, lost, calm, calm, 0.02).verdict());
        // A few requests that went wrong by chance take nothing back.
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(counts(60, 0, 0, 5), counts(60, 3, 0, 5), null, null, 0.02)
                        .verdict());
    }
}
