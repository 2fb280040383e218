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
 * Addresses that the fleet calls once a period, whoever does it: a task each, placed over the live
 * schedulers. A call carries its task's token and how long it may take; it is written in one piece right
 * behind a look at the clock, and its connection is closed when its time is over. On the loop's thread, but
 * for the calls, which block on threads of their own.
 */
public final class Hooks {
    private static final String TASK = "hook/";
    /** A thread for each call under way, and one that comes back from it. */
    private static final int THREADS_A_HOOK = 2;

    private static final int SOON = 20_000;

    private final Loop loop;
    private final Tasks tasks;
    private final Counters counters;
    private final String self;
    /** One that hangs holds up no other's. */
    private final ExecutorService threads;

    private final List<One> all = new ArrayList<>();

    /** @param self this process, for the receiver's log */
    public Hooks(Loop loop, Tasks tasks, Counters counters, String self, List<Hook> hooks) {
        this.loop = loop;
        this.tasks = tasks;
        this.counters = counters;
        this.self = self;
        threads = Threads.atMost(Math.max(1, THREADS_A_HOOK * hooks.size()), "hook");
        hooks.forEach(hook -> all.add(new One(hook)));
        tasks.onGrant(() -> all.forEach(One::look));
    }

    /** On the loop: from now on this process takes part. */
    public void begin() {
        all.forEach(one -> tasks.addCandidacy(TASK + one.hook.name(), true));
    }

    private final class One {
        private final Hook hook;
        private final Deadline due = loop.deadlines().create(this::run);
        private boolean held;
        private boolean busy;

        private One(Hook hook) {
            this.hook = hook;
        }

        private void look() {
            boolean now = tasks.holds(TASK + hook.name());
            if (now && !held && !busy) {
                loop.deadlines().set(due, loop.micros());
            }
            held = now;
        }

        private void run() {
            if (busy) {
                return;
            }
            Action act = held ? tasks.begin(TASK + hook.name(), hook.most(), hook.need()) : null;
            if (act == null) {
                // Its lease is about to be renewed, or lost: then the next word says so.
                if (tasks.holds(TASK + hook.name())) {
                    loop.deadlines().set(due, loop.micros() + Math.min(SOON, hook.every()));
                } else {
                    held = false;
                }
                return;
            }
            busy = true;
            long again = loop.micros() + hook.every();
            try {
                threads.execute(() -> {
                    String failed = call(act);
                    try {
                        loop.later(() -> over(act, failed, again));
                    } catch (RejectedExecutionException e) {
                        // The loop has ended, and with it what the call was for.
                        counters.add("task.calls_unheard");
                    }
                });
            } catch (RejectedExecutionException e) {
                over(act, "no thread", again);
            }
        }

        private void over(Action act, String failed, long again) {
            busy = false;
            tasks.end(act);
            counters.add(failed == null ? "task.calls" : "task.calls_failed");
            loop.deadlines().set(due, Math.max(loop.micros(), again));
        }

        /** Null where it was answered with success, else why not. Closed by the act's end, whatever comes. */
        private String call(Action act) {
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                InetSocketAddress to = Loop.address(hook.at());
                long left = left(act);
                if (left <= 0) {
                    return "its time was over before it began";
                }
                socket.connect(to, (int) left);
                left = left(act);
                byte[] head = ("POST " + hook.path() + " HTTP/1.1\r\nHost: " + hook.at()
                                + "\r\nContent-Length: 0"
                                + "\r\nConnection: close\r\nTask: " + act.task() + "\r\nTask-Token: " + act.token()
                                + "\r\nTask-Holder: " + self + "\r\nTask-Ends-Ms: " + left + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
                // Nothing stands between this look at the clock and the bytes; a process that is stopped
                // here all the same is why each hook says what a late call does.
                if (left(act) <= 0) {
                    return "its time was over before it was written";
                }
                socket.getOutputStream().write(head);
                return answer(socket, act);
            } catch (IOException e) {
                return e.toString();
            }
        }

        private String answer(Socket socket, Action act) throws IOException {
            InputStream in = socket.getInputStream();
            byte[] status = new byte[16];
            int had = 0;
            while (had < status.length) {
                long left = left(act);
                if (left <= 0) {
                    return "cut off";
                }
                socket.setSoTimeout((int) left);
                int read = in.read(status, had, status.length - had);
                if (read < 0) {
                    break;
                }
                had += read;
            }
            String line = new String(status, 0, had, StandardCharsets.US_ASCII);
            return line.startsWith("HTTP/1.1 2") ? null : "answered '" + line.strip() + "'";
        }

        private long left(Action act) {
            return (act.endsBy() - tasks.now()) / 1000;
        }
    }

    /** No further call begins. */
    public void close() {
        threads.shutdown();
    }
}
