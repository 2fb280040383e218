package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import laneflow.control.decision.Probation.Finding;
import laneflow.control.decision.Probation.Verdict;
import laneflow.control.decision.Trial;
import org.junit.jupiter.api.Test;

/** Verdicts on versions on trial, over simulated request counts of two classes. */
class TrialTest {
    private static final long SECOND = 1_000_000;
    private final long[][] own = new long[2][4];
    private final long[][] group = new long[2][4];
    private final Trial trial = new Trial(new String[] {"check", "capture"}, 10 * SECOND, 0.02, 0, own);
    private final Random random = new Random(7);
    private long now;
    private Finding finding;

    /** Simulates traffic for the given seconds: requests per second and failure share of each class, in steps of 0.1 s. */
    private void simulate(
            int seconds,
            int checks,
            double failedChecks,
            int captures,
            double failedCaptures,
            double refused,
            double failedInGroup) {
        for (int i = 0; i < seconds * 10; i++) {
            now += SECOND / 10;
            count(own[0], checks, failedChecks, refused);
            count(own[1], captures, failedCaptures, refused);
            count(group[0], checks, failedInGroup, 0);
            Finding found = trial.evaluate(now, own, group);
            finding = found.verdict() == Verdict.TOO_EARLY || !trial.isRunning() && finding != null ? finding : found;
        }
    }

    private void count(long[] row, int perSecond, double failed, double refused) {
        for (int i = 0; i < perSecond / 10; i++) {
            row[0]++;
            row[1] += random.nextDouble() < failed ? 1 : 0;
            row[3] += random.nextDouble() < refused ? 1 : 0;
        }
    }

    private void adopt() {
        finding = null;
        trial.versionAdopted(now, own, group);
    }

    @Test
    void failuresOfOneClassTakeTheVersionBackEarly() {
        simulate(30, 2000, 0.01, 100, 0.01, 0, 0.01);
        adopt();
        long adoptedAt = now;
        // Summed over both classes, the failures of the small class would not show.
        simulate(10, 2000, 0.01, 100, 0.2, 0, 0.01);
        assertEquals(Verdict.TAKE_BACK, finding.verdict());
        assertTrue(finding.figures().startsWith("capture: failures and connect errors went from "), finding.figures());
        assertFalse(trial.isRunning());
        assertTrue(now - adoptedAt <= 10 * SECOND);
    }

    @Test
    void baselineExcludesTheTimeOfAVersionTakenBack() {
        simulate(30, 200, 0, 0, 0, 0, 0);
        adopt();
        simulate(3, 200, 0.5, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, finding.verdict());
        // A second faulty version follows at once, with no normal traffic in between.
        adopt();
        simulate(3, 200, 0.5, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, finding.verdict());
        // A version that directly follows a kept one is compared with the kept one's trial.
        simulate(30, 200, 0, 0, 0, 0, 0);
        adopt();
        simulate(11, 200, 0, 0, 0, 0, 0);
        assertEquals(Verdict.KEEP, finding.verdict());
        adopt();
        simulate(2, 200, 0.5, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, finding.verdict());
    }

    @Test
    void versionAdoptedDuringATrialExtendsIt() {
        simulate(30, 200, 0, 0, 0, 0, 0);
        adopt();
        simulate(8, 200, 0.01, 0, 0, 0, 0);
        trial.versionAdopted(now, own, group);
        simulate(8, 200, 0.01, 0, 0, 0, 0);
        // The first version's probation is over, the second's is not.
        assertTrue(trial.isRunning());
        simulate(1, 200, 0.6, 0, 0, 0, 0);
        assertEquals(Verdict.TAKE_BACK, finding.verdict());
        // A trial ends however many versions join it.
        adopt();
        for (int i = 0; i < 20 && trial.isRunning(); i++) {
            trial.versionAdopted(now, own, group);
            simulate(4, 200, 0, 0, 0, 0, 0);
        }
        assertFalse(trial.isRunning());
    }

    @Test
    void failuresOfTheControlGroupAreNotAttributedToTheVersion() {
        simulate(30, 200, 0.01, 0, 0, 0, 0.01);
        adopt();
        // A zone is lost: the control group, which runs the previous version, fails as much.
        simulate(11, 200, 0.4, 0, 0, 0, 0.4);
        assertEquals(Verdict.KEEP, finding.verdict());
        simulate(30, 200, 0.01, 0, 0, 0, 0.01);
        adopt();
        simulate(11, 200, 0.4, 0, 0, 0, 0.01);
        assertEquals(Verdict.TAKE_BACK, finding.verdict());
    }

    @Test
    void refusalsInABurstAreNotAttributedWithoutAControlGroup() {
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
    void versionIsKeptWithTooFewRequests() {
        simulate(30, 0, 0, 0, 0, 0, 0);
        adopt();
        own[0][0] += 20;
        own[0][1] += 20;
        simulate(11, 0, 0, 0, 0, 0, 0);
        assertEquals(Verdict.KEEP, finding.verdict());
    }
}
