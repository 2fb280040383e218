package example;

import java.util.List;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Worker;
import laneflow.decision.Logic;

/** Runs the dispatcher with one worker and one request; a real host implements the actions with sockets and timers. */
public final class EmbedExample implements Dispatch.Actions {
    private final StringBuilder recorded = new StringBuilder();

    /** Prints the actions that one request causes. */
    public static void main(String[] args) {
        System.out.println(dispatchOne());
    }

    /** Dispatches one request and returns the recorded actions: "send 1 to 7, answered". */
    public static String dispatchOne() {
        Settings settings = new Settings();
        settings.classes = new Dispatch.JobClass[] {new Dispatch.JobClass()};
        EmbedExample host = new EmbedExample();
        Dispatch dispatch = new Logic(settings, 42, host);

        Worker worker = new Worker();
        worker.id = 7;
        dispatch.start(0.0);
        dispatch.list(0.0, ListKind.CACHED, List.of(worker));

        Request request = new Request();
        request.id = 1;
        request.deadline = 10.0;
        request.hint = 0.2;
        dispatch.request(0.0, request);
        dispatch.outcome(0.3, 1, 0, 7, Outcome.OK, true, null);
        return host.recorded.append(", answered").toString();
    }

    @Override
    public void send(long request, int attempt, long worker) {
        recorded.append("send ").append(request).append(" to ").append(worker);
    }

    @Override
    public void refuse(long request, double retryAfter) {}

    @Override
    public void fail(long request) {}

    @Override
    public boolean cancel(long request, int attempt) {
        return false;
    }

    @Override
    public void probe(long worker) {}

    @Override
    public void closeIdle(long worker) {}

    @Override
    public void wake(double delay, long token) {}

    @Override
    public void watchList() {}
}
