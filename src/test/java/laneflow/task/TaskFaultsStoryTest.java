package laneflow.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import laneflow.lab.measure.TaskHistory;
import laneflow.lab.measure.TaskMeasure;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInReceiver;
import laneflow.lab.standin.StandInReceiver.Call;
import laneflow.net.Threads;
import laneflow.ops.Platform;
import laneflow.ops.Platform.SchedulerProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hook calls that hang, arrive late or come from a scheduler with a wrong clock, checked at their receiver. */
class TaskFaultsStoryTest {
    private static final int TASKS = 6;
    private static final long MAX_CALL_NS = 500_000_000;

    @TempDir
    Path folder;

    /** Configures hooks whose receiver at that port checks tokens. */
    private static String hooksWithTokenCheck(int port) {
        StringBuilder config = new StringBuilder(TaskMeasure.file(port, 0));
        for (int i = 0; i < TASKS; i++) {
            config.append(TaskMeasure.hook("h" + i, port, "/checked", 200, true));
        }
        return config.toString();
    }

    private static String name(Call call) {
        return call.holder().substring(0, call.holder().indexOf('#'));
    }

    /** Waits until all hooks have been called again, by at least this many processes. */
    private static void awaitCalls(Rig rig, StandInReceiver receiver, int callers)
            throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        rig.await("all hooks are called, by " + callers, () -> {
            List<Call> recentCalls = receiver.calls().stream()
                    .filter(call -> call.beganNs() > startNs && call.accepted())
                    .toList();
            return recentCalls.stream().map(Call::task).distinct().count() >= TASKS
                    && recentCalls.stream().map(Call::holder).distinct().count() >= callers;
        });
    }

    @Test
    void aHangingCallIsCutOffAndDelaysNoOther() throws Exception {
        try (StandInReceiver receiver = new StandInReceiver(Crew.port(), 5);
                Rig rig = new Rig(
                        folder,
                        3,
                        3,
                        7,
                        hooksWithTokenCheck(receiver.port())
                                + TaskMeasure.hook("hang", receiver.port(), "/hang", 200, true))) {
            rig.startAll();
            rig.awaitDeciding(0, rig.all());
            awaitCalls(rig, receiver, 3);
            long startNs = System.nanoTime();
            String[] holder = {""};
            rig.await("one holder's call hangs three times while all other hooks are called", () -> {
                List<Call> recentCalls = receiver.calls().stream()
                        .filter(call -> call.beganNs() > startNs)
                        .toList();
                List<Call> hangingCalls = recentCalls.stream()
                        .filter(call -> call.task().equals("hook/hang"))
                        .toList();
                holder[0] = hangingCalls.isEmpty()
                        ? ""
                        : hangingCalls.get(hangingCalls.size() - 1).holder();
                return hangingCalls.stream()
                                        .filter(call -> call.holder().equals(holder[0]))
                                        .count()
                                >= 3
                        && recentCalls.stream()
                                        .filter(call -> !call.task().equals("hook/hang"))
                                        .map(Call::task)
                                        .distinct()
                                        .count()
                                == TASKS;
            });
            for (Call call : receiver.calls()) {
                if (call.task().equals("hook/hang")) {
                    assertTrue(call.cutOff(), call.toString());
                    assertTrue(call.endedNs() - call.beganNs() < MAX_CALL_NS, call.toString());
                }
            }
            int holderIndex = Integer.parseInt(holder[0].substring(1, holder[0].indexOf('#'))) - 1;
            JsonObject status = JsonParser.parseString(
                            rig.ask(holderIndex, "/tasks", null).body())
                    .getAsJsonObject();
            Set<String> others = new HashSet<>(status.getAsJsonObject("holds").keySet());
            others.remove("hook/hang");
            assertTrue(!others.isEmpty(), status.toString());
            rig.await(
                    "its holder calls its other hooks too",
                    () -> others.stream()
                            .allMatch(task -> receiver.calls().stream()
                                    .anyMatch(call -> call.task().equals(task)
                                            && call.holder().equals(holder[0])
                                            && call.beganNs() > startNs)));
            assertEquals(List.of(), new TaskHistory(receiver.calls()).check());
        }
    }

    /**
     * With a clock that drifts beyond its bound, two holders may act at once; a receiver that checks tokens still
     * accepts no call of the earlier holder.
     */
    @Test
    void lateCallsOfAClockBeyondItsBoundAreRejectedByTheReceiver() throws Exception {
        try (StandInReceiver receiver = new StandInReceiver(Crew.port(), 0);
                Rig rig = new Rig(folder, 4, 3, 7, hooksWithTokenCheck(receiver.port()))) {
            rig.option(3, "-Dlaneflow.lab.clock_rate=0.4");
            rig.startAll();
            rig.awaitDeciding(0, rig.all());
            awaitCalls(rig, receiver, 4);
            rig.partAll(List.of(3));
            rig.await(
                    "it calls after its lease and is rejected",
                    () -> receiver.calls().stream()
                            .anyMatch(call -> !call.accepted() && name(call).equals(Rig.name(3))));
            TaskHistory history = new TaskHistory(receiver.calls());
            history.check();
            assertEquals(0, history.staleAccepted());
            assertTrue(history.turnedDown() > 0);
        }
    }

    @Test
    void oldAndNewProcessOfAnUpgradeAreSeparateHolders() throws Exception {
        try (StandInReceiver receiver = new StandInReceiver(Crew.port(), 5);
                Rig rig = new Rig(folder, 3, 1, 7, hooksWithTokenCheck(receiver.port()))) {
            rig.start(0);
            rig.start(1);
            Path file = rig.write(2);
            try (Platform platform =
                    new Platform(folder, folder.resolve("n3.log"), Map.of(), "serve", "--config", file.toString())) {
                SchedulerProcess oldProcess = platform.launch();
                awaitCalls(rig, receiver, 3);
                Set<String> oldHolders = new HashSet<>();
                receiver.calls().stream()
                        .filter(call -> name(call).equals("n3"))
                        .forEach(call -> oldHolders.add(call.holder()));
                SchedulerProcess newProcess = platform.launch();
                awaitCalls(rig, receiver, 4);
                assertEquals(1, oldHolders.size());
                oldProcess.handle().destroy();
                oldProcess.awaitExit();
                long endedNs = System.nanoTime();
                awaitCalls(rig, receiver, 3);
                assertTrue(receiver.calls().stream()
                        .noneMatch(call -> oldHolders.contains(call.holder()) && call.beganNs() > endedNs));
                assertTrue(newProcess.handle().isAlive());
            }
            assertEquals(List.of(), new TaskHistory(receiver.calls()).check());
        }
    }

    /** A proxy to the receiver that can delay the calls of one scheduler, even beyond its death. */
    private static final class DelayingProxy implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(Crew.port(), 64, InetAddress.getLoopbackAddress());
        private final int target;
        private volatile String delayedName = "#";
        private volatile String delayedHead = "";
        private final CountDownLatch released = new CountDownLatch(1);

        private DelayingProxy(int target) throws IOException {
            this.target = target;
            Threads.daemon(this::accept, "delaying-proxy").start();
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket caller = server.accept();
                    Threads.daemon(() -> forward(caller), "delaying-proxy").start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void forward(Socket caller) {
            try (caller;
                    Socket receiver = new Socket(InetAddress.getLoopbackAddress(), target)) {
                StringBuilder request = new StringBuilder();
                InputStream input = caller.getInputStream();
                while (request.indexOf("\r\n\r\n") < 0) {
                    request.append((char) input.read());
                }
                if (request.indexOf("Task-Holder: " + delayedName) >= 0) {
                    delayedHead = request.toString();
                    released.await();
                }
                receiver.getOutputStream().write(request.toString().getBytes(StandardCharsets.US_ASCII));
                caller.getOutputStream().write(receiver.getInputStream().readAllBytes());
            } catch (IOException e) {
                // The caller has closed the connection.
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() throws IOException {
            released.countDown();
            server.close();
        }
    }

    @Test
    void aDelayedCallOfAnEarlierInstanceIsRejected() throws Exception {
        try (StandInReceiver receiver = new StandInReceiver(Crew.port(), 5);
                DelayingProxy proxy = new DelayingProxy(receiver.port());
                Rig rig = new Rig(folder, 3, 3, 7, hooksWithTokenCheck(proxy.server.getLocalPort()))) {
            rig.startAll();
            rig.awaitDeciding(0, rig.all());
            awaitCalls(rig, receiver, 3);
            int killed = (Math.max(0, rig.leader()) + 1) % 3;
            proxy.delayedName = Rig.name(killed) + "#";
            rig.await("one of its calls is delayed", () -> !proxy.delayedHead.isEmpty());
            rig.kill(killed);
            proxy.delayedName = "#";
            rig.start(killed);
            rig.awaitDeciding(0, killed);
            String task = field(proxy.delayedHead, "Task");
            long token = Long.parseLong(field(proxy.delayedHead, "Task-Token"));
            rig.await(
                    "a call with a later token has arrived",
                    () -> receiver.calls().stream()
                            .anyMatch(call -> call.task().equals(task) && call.token() > token && call.accepted()));
            proxy.released.countDown();
            rig.await(
                    "the delayed call is rejected",
                    () -> receiver.calls().stream()
                            .anyMatch(call -> call.task().equals(task) && call.token() == token && !call.accepted()));
            awaitCalls(rig, receiver, 3);
            assertEquals(List.of(), new TaskHistory(receiver.calls()).check());
        }
    }

    private static String field(String head, String name) {
        int valueStart = head.indexOf("\r\n" + name + ": ") + name.length() + 4;
        return head.substring(valueStart, head.indexOf("\r\n", valueStart));
    }
}
