package review.zone;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import review.Http;
import review.Lab;
import review.TillNode;

/**
 * Durable jobs of a class whose nodes drop repeats within their zone only. The home zone is lost when its nodes have
 * run the jobs and have not answered yet. No job may run in the other zone, whose nodes don't know its key.
 */
public final class LostZone {
    private static final String JOB_CLASS = "urgent-cover";
    /** As the class's deployment has it. */
    private static final int WINDOW_MS = 20_000;

    private static final int RUN_MS = 400;
    private static final int JOBS = 2;
    private static final int WATCH_MS = 10_000;
    /** A job before the trouble; once it is served two may be at work. */
    private static final String FIRST = "cover-0";

    private LostZone() {}

    public static void main(String[] args) {
        Lab.run(args, LostZone::run);
    }

    private static boolean run(Lab lab) throws Exception {
        List<TillNode.Run> runs = new CopyOnWriteArrayList<>();
        TillNode.Keys homeKeys = new TillNode.Keys(WINDOW_MS);
        TillNode.Keys otherKeys = new TillNode.Keys(WINDOW_MS);
        List<TillNode> home = new ArrayList<>();
        StringBuilder hosts = new StringBuilder();
        CountDownLatch homeRuns = new CountDownLatch(JOBS);
        for (int i = 1; i <= 2; i++) {
            TillNode node = new TillNode(lab, "bangkok-" + i, homeKeys, RUN_MS, runs);
            node.afterRun((at, run) -> {
                if (run.body().equals(FIRST)) {
                    return true;
                }
                homeRuns.countDown();
                if (lab.trouble) {
                    // The zone is lost before the answer: the connection is reset meanwhile.
                    Thread.sleep(WATCH_MS);
                }
                return !lab.trouble;
            });
            home.add(node);
            TillNode other = new TillNode(lab, "chiang-mai-" + i, otherKeys, RUN_MS, runs);
            hosts.append(i > 1 ? "," : "").append(host(node, "bangkok", 1)).append(',').append(host(other, "chiang-mai", 2));
        }
        int http = lab.freePort();
        Path platform = lab.folder.resolve("config.json");
        Files.writeString(
                platform,
                """
                {"name":"n1","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964","limits":{"sockets":1024},
                 "known":{"seq":1,"whole":true,"hosts":[%s]},
                 "settings":{"areas":["bangkok","chiang-mai"],"az":0,"siblings":1,"slotNo":0,"tick":0.002,
                  "classes":[{"name":"urgent-cover","aim":0.3,"hardLimit":12.0,"worth":10.0,"lateWorth":0.0,
                    "semantics":"token","group":"zone","dedupWindow":20.0,"stream":false}],
                  "familyInfo":{"classStretch":[2.0],"classKind":[-1],"tellsStart":true,"progress":0.0,
                    "queueOrder":"fifo"},
                  "limits":{"cancel":true,"connIdle":10.0,"connectTimeout":0.25,"maxAttempts":5,"maxRetryAfter":2.0,
                    "probes":true,"retryAfter":true,"secondCopies":false},
                  "reporting":{"fields":["busy","q","rate","x0"],"source":"answers"},
                  "rules":{"stopSendingWithin":0.3,"tipMultiple":4.0,"fall":1.0}}}
                """.formatted(http, hosts));
        Path store = Files.createDirectories(lab.folder.resolve("store"));
        Path file = lab.folder.resolve("laneflow.toml");
        Files.writeString(
                file,
                """
                listen = "127.0.0.1:%d"
                zones = ["bangkok", "chiang-mai"]
                [durable]
                dir = "%s"
                [durable.classes.urgent-cover]
                lease_ms = 12000
                """.formatted(http, store));
        lab.startScheduler("scheduler", file, Map.of("ROUTER_CONFIG", platform.toString()));
        lab.awaitReady(http);
        List<String> places = new ArrayList<>();
        String first = submit(lab, http, FIRST);
        lab.await("the first job is done", 30, () -> Http.get(http, first).text().contains("\"state\":\"done\""));
        for (int i = 1; i <= JOBS; i++) {
            places.add(submit(lab, http, "cover-" + i));
        }
        lab.await("the home zone has run the jobs", 30, () -> homeRuns.getCount() == 0);
        if (lab.trouble) {
            for (TillNode node : home) {
                node.die();
            }
        }
        Thread.sleep(WATCH_MS);
        for (String place : places) {
            lab.record(Http.get(http, place).text().strip());
        }
        Map<String, List<String>> ranAt = new TreeMap<>();
        runs.forEach(run -> ranAt.computeIfAbsent(run.key(), key -> new ArrayList<>()).add(run.node()));
        boolean held = true;
        for (Map.Entry<String, List<String>> entry : ranAt.entrySet()) {
            boolean twice = entry.getValue().size() > 1;
            lab.record(entry.getKey() + " ran at " + entry.getValue() + (twice ? ": TWICE" : ""));
            held &= !twice;
        }
        return held;
    }

    /** Hands in a durable job; returns its place. */
    private static String submit(Lab lab, int port, String key) throws IOException {
        Http.Message answer = Http.post(
                port,
                "/" + JOB_CLASS,
                "Req-Id: r-" + key + "\r\nReq-Kind: " + JOB_CLASS + "\r\nPrefer: respond-async\r\nIdempotency-Key: " + key
                        + "\r\nReq-Cost: " + RUN_MS * 1000 + "\r\n",
                key,
                5000);
        lab.record(key + " sent, answered " + answer.status() + " " + answer.header("location"));
        if (answer.status() != 202) {
            throw new IOException("not accepted");
        }
        return answer.header("location");
    }

    private static String host(TillNode node, String zone, int block) {
        return "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"%s\",\"class\":\"std\",\"block\":%d,"
                        .formatted(node.name, node.port, zone, block)
                + "\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0}";
    }
}
