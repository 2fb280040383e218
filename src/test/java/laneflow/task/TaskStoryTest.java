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

/** Schedulers as processes that call for the fleet, with faults between; each ends with a look at all calls. */
class TaskStoryTest {
    private static final int TASKS = 6;

    @TempDir
    Path folder;

    private StandInReceiver receiver;
    private Rig rig;

    @BeforeEach
    void begin() throws Exception {
        receiver = new StandInReceiver(Crew.port(), 10);
        rig = new Rig(folder, 3, 3, 7, TaskMeasure.file(receiver.port(), TASKS));
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        called("all tasks are called for by all three", 3, Set.of());
    }

    @AfterEach
    void end() throws Exception {
        try {
            TaskHistory history = new TaskHistory(receiver.calls());
            assertEquals(List.of(), history.check());
        } finally {
            rig.close();
            receiver.close();
        }
    }

    /** From now on all tasks are called for, by so many, and by none of these. */
    private void called(String what, int by, Set<String> but) throws IOException, InterruptedException {
        long from = System.nanoTime();
        rig.await(what, () -> {
            List<StandInReceiver.Call> since = receiver.calls().stream()
                    .filter(call -> call.beganNs() > from && call.accepted() && !but.contains(name(call)))
                    .toList();
            return since.stream().map(StandInReceiver.Call::task).distinct().count() == TASKS
                    && since.stream().map(TaskStoryTest::name).distinct().count() >= by;
        });
    }

    private static String name(StandInReceiver.Call call) {
        return call.holder().substring(0, call.holder().indexOf('#'));
    }

    private JsonObject tasks(int i) throws IOException, InterruptedException {
        return JsonParser.parseString(rig.ask(i, "/tasks", null).body()).getAsJsonObject();
    }

    private int other(int but) {
        return (but + 1) % 3;
    }

    @Test
    void whoIsKilledIsReplacedAndComesBackAsAnother() throws Exception {
        int killed = other(rig.leader());
        rig.kill(killed);
        called("others call for what it held", 2, Set.of(Rig.name(killed)));
        rig.start(killed);
        called("it gets its share again", 3, Set.of());
    }

    @Test
    void whoStandsStillForLongerThanItsLeaseActsNoMoreWhenItWakes() throws Exception {
        int stopped = other(rig.leader());
        rig.stall(stopped);
        called("others call for what it held", 2, Set.of(Rig.name(stopped)));
        rig.wake(stopped);
        called("it gets its share again", 3, Set.of());
    }

    @Test
    void theLeaderIsKilledAndTheOthersKeepWhatTheyHold() throws Exception {
        int leader = rig.leader();
        int keeps = other(leader);
        JsonObject held = tasks(keeps).getAsJsonObject("holds");
        assertTrue(held.size() > 0);
        rig.kill(leader);
        called("others call for what it held", 2, Set.of(Rig.name(leader)));
        JsonObject now = tasks(keeps).getAsJsonObject("holds");
        int kept = 0;
        for (String task : held.keySet()) {
            kept += held.get(task).equals(now.get(task)) ? 1 : 0;
        }
        assertEquals(held.size(), kept, held + " and then " + now);
    }

    @Test
    void withoutAMajorityNobodyActsAndBehindItEverythingGoesOn() throws Exception {
        int leader = rig.leader();
        rig.stall(other(leader));
        rig.stall(other(other(leader)));
        rig.await(
                "the leader has no leave to act",
                () -> tasks(leader).get("lease_ms").getAsLong() == 0);
        long from = System.nanoTime();
        rig.wake(other(leader));
        rig.wake(other(other(leader)));
        called("all tasks are called for again", 1, Set.of());
        assertTrue(receiver.calls().stream().anyMatch(call -> call.beganNs() > from));
    }

    @Test
    void whoIsCutOffIsReplacedAndWhoEndsInOrderHandsOver() throws Exception {
        int lone = other(rig.leader());
        rig.partAll(List.of(lone));
        called("others call for what it held", 2, Set.of(Rig.name(lone)));
        rig.heal();
        called("it gets its share again", 3, Set.of());
        int ends = other(rig.leader());
        rig.end(ends);
        called("others call for what it held", 2, Set.of(Rig.name(ends)));
    }

    @Test
    void operatorsSeeWhoHoldsWhatAndWhoWaits() throws Exception {
        String addresses = rig.fleetAddress(0) + "," + rig.fleetAddress(1) + "," + rig.fleetAddress(2);
        rig.await(
                "the leader tells of all tasks",
                () -> tasks(rig.leader()).getAsJsonArray("tasks").size() == TASKS);
        for (JsonElement one : tasks(rig.leader()).getAsJsonArray("tasks")) {
            assertTrue(one.getAsJsonObject().get("token").getAsLong() > 0);
            assertEquals(3, one.getAsJsonObject().getAsJsonArray("line").size());
        }
        CliRun run = CliRun.of("task", "show", "--at", addresses);
        assertEquals(0, run.code(), run.text());
        assertTrue(run.text().contains("hook/h0") && run.text().contains("placed"), run.text());
        String follower = rig.fleetAddress(other(rig.leader()));
        CliRun none = CliRun.of("task", "show", "--at", follower);
        assertEquals(3, none.code());
        assertTrue(none.text().contains("none of these leads"), none.text());
    }
}
