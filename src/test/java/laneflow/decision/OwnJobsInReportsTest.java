package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A scheduler with one endpoint of four slots runs two long jobs there. Short jobs are refused until the long
 * ones end, although two slots stand idle.
 *
 * <p>Why: a short job that ends right behind the start of the long ones brings a load report. The report counts
 * the long jobs and the short one itself, but all were sent less than 0.2 s before, so that they were taken for
 * other schedulers' jobs: two of its own jobs and one or two that do not exist filled the three slots known. The
 * share of a job that was still believed in after 20 s was given the long jobs' remaining time. As nothing is sent
 * while all is refused, no further report ever came.
 *
 * <p>Seen in {@code CapacityFaultsStoryTest} beside eight busy processes, at the first of 4,056 refusals in a row:
 * <pre>
 * report free=2 own: [hint 100, sent 0.0100 ago] [hint 100, sent 0.0095 ago] [hint 0.005, sent 0.0095 ago]
 * refuse hint=0.005 own=2 others=0.694 reportAge=0.018 slots=3 wait=20.078 most=0.904 suspect=false cold=false
 * refuse hint=0.005 own=2 others=0.072 reportAge=20.007 slots=3 wait=3.856 most=0.904 suspect=false cold=false
 * </pre>
 */
class OwnJobsInReportsTest {
    private static final double SHORT = 0.005;
    private static final double LONG = 100;

    private Rig rig;

    @BeforeEach
    void oneEndpointOfFourSlots() {
        Settings settings = Rig.settings(Effect.SAFE);
        settings.tellsStart = true;
        settings.classes[0].aim = 1;
        settings.classes[0].deadline = 120;
        rig = new Rig(settings).workers(0, 1);
        // Reports that come with an answer still count the job that has ended: never more than three are seen free.
        begins(10, SHORT).pass(SHORT).ends(10, 0, Outcome.OK, Rig.free(3)).pass(0.5);
    }

    private Rig begins(long id, double hint) {
        Request request = rig.request(id);
        request.hint = hint;
        rig.logic.request(rig.now, request);
        assertEquals(1, rig.sends(id).size(), "job " + id + " goes out, answered '" + rig.answers(id) + "'");
        return rig.starts(id, 0);
    }

    @Test
    void ownJobsSentJustBeforeAReportAreNotOtherSchedulersJobs() {
        begins(1, LONG);
        begins(2, LONG);
        begins(11, SHORT).pass(SHORT).ends(11, 0, Outcome.OK, Rig.free(1));
        for (long id = 12; id < 212; id++) {
            rig.pass(0.1);
            begins(id, SHORT).pass(SHORT).ends(id, 0, Outcome.OK, Rig.free(1));
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5})
    void aSecondLongJobGoesOutBehindAShortOneThatReportedTheFirst(double later) {
        begins(1, LONG);
        begins(11, SHORT).pass(SHORT).ends(11, 0, Outcome.OK, Rig.free(2)).pass(later);
        begins(2, LONG);
    }

    @Test
    void otherSchedulersShortJobsAreNotHeldToLastAsLongAsOwnLongOnes() {
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(4));
        // One of four slots is taken by other schedulers' short jobs all the while: with two long jobs one is free.
        for (long id = 20; id < 220; id++) {
            begins(id, SHORT).pass(SHORT).ends(id, 0, Outcome.OK, Rig.free(2)).pass(0.1);
        }
        begins(1, LONG);
        begins(2, LONG).pass(0.5);
        int refused = 0;
        for (long id = 300; id < 500; id++) {
            refused += rig.askHinted(id, SHORT).sends(id).isEmpty() ? 1 : 0;
            if (!rig.sends(id).isEmpty()) {
                rig.starts(id, 0).pass(SHORT).ends(id, 0, Outcome.OK, Rig.free(0));
            }
            rig.pass(0.1);
        }
        assertTrue(refused <= 100, refused + " of 200 short jobs refused beside a slot that is free, in 20 s");
        assertEquals(1, rig.askHinted(500, SHORT).sends(500).size(), "and still refused after 20 s");
    }

    @Test
    void otherSchedulersJobsSeenAllAlongAreNotForgottenOverOwnOnes() {
        double usual = 0.3;
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(4));
        for (long id = 20; id < 60; id++) {
            begins(id, usual).pass(usual).ends(id, 0, Outcome.OK, Rig.free(1));
        }
        // Two of the slots are others' by forty reports; one that also counts two fresh own jobs changes nothing.
        begins(1, usual);
        begins(11, SHORT).pass(SHORT).ends(11, 0, Outcome.OK, Rig.free(0));
        // A job has 0.9 x (1 + 2 x 0.3) - 0.3 = 1.14 s to wait, in which four slots end 15 jobs; one slot is free.
        assertEquals(16, rig.callsAtOnce(70, 90, usual), "jobs sent at once, as if two slots are others'");
    }
}
