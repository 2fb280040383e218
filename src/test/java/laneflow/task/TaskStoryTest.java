package laneflow.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import laneflow.cli.CliRun;
import laneflow.lab.measure.TaskHistory;
import laneflow.lab.measure.TaskMeasure;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInReceiver;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Scheduler processes that call hooks, with faults; after each test the history of all calls is checked. */
class TaskStoryTest {
    private static final int TASKS = 6;

    @TempDir
    Path folder;

    private StandInReceiver receiver;
    private Rig rig;

    @BeforeEach
    void startFleet() throws Exception {
        receiver = new StandInReceiver(Crew.port(), 10);
        rig = new Rig(folder, 3, 3, 7, TaskMeasure.file(receiver.port(), TASKS));
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        awaitCalls("all hooks are called, by all three schedulers", 3, Set.of());
    }

    @AfterEach
    void checkHistoryAndClose() throws Exception {
        try {
            TaskHistory history = new TaskHistory(receiver.calls());
            assertEquals(List.of(), history.check());
        } finally {
            rig.close();
            receiver.close();
        }
    }

    /** Waits until all hooks have been called again, by at least this many schedulers apart from the excluded ones. */
    private void awaitCalls(String description, int callers, Set<String> excluded)
            throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        rig.await(description, () -> {
            List<StandInReceiver.Call> recentCalls = receiver.calls().stream()
                    .filter(call -> call.beganNs() > startNs && call.accepted() && !excluded.contains(name(call)))
                    .toList();
            return recentCalls.stream()
                                    .map(StandInReceiver.Call::task)
                                    .distinct()
                                    .count()
                            == TASKS
                    && recentCalls.stream().map(TaskStoryTest::name).distinct().count() >= callers;
        });
    }

    private static String name(StandInReceiver.Call call) {
        return call.holder().substring(0, call.holder().indexOf('#'));
    }

    private JsonObject tasks(int i) throws IOException, InterruptedException {
        return JsonParser.parseString(rig.ask(i, "/tasks", null).body()).getAsJsonObject();
    }

    private int other(int scheduler) {
        return (scheduler + 1) % 3;
    }

    @Test
    void aKilledSchedulerIsReplacedAndRejoinsAfterRestart() throws Exception {
        int killed = other(rig.leader());
        rig.kill(killed);
        awaitCalls("others make its calls", 2, Set.of(Rig.name(killed)));
        rig.start(killed);
        awaitCalls("it gets its share of the hooks again", 3, Set.of());
    }

    @Test
    void aSchedulerSuspendedBeyondItsLeaseMakesNoLateCalls() throws Exception {
        int suspended = other(rig.leader());
        rig.stall(suspended);
        awaitCalls("others make its calls", 2, Set.of(Rig.name(suspended)));
        rig.wake(suspended);
        awaitCalls("it gets its share of the hooks again", 3, Set.of());
    }

    @Test
    void othersKeepTheirTasksWhenTheLeaderIsKilled() throws Exception {
        int leader = rig.leader();
        int follower = other(leader);
        JsonObject heldBefore = tasks(follower).getAsJsonObject("holds");
        assertTrue(heldBefore.size() > 0);
        rig.kill(leader);
        awaitCalls("others make its calls", 2, Set.of(Rig.name(leader)));
        JsonObject heldAfter = tasks(follower).getAsJsonObject("holds");
        int kept = 0;
        for (String task : heldBefore.keySet()) {
            kept += heldBefore.get(task).equals(heldAfter.get(task)) ? 1 : 0;
        }
        assertEquals(heldBefore.size(), kept, heldBefore + ", then " + heldAfter);
    }

    @Test
    void callsStopWithoutAMajorityAndResumeWithIt() throws Exception {
        int leader = rig.leader();
        rig.stall(other(leader));
        rig.stall(other(other(leader)));
        rig.await(
                "the leader's lease has ended",
                () -> tasks(leader).get("lease_ms").getAsLong() == 0);
        long startNs = System.nanoTime();
        rig.wake(other(leader));
        rig.wake(other(other(leader)));
        awaitCalls("all hooks are called again", 1, Set.of());
        assertTrue(receiver.calls().stream().anyMatch(call -> call.beganNs() > startNs));
    }

    @Test
    void aPartitionedSchedulerIsReplacedAndAStoppedOneHandsOver() throws Exception {
        int partitioned = other(rig.leader());
        rig.partAll(List.of(partitioned));
        awaitCalls("others make its calls", 2, Set.of(Rig.name(partitioned)));
        rig.heal();
        awaitCalls("it gets its share of the hooks again", 3, Set.of());
        int stopping = other(rig.leader());
        rig.end(stopping);
        awaitCalls("others make its calls", 2, Set.of(Rig.name(stopping)));
    }

    @Test
    void operatorsSeeHoldersAndCandidates() throws Exception {
        String addresses = rig.fleetAddress(0) + "," + rig.fleetAddress(1) + "," + rig.fleetAddress(2);
        rig.await(
                "the leader reports all tasks",
                () -> tasks(rig.leader()).getAsJsonArray("tasks").size() == TASKS);
        for (JsonElement task : tasks(rig.leader()).getAsJsonArray("tasks")) {
            assertTrue(task.getAsJsonObject().get("token").getAsLong() > 0);
            assertEquals(3, task.getAsJsonObject().getAsJsonArray("line").size());
        }
        CliRun run = CliRun.of("task", "show", "--at", addresses);
        assertEquals(0, run.code(), run.text());
        assertTrue(run.text().contains("hook/h0") && run.text().contains("placed"), run.text());
        String follower = rig.fleetAddress(other(rig.leader()));
        CliRun atFollower = CliRun.of("task", "show", "--at", follower);
        assertEquals(3, atFollower.code());
        assertTrue(atFollower.text().contains("none of these leads"), atFollower.text());
    }
}
