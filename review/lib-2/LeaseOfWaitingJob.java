import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Durable card captures at one Gearman worker, which takes one job at a time. One of them runs for longer than a lease,
 * with heartbeats; the next one waits at the scheduler for the worker to grab it.
 */
final class LeaseOfWaitingJob {
    private static final int WARM_UP = 6;
    private static final List<String> LEDGER = new ArrayList<>();

    private LeaseOfWaitingJob() {}

    /** A sound worker: one job at a time, a status each second, a result. */
    private static void work(Host host, int port, long longMs) throws IOException, InterruptedException {
        try (Gearman connection = new Gearman(port)) {
            connection.send(Gearman.CAN_DO, "card_capture");
            while (true) {
                connection.send(Gearman.GRAB_JOB_UNIQ);
                Gearman.Packet packet = connection.await(100_000, Gearman.JOB_ASSIGN_UNIQ, Gearman.NO_JOB);
                if (packet.type == Gearman.NO_JOB) {
                    connection.send(Gearman.PRE_SLEEP);
                    connection.await(100_000, Gearman.NOOP);
                    continue;
                }
                List<String> parts = packet.parts(4);
                String unique = parts.get(2);
                synchronized (LEDGER) {
                    LEDGER.add(unique);
                }
                host.say("worker RUNS " + unique + " handle=" + parts.get(0));
                long left = unique.equals("long") ? longMs : 50;
                for (; left > 1000; left -= 1000) {
                    connection.send(Gearman.WORK_STATUS, parts.get(0), "1", "2");
                    Thread.sleep(1000);
                }
                Thread.sleep(left);
                connection.send(Gearman.WORK_COMPLETE, parts.get(0), "done " + unique);
                host.say("worker has done " + unique);
            }
        }
    }

    private static String submit(Host host, Gearman client, String unique) throws Exception {
        client.send(Gearman.SUBMIT_JOB_BG, "card_capture", unique, "17.00 EUR");
        Gearman.Packet word = client.await(5000, Gearman.JOB_CREATED, Gearman.ERROR);
        host.say("client: SUBMIT_JOB_BG card_capture unique=" + unique + ", heard " + word);
        if (word == null || word.type != Gearman.JOB_CREATED) {
            throw new Host.NotRun("the job was not taken");
        }
        String handle = word.parts(1).get(0);
        return handle.substring(handle.length() - 16);
    }

    private static String job(int http, String id) throws IOException {
        return Http.call(http, "GET", "/jobs/" + id, Map.of(), new byte[0], 5000).text().strip();
    }

    private static boolean hasEnded(String job) {
        return job.matches("(?s).*\"state\":\"(done|failed|unknown|cancelled)\".*");
    }

    public static void main(String[] args) {
        Host.main(args, (host, trouble) -> {
            int http = Host.freePort();
            int gearman = Host.freePort();
            host.startScheduler(
                    "s1",
                    Host.settings(http) + Host.gearman(gearman) + Host.durable(host.dir.resolve("store")),
                    http);
            Thread worker = new Thread(() -> {
                try {
                    work(host, gearman, trouble ? 15_000 : 1_000);
                } catch (IOException | InterruptedException e) {
                    host.say("worker: " + e);
                }
            });
            worker.setDaemon(true);
            worker.start();
            Thread.sleep(500);
            try (Gearman client = new Gearman(gearman)) {
                for (int i = 0; i < WARM_UP; i++) {
                    String id = submit(host, client, "usual-" + i);
                    for (int poll = 0; poll < 100 && !hasEnded(job(http, id)); poll++) {
                        Thread.sleep(50);
                    }
                }
                String longId = submit(host, client, "long");
                Thread.sleep(300);
                List<String> ids = new ArrayList<>();
                for (int i = 0; i < 3; i++) {
                    ids.add(submit(host, client, "next-" + i));
                }
                for (int poll = 0; poll < 400; poll++) {
                    Thread.sleep(100);
                    boolean ended = hasEnded(job(http, longId));
                    for (String id : ids) {
                        ended &= hasEnded(job(http, id));
                    }
                    if (ended) {
                        break;
                    }
                }
                Thread.sleep(500);
                host.say("long: " + job(http, longId));
                boolean held = true;
                for (int i = 0; i < ids.size(); i++) {
                    String job = job(http, ids.get(i));
                    boolean ran;
                    synchronized (LEDGER) {
                        ran = LEDGER.contains("next-" + i);
                    }
                    host.say("next-" + i + (ran ? " ran: " : " NEVER RAN: ") + job);
                    if (!ran && hasEnded(job)) {
                        held = false;
                    }
                }
                return held;
            }
        });
    }
}
