import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Two durable jobs of a keyed function, which the client hands in with the unique "-", at an HTTP till node. */
final class KeyOfUnnamedJobs {
    private static final String ENDED = "(?s).*\"state\":\"(done|failed|unknown|cancelled)\".*";

    private KeyOfUnnamedJobs() {}

    public static void main(String[] args) {
        Host.main(args, (host, trouble) -> {
            int http = Host.freePort();
            int gearman = Host.freePort();
            try (Till till = new Till(host, "till-1", 200, true)) {
                host.startScheduler(
                        "s1",
                        Host.settings(http) + Host.endpoints(till.port()) + Host.gearman(gearman)
                                + Host.durable(host.dir.resolve("store")),
                        http);
                Set<String> sent = new TreeSet<>();
                boolean held = true;
                try (Gearman client = new Gearman(gearman)) {
                    for (int i = 1; i <= 2; i++) {
                        String data = "receipt-" + i;
                        String unique = trouble ? "-" : "own-" + i;
                        client.send(Gearman.SUBMIT_JOB_BG, "points_post", unique, data);
                        host.say("client: SUBMIT_JOB_BG points_post unique=" + unique + " data=" + data);
                        Gearman.Packet word = client.await(5000, Gearman.JOB_CREATED, Gearman.ERROR);
                        host.say("client: heard " + word);
                        if (word == null || word.type != Gearman.JOB_CREATED) {
                            continue;
                        }
                        sent.add(data);
                        String handle = word.parts(1).get(0);
                        String id = handle.substring(handle.length() - 16);
                        String state = "";
                        for (int poll = 0; poll < 150 && !state.matches(ENDED); poll++) {
                            Thread.sleep(100);
                            state = Http.call(http, "GET", "/jobs/" + id, Map.of(), new byte[0], 5000).text();
                        }
                        host.say("GET /jobs/" + id + ": " + state);
                        if (state.contains("\"state\":\"done\"") && !state.contains("done " + data)) {
                            host.say("the job of " + data + " is told as done with a result that is not its own");
                            held = false;
                        }
                    }
                }
                for (Till.Run run : till.runs()) {
                    sent.remove(run.body());
                }
                if (!sent.isEmpty()) {
                    host.say("acknowledged, and never run: " + sent);
                    held = false;
                }
                return held;
            }
        });
    }
}
