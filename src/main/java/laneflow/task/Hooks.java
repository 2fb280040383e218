package laneflow.task;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.task.TaskConfig.Hook;
import laneflow.task.decision.TaskHolder.Action;

/**
 * Addresses that the fleet calls once per period. Each hook is a task placed on one of the live schedulers.
 * A call carries its task's token and the time left for it; it is written in one piece directly after a check
 * of the clock, and its connection is closed at its deadline. Runs on the loop's thread, except for the calls,
 * which block threads of their own.
 */
public final class Hooks {
    private static final String TASK_PREFIX = "hook/";
    /** One for the call in progress and one that may still be returning from the previous call. */
    private static final int THREADS_PER_HOOK = 2;

    private static final int RETRY_MICROS = 20_000;

    private final Loop loop;
    private final Tasks tasks;
    private final Counters counters;
    private final String self;
    /** Has enough threads that a hanging call delays no other hook. */
    private final ExecutorService threads;

    private final List<Caller> callers = new ArrayList<>();

    /** @param self id of this process, sent in each call for the receiver's log */
    public Hooks(Loop loop, Tasks tasks, Counters counters, String self, List<Hook> hooks) {
        this.loop = loop;
        this.tasks = tasks;
        this.counters = counters;
        this.self = self;
        threads = Threads.boundedPool(Math.max(1, THREADS_PER_HOOK * hooks.size()), "hook");
        hooks.forEach(hook -> callers.add(new Caller(hook)));
        tasks.onGrant(() -> callers.forEach(Caller::update));
    }

    /** Makes this process a candidate for all hooks. On the loop's thread. */
    public void begin() {
        callers.forEach(caller -> tasks.addCandidacy(TASK_PREFIX + caller.hook.name(), true));
    }

    /** Makes the calls of one hook while this process holds its task. */
    private final class Caller {
        private final Hook hook;
        private final Deadline due = loop.deadlines().create(this::run);
        private boolean held;
        private boolean calling;

        private Caller(Hook hook) {
            this.hook = hook;
        }

        /** Called after each grant: starts the calls if this process has gained the task. */
        private void update() {
            boolean now = tasks.holds(TASK_PREFIX + hook.name());
            if (now && !held && !calling) {
                loop.deadlines().set(due, loop.micros());
            }
            held = now;
        }

        private void run() {
            if (calling) {
                return;
            }
            Action action = held ? tasks.begin(TASK_PREFIX + hook.name(), hook.timeout(), hook.lateSafety()) : null;
            if (action == null) {
                // The lease is about to be renewed, or was lost and the next grant will tell.
                if (tasks.holds(TASK_PREFIX + hook.name())) {
                    loop.deadlines().set(due, loop.micros() + Math.min(RETRY_MICROS, hook.period()));
                } else {
                    held = false;
                }
                return;
            }
            calling = true;
            long nextCall = loop.micros() + hook.period();
            try {
                threads.execute(() -> {
                    String failure = call(action);
                    try {
                        loop.later(() -> finish(action, failure, nextCall));
                    } catch (RejectedExecutionException e) {
                        // The loop has ended: nobody is left to take the result.
                        counters.add("task.calls_unheard");
                    }
                });
            } catch (RejectedExecutionException e) {
                finish(action, "no thread available", nextCall);
            }
        }

        private void finish(Action action, String failure, long nextCall) {
            calling = false;
            tasks.end(action);
            counters.add(failure == null ? "task.calls" : "task.calls_failed");
            loop.deadlines().set(due, Math.max(loop.micros(), nextCall));
        }

        /** Returns null on success, else the reason of the failure. Ends by the action's deadline in any case. */
        private String call(Action action) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                InetSocketAddress to = Loop.parseAddress(hook.address());
                long left = millisLeft(action);
                if (left <= 0) {
                    return "deadline passed before the connect";
                }
                socket.connect(to, (int) left);
                left = millisLeft(action);
                byte[] head = ("POST " + hook.path() + " HTTP/1.1\r\nHost: " + hook.address()
                                + "\r\nContent-Length: 0"
                                + "\r\nConnection: close\r\nTask: " + action.task() + "\r\nTask-Token: "
                                + action.token()
                                + "\r\nTask-Holder: " + self + "\r\nTask-Ends-Ms: " + left + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
                // Nothing runs between this check and the write, but the process may still be suspended here:
                // that is why each hook declares what makes a late call safe.
                if (millisLeft(action) <= 0) {
                    return "deadline passed before the request was written";
                }
                socket.getOutputStream().write(head);
                return readResponse(socket, action);
            } catch (IOException e) {
                return e.toString();
            }
        }

        private String readResponse(Socket socket, Action action) throws IOException {
            InputStream in = socket.getInputStream();
            byte[] status = new byte[16];
            int filled = 0;
            while (filled < status.length) {
                long left = millisLeft(action);
                if (left <= 0) {
                    return "deadline passed before the response";
                }
                socket.setSoTimeout((int) left);
                int read = in.read(status, filled, status.length - filled);
                if (read < 0) {
                    break;
                }
                filled += read;
            }
            String line = new String(status, 0, filled, StandardCharsets.US_ASCII);
            return line.startsWith("HTTP/1.1 2") ? null : "response '" + line.strip() + "'";
        }

        private long millisLeft(Action action) {
            return (action.endsBy() - tasks.now()) / 1000;
        }
    }

    /** Starts no further calls. */
    public void close() {
        threads.shutdown();
    }
}
