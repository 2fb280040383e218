package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests where something outside the scheduler says whether it may decide. */
class AdmissionGateTest implements RecordingFront, AdmissionGate {
    private long now = 1_000_000_000L;
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final Scheduler scheduler = new Scheduler(SchedulerTest.settings(), 7, () -> now, deadlines, counters);
    private final List<String> answers = new ArrayList<>();
    private boolean may;
    private long within = Long.MAX_VALUE;

    @Override
    public boolean mayDecide() {
        return may;
    }

    @Override
    public long microsUntilOpen() {
        return within;
    }

    @Override
    public double retryAfter() {
        return 0.3;
    }

    @Override
    public List<String> answers() {
        return answers;
    }

    @Override
    public void refused(long tag, double retryAfter) {
        answers.add("refused " + retryAfter);
    }

    private Request ask() {
        Request request = new Request(
                this, answers.size(), new Payload("", "", "r", null, new byte[0]), SchedulerTest.SAFE, now + 5_000_000);
        scheduler.submit(request);
        return request;
    }

    private void pass(long micros) {
        now += micros;
        deadlines.runDue(now);
    }

    @Test
    void whatItMayNotDecideOnIsAnsweredAtOnceAndReachesNoModule() {
        scheduler.setAdmissionGate(this);
        Request request = ask();
        assertEquals(List.of("refused 0.3"), answers);
        assertEquals(-1, request.epoch());
        assertEquals(0, scheduler.openRequests() + counters.get("http.taken"));
        assertEquals(1, counters.get("http.fenced"));
        // It has left and has its answer: nothing more is owed.
        scheduler.withdraw(request);
        assertEquals(0, counters.get("http.withdrawn"));
        may = true;
        ask();
        assertEquals(1, counters.get("http.taken"));
    }

    @Test
    void whatComesRightBeforeABeginningWaitsForItAndNoLonger() {
        scheduler.setAdmissionGate(this);
        within = 10_001;
        ask();
        assertEquals(List.of("refused 0.3"), answers);
        within = 10_000;
        ask();
        pass(9_999);
        assertEquals(1, answers.size());
        may = true;
        pass(1);
        // Decided now: nobody is listed, so it is refused by the module, with its own time to come back.
        assertEquals(2, answers.size());
        assertEquals(1, counters.get("http.taken"));
        // Begun later than was said, it is not held again.
        may = false;
        ask();
        pass(10_000);
        assertEquals("refused 0.3", answers.get(2));
        // One whose client leaves meanwhile is owed nothing and is taken by nobody.
        Request left = ask();
        scheduler.withdraw(left);
        may = true;
        pass(20_000);
        assertEquals(3, answers.size());
        assertEquals(1, counters.get("http.taken"));
        assertEquals(1, counters.get("http.withdrawn"));
    }

    @Test
    void whatAPolicyBansStaysBannedWhateverOperatorsSetUp() {
        scheduler.ban(java.util.Set.of("e1"));
        scheduler.setDown("e1");
        scheduler.setUp("e1");
        Endpoint endpoint = new Endpoint("e1", null);
        assertEquals(true, scheduler.isDown(endpoint));
        scheduler.setDown("e1");
        scheduler.ban(java.util.Set.of());
        assertEquals(true, scheduler.isDown(endpoint));
        scheduler.setUp("e1");
        assertEquals(false, scheduler.isDown(endpoint));
    }
}
