package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that an admission gate refuses or holds, and endpoints banned by a policy. */
class AdmissionGateTest implements RecordingFront, AdmissionGate {
    private long now = 1_000_000_000L;
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final Scheduler scheduler = new Scheduler(SchedulerTest.settings(), 7, () -> now, deadlines, counters);
    private final List<String> answers = new ArrayList<>();
    private boolean open;
    private long untilOpen = Long.MAX_VALUE;

    @Override
    public boolean mayDecide() {
        return open;
    }

    @Override
    public long microsUntilOpen() {
        return untilOpen;
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

    private Request submit() {
        Request request = new Request(
                this, answers.size(), new Payload("", "", "r", null, new byte[0]), SchedulerTest.SAFE, now + 5_000_000);
        scheduler.submit(request);
        return request;
    }

    private void advance(long micros) {
        now += micros;
        deadlines.runDue(now);
    }

    @Test
    void aClosedGateRefusesAtOnceWithoutADecision() {
        scheduler.setAdmissionGate(this);
        Request request = submit();
        assertEquals(List.of("refused 0.3"), answers);
        assertEquals(-1, request.epoch());
        assertEquals(0, scheduler.openRequests() + counters.get("http.taken"));
        assertEquals(1, counters.get("http.fenced"));
        // The request has its answer, so withdrawing it counts nothing.
        scheduler.withdraw(request);
        assertEquals(0, counters.get("http.withdrawn"));
        open = true;
        submit();
        assertEquals(1, counters.get("http.taken"));
    }

    @Test
    void aRequestWaitsBrieflyForAGateAboutToOpen() {
        scheduler.setAdmissionGate(this);
        untilOpen = 10_001;
        submit();
        assertEquals(List.of("refused 0.3"), answers);
        untilOpen = 10_000;
        submit();
        advance(9_999);
        assertEquals(1, answers.size());
        open = true;
        advance(1);
        // Now it is decided on: no endpoint is listed, so the module refuses it with a retry time of its own.
        assertEquals(2, answers.size());
        assertEquals(1, counters.get("http.taken"));
        // The gate opens later than announced: the request is not held a second time.
        open = false;
        submit();
        advance(10_000);
        assertEquals("refused 0.3", answers.get(2));
        // A held request whose client leaves gets no answer and is not decided on.
        Request withdrawn = submit();
        scheduler.withdraw(withdrawn);
        open = true;
        advance(20_000);
        assertEquals(3, answers.size());
        assertEquals(1, counters.get("http.taken"));
        assertEquals(1, counters.get("http.withdrawn"));
    }

    @Test
    void settingUpABannedEndpointDoesNotLiftTheBan() {
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
