package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import laneflow.control.decision.Probation.Finding;
import laneflow.control.decision.Probation.Verdict;
import laneflow.control.decision.Trial;
import org.junit.jupiter.api.Test;

/** What is blamed on a version, minute by minute of a made-up service with two classes. */
class TrialTest {
    private static final long SECOND = 1_000_000;
    private final long[][] own = new long[2][4];
    private final long[][] group = new long[2][4];
    private final Trial trial = new Trial(new String[] {"check", "capture"}, 10 * SECOND, 0.02, 0, own);
    private final Random random = new Random(7);
    private long now;
    private Finding verdict;

    /** So many seconds with so many requests each, by class, and shares that end badly. */
    private void pass(
            int seconds,
            int checks,
            double badChecks,
            int captures,
            double badCaptures,
            double refused,
            double badGroup) {
        for (int i = 0; i < seconds * 10; i++) {
            now += SECOND / 10;
            count(own[0], checks, badChecks, refused);
            count(own[1], captures, badCaptures, refused);
            count(group[0], checks, badGroup, 0);
            Finding found = trial.evaluate(now, own, group);
            verdict = found.verdict() == Verdict.TOO_EARLY || !trial.isRunning() && verdict != null ? verdict : found;
        }
    }

    private void count(long[] row, int perSecond, double bad, double refused) {
        for (int i = 0; i < perSecond / 10; i++) {
            row[0]++;
            row[1] += random.nextDouble() < bad ? 1 : 0;
            row[3] += random.nextDouble() < refused ? 1 : 0;
        }
    }

    private void adopt() {
        verdict = null;
        trial.versionAdopted(now, own, group);
    }

    @Test
    void whatBreaksOneClassIsTakenBackEarlyAndNamed() {
        pass(30, 2000, 0.01, 100, 0.01, 0, 0.01);
        adopt();
        long from = now;
        // The small class is lost in the sum of both.
        pass(10, 2000, 0.01, 100, 0.2, 0, 0.01);
        assertEquals(Verdict.TAKE_BACK, verdict.verdict());
        assertTrue(verdict.figures().startsWith("capture: failures and connect errors went from "), verdict.figures());
        assertFalse(trial.isRunning());
        assertTrue(now - from <= 10 * SECOND);
    }

    @Test
    void theNextVersionIsHeldAgainstTheUsualStateAndNotAgainstTheDamage() {
        pass(30, 200, 0, 0, 0, 0, 0);
        adopt();
        pass(3, 200, 0.5, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, verdict.verdict());
        // At once another one that breaks as much: there was no calm time between them.
        adopt();
        pass(3, 200, 0.5, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, verdict.verdict());
        // And one right behind a version that was kept has that one's time to be held against.
        pass(30, 200, 0, 0, 0, 0, 0);
        adopt();
        pass(11, 200, 0, 0, 0, 0, 0);
        assertEquals(Verdict.KEEP, verdict.verdict());
        adopt();
        pass(2, 200, 0.5, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, verdict.verdict());
    }

    @Test
    void whatJoinsATrialIsJudgedWithIt() {
        pass(30, 200, 0, 0, 0, 0, 0);
        adopt();
        pass(8, 200, 0.01, 0, 0, 0, 0);
        trial.versionAdopted(now, own, group);
        pass(8, 200, 0.01, 0, 0, 0, 0);
        // The first one's length is over, the second's is not.
        assertTrue(trial.isRunning());
        pass(1, 200, 0.6, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, verdict.verdict());
        // However many join, it ends.
        adopt();
        for (int i = 0; i < 20 && trial.isRunning(); i++) {
            trial.versionAdopted(now, own, group);
            pass(4, 200, 0, 0, 0, 0, 0);
        }
        assertFalse(trial.isRunning());
    }

    @Test
    void whatHappensToAllOrComesWithABurstIsNotBlamed() {
        pass(30, 200, 0.01, 0, 0, 0, 0.01);
        adopt();
        // A zone is lost: the control group, which runs the version before, fails as much.
        pass(11, 200, 0.4, 0, 0, 0, 0.4);
        assertEquals(Verdict.KEEP, verdict.verdict());
        pass(30, 200, 0.01, 0, 0, 0, 0.01);
        adopt();
        pass(11, 200, 0.4, 0, 0, 0, 0.01);
        assertEquals(Verdict.TAKE_BACK, verdict.verdict());
    }

    @Test
    void aBurstRefusesUnderAnyVersionWhereNoGroupIsKnown() {
        Trial alone = new Trial(new String[] {"check"}, 10 * SECOND, 0.02, 0, new long[1][4]);
        long[][] counts = {{4000, 10, 0, 20}};
        alone.evaluate(20 * SECOND, counts, null);
        alone.versionAdopted(20 * SECOND, counts, null);
        long[][] burst = {{4000 + 6000, 10 + 15, 0, 20 + 2500}};
        assertEquals(Verdict.KEEP, alone.evaluate(31 * SECOND, burst, null).verdict());
        alone.versionAdopted(40 * SECOND, burst, null);
        long[][] same = {{10_000 + 3000, 25 + 8, 0, 2520 + 2400}};
        assertEquals(Verdict.TAKE_BACK, alone.evaluate(51 * SECOND, same, null).verdict());
    }

    @Test
    void withoutEnoughRequestsNothingIsBlamed() {
        pass(30, 0, 0, 0, 0, 0, 0);
        adopt();
        own[0][0] += 20;
        own[0][1] += 20;
        pass(11, 0, 0, 0, 0, 0, 0);
        assertEquals(Verdict.KEEP, verdict.verdict());
    }
}
