package review.restart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import review.Gearman;
import review.Lab;
import review.TillNode;

/**
 * Gearman clients hand in jobs of the keyed class, each another receipt, every second one with a unique of its own and
 * the others without. The scheduler is killed between two of them and started again. Every job that is answered with
 * WORK_COMPLETE must have run.
 */
public final class RepeatedKeys {
    private static final String FUNCTION = "points_post";
    private static final int JOBS = 12;
    private static final int KILL_BEFORE = 7;
    private static final int RUN_MS = 30;

    private RepeatedKeys() {}

    public static void main(String[] args) {
        Lab.run(args, RepeatedKeys::run);
    }

    private static boolean run(Lab lab) throws Exception {
        List<TillNode.Run> runs = new CopyOnWriteArrayList<>();
        // All till nodes drop a repeat of a receipt key for 10 s.
        TillNode.Keys keys = new TillNode.Keys(10_000);
        TillNode one = new TillNode(lab, "till-1", keys, RUN_MS, runs);
        TillNode two = new TillNode(lab, "till-2", keys, RUN_MS, runs);
        int http = lab.freePort();
        int gearman = lab.freePort();
        Path file = lab.folder.resolve("laneflow.toml");
        // As deploy/laneflow.toml, with fewer tables.
        Files.writeString(
                file,
                """
                listen = "127.0.0.1:%d"
                zones = ["celje-1", "maribor-1"]
                zone = "celje-1"
                [limits]
                sockets = 1024
                connect_timeout_ms = 1000
                endpoint_idle_ms = 10000
                attempts = 5
                [classes.points-post]
                aim_ms = 250
                stretch = 2
                deadline_ms = 6000
                worth = 2
                repeat = "keyed"
                window_ms = 10000
                [endpoints.till-1]
                dial = "127.0.0.1:%d"
                [endpoints.till-2]
                dial = "127.0.0.1:%d"
                [gearman]
                listen = "127.0.0.1:%d"
                [gearman.functions.points_post]
                class = "points-post"
                """.formatted(http, one.port, two.port, gearman));
        Process scheduler = lab.startScheduler("scheduler", file, Map.of());
        lab.awaitReady(http);
        int broken = 0;
        for (int i = 1; i <= JOBS; i++) {
            if (i == KILL_BEFORE && lab.trouble) {
                lab.kill("scheduler", scheduler);
                scheduler = lab.startScheduler("scheduler", file, Map.of());
                lab.awaitReady(http);
            }
            String body = "receipt-" + i;
            String unique = i % 2 == 0 ? "till 4 " + body : "";
            lab.record(body + " sent, unique '" + unique + "'");
            Gearman.Packet answer = submit(gearman, unique, body);
            boolean completed = answer.type() == Gearman.WORK_COMPLETE;
            String result = completed ? answer.args().get(1) : "";
            boolean ran = runs.stream().anyMatch(run -> run.body().equals(body));
            lab.record(body + (completed ? " answered WORK_COMPLETE '" + result + "'" : " answered WORK_FAIL")
                    + (ran ? ", it ran" : ", it DID NOT RUN"));
            if (completed && (!ran || !result.equals("ran " + body))) {
                broken++;
            }
        }
        lab.record(broken + " of " + JOBS + " jobs answered as complete with another job's result, and not run");
        return broken == 0;
    }

    /** Hands in a foreground job and returns the packet that ends it. */
    private static Gearman.Packet submit(int port, String unique, String body) throws IOException {
        try (Gearman client = new Gearman(port, 10_000)) {
            client.send(Gearman.SUBMIT_JOB, FUNCTION, unique, body);
            Gearman.Packet packet = client.read();
            while (packet.type() != Gearman.WORK_COMPLETE && packet.type() != Gearman.WORK_FAIL) {
                if (packet.type() == Gearman.ERROR) {
                    throw new IOException("not accepted: " + packet);
                }
                packet = client.read();
            }
            return packet;
        }
    }
}
