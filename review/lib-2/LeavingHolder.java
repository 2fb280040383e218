import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A fleet of four schedulers, three of which vote, that calls a service for four tasks. One scheduler that holds a task is
 * restarted in the planned way (SIGTERM) while its call is under way.
 */
final class LeavingHolder {
    private static final int SCHEDULERS = 4;
    private static final int HOOKS = 4;
    /** How long the service works on a call, less than the call may take. */
    private static final long WORK_MS = 1800;

    private LeavingHolder() {}

    /** A call as the service sees it: from its head to its answer or to the end of its connection. */
    private static final class Call {
        private final String task;
        private final String holder;
        private final long token;
        private final long beginNs = System.nanoTime();
        private volatile long endNs = Long.MAX_VALUE;
        private volatile String end = "under way";

        Call(Http message) {
            task = message.headers.get("task");
            holder = message.headers.get("task-holder");
            token = Long.parseLong(message.headers.get("task-token"));
        }

        private static double seconds(long ns) {
            return (ns - Host.START) / 1e9;
        }

        @Override
        public String toString() {
            return String.format("%s token=%d by %s from %.3f to %s", task, token, holder, seconds(beginNs),
                    endNs == Long.MAX_VALUE ? end : String.format("%.3f (%s)", seconds(endNs), end));
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Works on one call; a caller that closes its connection, or ends its sending, has gone, and the work ends. */
    private static void serve(Socket socket, List<Call> calls) {
        try (socket) {
            Http message = Http.read(socket.getInputStream());
            if (message == null) {
                return;
            }
            Call call = new Call(message);
            synchronized (calls) {
                calls.add(call);
            }
            try {
                socket.setSoTimeout((int) WORK_MS);
                call.end = socket.getInputStream().read() < 0 ? "its caller has closed" : "its caller sent more";
            } catch (SocketTimeoutException e) {
                call.end = "answered";
                socket.getOutputStream().write(Host.bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
            } catch (IOException e) {
                call.end = "reset";
            }
            call.endNs = System.nanoTime();
        } catch (IOException e) {
            // The connection ended before a call was read.
        }
    }

    public static void main(String[] args) {
        Host.main(args, (host, trouble) -> {
            List<Call> calls = new ArrayList<>();
            ServerSocket service = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
            daemon(() -> {
                try {
                    while (true) {
                        Socket socket = service.accept();
                        daemon(() -> serve(socket, calls));
                    }
                } catch (IOException e) {
                    // The case is over.
                }
            });
            Till till = new Till(host, "till-1", 50, true);
            int[] client = new int[SCHEDULERS];
            int[] fleet = new int[SCHEDULERS];
            StringBuilder peers = new StringBuilder();
            for (int i = 0; i < SCHEDULERS; i++) {
                client[i] = Host.freePort();
                fleet[i] = Host.freePort();
                peers.append("n" + (i + 1) + " = \"127.0.0.1:" + fleet[i] + "\"\n");
            }
            StringBuilder hooks = new StringBuilder();
            for (int k = 1; k <= HOOKS; k++) {
                hooks.append("[tasks.hooks.tidy-" + k + "]\nat = \"127.0.0.1:" + service.getLocalPort()
                        + "\"\npath = \"/tidy\"\nevery_ms = 2000\nmost_ms = 2000\nlate_calls = \"checked\"\n");
            }
            Process[] processes = new Process[SCHEDULERS];
            for (int i = 0; i < SCHEDULERS; i++) {
                String text = "name = \"n" + (i + 1) + "\"\n" + Host.settings(client[i]) + Host.endpoints(till.port())
                        + Host.durable(host.dir.resolve("store-" + (i + 1)))
                        + "[fleet]\nlisten = \"127.0.0.1:" + fleet[i] + "\"\n[fleet.peers]\n" + peers
                        + "[policy]\nvoters = [\"n1\", \"n2\", \"n3\"]\ndir = \"" + host.dir.resolve("votes-" + (i + 1))
                        + "\"\nlease_ms = 4000\ncut_off = \"stop\"\n[tasks]\n" + hooks;
                processes[i] = host.launch("n" + (i + 1), text, Map.of());
            }
            for (int i = 0; i < SCHEDULERS; i++) {
                host.awaitReady("n" + (i + 1), processes[i], client[i]);
            }
            Thread.sleep(10_000);
            String tasks = Http.call(fleet[0], "GET", "/tasks", Map.of(), new byte[0], 3000).text();
            String leader = tasks.replaceAll("(?s).*\"leader\":\"([^\"#]*).*", "$1");
            host.say("the voters' leader is " + leader);
            // A call that has just begun, by a scheduler that does not lead.
            Call chosen = null;
            for (int poll = 0; poll < 2000 && chosen == null; poll++) {
                Thread.sleep(5);
                synchronized (calls) {
                    for (Call call : calls) {
                        if (call.endNs == Long.MAX_VALUE
                                && System.nanoTime() - call.beginNs < 100_000_000L
                                && !call.holder.startsWith(leader + "#")) {
                            chosen = call;
                        }
                    }
                }
            }
            if (chosen == null) {
                throw new Host.NotRun("no call by a scheduler that does not lead");
            }
            int holder = Integer.parseInt(chosen.holder.substring(1, 2)) - 1;
            host.say("chosen: " + chosen);
            if (trouble) {
                host.signal("TERM", processes[holder]);
            }
            Thread.sleep(6000);
            boolean held = true;
            List<Call> all;
            synchronized (calls) {
                all = new ArrayList<>(calls);
            }
            TreeSet<String> seen = new TreeSet<>();
            all.forEach(call -> seen.add(call.toString()));
            seen.forEach(host::say);
            for (Call first : all) {
                for (Call second : all) {
                    if (first.task.equals(second.task)
                            && !first.holder.equals(second.holder)
                            && first.beginNs < second.beginNs
                            && second.beginNs < first.endNs) {
                        held = false;
                        host.say("two at once for " + (Math.min(first.endNs, second.endNs) - second.beginNs) / 1_000_000
                                + " ms: " + first + " AND " + second);
                    }
                }
            }
            if (trouble) {
                host.say("n" + (holder + 1) + " has ended: " + !processes[holder].isAlive());
            }
            return held;
        });
    }
}
