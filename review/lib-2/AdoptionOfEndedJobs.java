import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A fleet of three schedulers with their durable jobs in one folder. One of them has worked off many jobs of the largest
 * body, and is killed; another one takes its store over.
 */
final class AdoptionOfEndedJobs {
    private static final int SCHEDULERS = 3;
    private static final int JOBS = 2000;
    private static final int BODY_BYTES = 60_000;
    private static final int CLIENTS = 16;

    private AdoptionOfEndedJobs() {}

    private static long counter(int port, String name) throws IOException {
        for (String line : Http.call(port, "GET", "/counters", Map.of(), new byte[0], 3000).text().split("\n")) {
            if (line.startsWith(name + " ")) {
                return Long.parseLong(line.substring(name.length() + 1).strip());
            }
        }
        return 0;
    }

    public static void main(String[] args) {
        Host.main(args, (host, trouble) -> {
            Till till = new Till(host, "till-1", 0, true);
            till.quiet = true;
            int[] client = new int[SCHEDULERS];
            int[] fleet = new int[SCHEDULERS];
            StringBuilder peers = new StringBuilder();
            for (int i = 0; i < SCHEDULERS; i++) {
                client[i] = Host.freePort();
                fleet[i] = Host.freePort();
                peers.append("n" + (i + 1) + " = \"127.0.0.1:" + fleet[i] + "\"\n");
            }
            Files.createDirectories(host.dir.resolve("stores"));
            Process[] processes = new Process[SCHEDULERS];
            for (int i = 0; i < SCHEDULERS; i++) {
                String text = "name = \"n" + (i + 1) + "\"\n" + Host.settings(client[i]) + Host.endpoints(till.port())
                        + Host.durable(host.dir.resolve("stores/n" + (i + 1))).replace("store_mib = 64", "store_mib = 1024")
                        + "[fleet]\nlisten = \"127.0.0.1:" + fleet[i] + "\"\n[fleet.peers]\n" + peers
                        + "[policy]\nvoters = [\"n1\", \"n2\", \"n3\"]\ndir = \"" + host.dir.resolve("votes-" + (i + 1))
                        + "\"\nlease_ms = 1000\ncut_off = \"stop\"\n[tasks]\nstores = \"" + host.dir.resolve("stores")
                        + "\"\nadopt_after_ms = 2000\n";
                processes[i] = host.launch("n" + (i + 1), text, Map.of());
            }
            for (int i = 0; i < SCHEDULERS; i++) {
                host.awaitReady("n" + (i + 1), processes[i], client[i]);
            }
            AtomicInteger next = new AtomicInteger();
            AtomicInteger taken = new AtomicInteger();
            CountDownLatch ready = new CountDownLatch(CLIENTS);
            for (int c = 0; c < CLIENTS; c++) {
                Thread thread = new Thread(() -> {
                    byte[] body = Host.bytes("x".repeat(BODY_BYTES));
                    try (Socket socket = Host.connect(client[0])) {
                        socket.setSoTimeout(10_000);
                        for (int i = next.getAndIncrement(); i < JOBS; i = next.getAndIncrement()) {
                            Http answer = null;
                            while (answer == null || answer.status == 503) {
                                if (answer != null) {
                                    Thread.sleep(200);
                                }
                                Map<String, String> headers = new LinkedHashMap<>();
                                headers.put("Req-Id", "job-" + i + "-" + System.nanoTime());
                                headers.put("Prefer", "respond-async");
                                headers.put("Idempotency-Key", "receipt-" + i);
                                Http.send(socket, "POST", "/points-post", headers, body);
                                answer = Http.read(socket.getInputStream());
                                if (answer == null) {
                                    return;
                                }
                            }
                            if (answer.status == 202) {
                                taken.incrementAndGet();
                            }
                        }
                    } catch (IOException | InterruptedException e) {
                        host.say("client: " + e);
                    } finally {
                        ready.countDown();
                    }
                });
                thread.setDaemon(true);
                thread.start();
            }
            ready.await(60, TimeUnit.SECONDS);
            host.say("n1 has taken " + taken + " jobs of " + BODY_BYTES + " bytes");
            for (int poll = 0; poll < 100 && counter(client[0], "durable.done") < taken.get(); poll++) {
                Thread.sleep(200);
            }
            long done = counter(client[0], "durable.done");
            host.say("n1: durable.done=" + done + " durable.open=" + counter(client[0], "durable.open"));
            if (done < JOBS / 2) {
                throw new Host.NotRun("too few jobs were done");
            }
            if (trouble) {
                host.kill("n1", processes[0]);
            }
            long until = System.nanoTime() + 30_000_000_000L;
            boolean held = true;
            long adopted = 0;
            while (System.nanoTime() < until && held && adopted < done) {
                Thread.sleep(500);
                adopted = 0;
                for (int i = 1; i < SCHEDULERS; i++) {
                    if (!processes[i].isAlive()) {
                        host.say("n" + (i + 1) + " HAS CRASHED, exit code " + processes[i].exitValue() + ", its log ends:\n"
                                + host.log("n" + (i + 1)).replaceAll("(?s).*((?:[^\n]*\n){6})$", "$1"));
                        held = false;
                    } else {
                        try {
                            adopted += counter(client[i], "durable.taken_over");
                        } catch (IOException e) {
                            host.say("n" + (i + 1) + " does not answer: " + e);
                        }
                    }
                }
                host.say("taken over so far: " + adopted);
                if (!trouble && System.nanoTime() > until - 20_000_000_000L) {
                    break;
                }
            }
            if (!held) {
                // The next scheduler adopts both stores.
                Thread.sleep(10_000);
                for (int i = 1; i < SCHEDULERS; i++) {
                    if (processes[i].isAlive()) {
                        Map<String, String> headers = new LinkedHashMap<>();
                        headers.put("Req-Id", "behind-" + i);
                        host.say("client at n" + (i + 1) + ": POST /basket-check, heard "
                                + Http.call(client[i], "POST", "/basket-check", headers, Host.bytes("x"), 7000).first);
                    }
                    host.say("n" + (i + 1) + (processes[i].isAlive() ? " runs" : " has ended, exit code " + processes[i].exitValue()));
                }
            }
            return held;
        });
    }
}
