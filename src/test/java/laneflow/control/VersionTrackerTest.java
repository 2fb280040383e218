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

/** Decisions on streamed versions: single cases, and the same messages in any order. */
class VersionTrackerTest {
    private static Version version(long number, String digest) {
        return new Version(number, digest);
    }

    /** In these tests a version is invalid if its number is divisible by three. */
    private static boolean isInvalid(Version version) {
        return version.number() % 3 == 0;
    }

    private static void offer(VersionTracker tracker, Version offered) {
        if (tracker.classifyFull(offered).kind() == Kind.CHECK) {
            if (isInvalid(offered)) {
                tracker.refuse(offered, "bad");
            } else {
                tracker.accept(offered);
            }
        }
    }

    @Test
    void classificationOfFullStatesAndDeltas() {
        VersionTracker tracker = new VersionTracker();
        assertEquals(Kind.CHECK, tracker.classifyFull(version(4, "aa")).kind());
        tracker.accept(version(4, "aa"));
        tracker.settle();
        assertTrue(tracker.classifyFull(version(4, "aa")).isAck());
        assertEquals(Kind.OLDER, tracker.classifyFull(version(2, "ff")).kind());
        assertEquals(
                "version 4-aa runs, of the same number",
                tracker.classifyFull(version(4, "a9")).reason());
        assertEquals(Kind.CHECK, tracker.classifyFull(version(4, "ab")).kind());
        tracker.refuse(version(5, "bb"), "no live endpoint in zone celje-1");
        assertEquals(Kind.REFUSED, tracker.classifyFull(version(5, "bb")).kind());
        assertEquals(
                "no live endpoint in zone celje-1",
                tracker.classifyFull(version(5, "bb")).reason());
        assertEquals(Kind.CHECK, tracker.classifyFull(version(5, "bc")).kind());
        assertEquals(
                Kind.FULL_STATE_NEEDED,
                tracker.classifyDelta(version(3, "aa"), version(6, "cc")).kind());
        assertEquals(
                Kind.CHECK,
                tracker.classifyDelta(version(4, "aa"), version(6, "cc")).kind());
        tracker.accept(version(6, "cc"));
        assertEquals(1, tracker.gaps());
        assertThrows(IllegalStateException.class, () -> tracker.accept(version(5, "bc")));
        // A version taken back is refused from then on; a later one is checked.
        assertEquals(version(4, "aa"), tracker.takeBack("failures went up"));
        assertEquals(Kind.REFUSED, tracker.classifyFull(version(6, "cc")).kind());
        assertEquals("failures went up", tracker.lastRefused().getValue());
        assertEquals(Kind.CHECK, tracker.classifyFull(version(7, "dd")).kind());
        // Versions on trial together are taken back together, to the last settled one.
        tracker.accept(version(7, "dd"));
        tracker.accept(version(8, "ee"));
        assertTrue(tracker.isOnTrial());
        assertEquals(version(4, "aa"), tracker.takeBack("again"));
        assertEquals("again", tracker.classifyFull(version(7, "dd")).reason());
        assertEquals("again", tracker.classifyFull(version(8, "ee")).reason());
        assertFalse(tracker.isOnTrial());
        assertEquals(version(12, "0f"), Version.parse("12-0f"));
        assertEquals(Version.NONE, Version.parse("0"));
        for (String invalid : new String[] {"", "-1", "01", "1-G", "x"}) {
            assertThrows(IllegalArgumentException.class, () -> Version.parse(invalid), invalid);
        }
    }

    /** Any order of the same versions, with any repeats, ends at the newest valid one. */
    @Property(tries = 1000, seed = "7")
    void orderDoesNotMatter(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 12) Integer> numbers, @ForAll int shuffle) {
        List<Version> offered = new ArrayList<>();
        for (int i = 0; i < numbers.size(); i++) {
            offered.add(version(numbers.get(i), "a" + i % 3));
        }
        VersionTracker tracker = new VersionTracker();
        offered.forEach(version -> offer(tracker, version));
        Random random = new Random(shuffle);
        List<Version> reordered = new ArrayList<>(offered);
        reordered.addAll(offered.subList(0, random.nextInt(offered.size())));
        Collections.shuffle(reordered, random);
        VersionTracker reorderedTracker = new VersionTracker();
        reordered.forEach(version -> offer(reorderedTracker, version));
        Version newest = offered.stream()
                .filter(version -> !isInvalid(version))
                .max(Version::compareTo)
                .orElse(Version.NONE);
        assertEquals(newest, tracker.running());
        assertEquals(newest, reorderedTracker.running());
    }

    @Test
    void rolloutMembershipFollowsFromNameAndSeed() {
        int included = 0;
        for (int i = 0; i < 1000; i++) {
            String name = "n" + i;
            included += Rollout.includes(name, 5, 0.2) ? 1 : 0;
            assertTrue(!Rollout.includes(name, 5, 0.2) || Rollout.includes(name, 5, 0.5));
            assertFalse(Rollout.includes(name, 5, 0));
            assertTrue(Rollout.includes(name, 5, 1));
        }
        assertEquals(200, included, 45);
        int both = 0;
        for (int i = 0; i < 1000; i++) {
            both += Rollout.includes("n" + i, 5, 0.5) && Rollout.includes("n" + i, 6, 0.5) ? 1 : 0;
        }
        // Another seed selects other schedulers, so that the same ones are not always first.
        assertEquals(250, both, 60);
    }

    private static Counts counts(long requests, long failed, long refused, double perSecond) {
        return new Counts(requests, failed, 0, refused, perSecond);
    }

    @Test
    void versionIsTakenBackForItsFailuresButNotForABurst() {
        Counts baseline = counts(1000, 5, 10, 100);
        assertEquals(
                Verdict.TOO_EARLY,
                Probation.evaluate(baseline, counts(49, 49, 0, 100), null, null, 0.02)
                        .verdict());
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(baseline, counts(1000, 12, 20, 100), null, null, 0.02)
                        .verdict());
        Probation.Finding broken = Probation.evaluate(baseline, counts(500, 60, 0, 100), null, null, 0.02);
        assertEquals(Verdict.TAKE_BACK, broken.verdict());
        assertEquals("failures and connect errors went from 0.50 % to 12.00 %", broken.figures());
        // Refusals count against the version at an unchanged load but not in a burst; failures count in both.
        assertEquals(
                Verdict.TAKE_BACK,
                Probation.evaluate(baseline, counts(500, 2, 100, 100), null, null, 0.02)
                        .verdict());
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(baseline, counts(900, 4, 300, 180), null, null, 0.02)
                        .verdict());
        assertEquals(
                Verdict.TAKE_BACK,
                Probation.evaluate(baseline, counts(900, 90, 0, 180), null, null, 0.02)
                        .verdict());
        // A zone is lost for all schedulers: the control group shows the same failures.
        Counts lost = counts(1000, 200, 100, 100);
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(baseline, lost, baseline, lost, 0.02).verdict());
        assertEquals(
                Verdict.TAKE_BACK,
                Probation.evaluate(baseline, lost, baseline, baseline, 0.02).verdict());
        // A few random failures do not take a version back.
        assertEquals(
                Verdict.KEEP,
                Probation.evaluate(counts(60, 0, 0, 5), counts(60, 3, 0, 5), null, null, 0.02)
                        .verdict());
    }
}
