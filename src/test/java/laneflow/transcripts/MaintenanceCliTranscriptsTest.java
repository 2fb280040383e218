package laneflow.transcripts;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import laneflow.cli.CliRun;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The output of {@code maintenance} commands against a stand-in that responds as a leader or without one. */
class MaintenanceCliTranscriptsTest {
    private static final String WINDOW_PREFIX = "{'name':'fw','owner':'power crew','racks':['a1','a2'],";
    private static final String REPORT_PREFIX =
            "{'scheduler':'n1','leader':'n1','coordinator':'n2#0a1b2c3d4e5f','token':7,'policy':3,'away':1,"
                    + "'racks':['a1','a2'],'windows':[";
    private static final String VALID_REQUEST =
            "name = 'fw'\nowner = 'power crew'\nracks = ['a1', 'a2']\nwork_minutes = 90\n"
                    + "time_zone = 'Europe/Ljubljana'\nearliest = '2026-12-10T22:00'\nlatest = '2026-12-11T06:00'\n";

    @TempDir
    private Path folder;

    /** A stand-in for the leader: it gives the responses set for a path in order, and repeats the last one. */
    private final class LeaderStandIn implements AutoCloseable {
        private final HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        private final Map<String, Deque<String>> responses = new HashMap<>();
        private final Transcript transcript;

        LeaderStandIn(Transcript transcript) throws IOException {
            this.transcript = transcript;
            transcript.alias(folder.toString(), "<folder>");
            server.createContext("/", this::respond);
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        LeaderStandIn responds(String path, int code, String... texts) {
            Deque<String> queue = new ArrayDeque<>();
            Arrays.stream(texts).forEach(text -> queue.add(code + " " + text.replace('\'', '"')));
            responses.put(path, queue);
            return this;
        }

        private void respond(HttpExchange exchange) throws IOException {
            String path = exchange.getRequestURI().getPath();
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (!body.isEmpty()) {
                transcript.message("laneflow", "scheduler", "POST " + path + "\n" + body);
            }
            Deque<String> queue = responses.getOrDefault(path, new ArrayDeque<>());
            String response = queue.size() > 1 ? queue.remove() : queue.isEmpty() ? "404 nothing here" : queue.peek();
            byte[] text = (response.substring(4) + "\n").getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(Integer.parseInt(response.substring(0, 3)), text.length);
            exchange.getResponseBody().write(text);
            exchange.close();
        }

        void run(String command, String... extraArguments) {
            String[] args = (command + " --at " + address()).split(" ");
            int baseLength = args.length;
            args = Arrays.copyOf(args, baseLength + extraArguments.length);
            System.arraycopy(extraArguments, 0, args, baseLength, extraArguments.length);
            transcript.note("laneflow " + String.join(" ", args));
            CliRun run = CliRun.of(args);
            transcript.message("laneflow", "exit code " + run.code(), run.text());
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    private String file(Transcript transcript, String name, String text) throws IOException {
        transcript.message(name, "laneflow", text);
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private static String window(String state, long start, String more) {
        return WINDOW_PREFIX + "'state':'" + state + "','steps':4,'start_ms':" + start + "," + more;
    }

    @Test
    void request() throws Exception {
        Transcript.of(
                "Requests: a dry run, a window that gets a time, one that gets none with the reasons, and errors.",
                transcript -> {
                    try (LeaderStandIn leader = new LeaderStandIn(transcript)) {
                        leader.responds(
                                "/maintenance",
                                200,
                                REPORT_PREFIX + "]}",
                                REPORT_PREFIX + window("requested", 0, "'reasons':[]}]}"),
                                REPORT_PREFIX + window("planned", 1796938200000L, "'reasons':[]}]}"));
                        String request = file(transcript, "fw.toml", VALID_REQUEST);
                        String zone = "--time-zone=Europe/Ljubljana";
                        leader.responds(
                                "/maintenance/requests",
                                200,
                                "{'windows':[{'name':'fw','state':'planned',"
                                        + "'start_ms':1796938200000,'reasons':[]}]}");
                        leader.run("maintenance request " + request + " --dry-run", zone);
                        leader.responds(
                                "/maintenance/requests",
                                200,
                                "{'windows':[{'name':'fw','state':'requested','start_ms':0," + "'reasons':[]}]}");
                        leader.run("maintenance request " + request, zone);
                        leader.responds(
                                "/maintenance/requests",
                                200,
                                "{'windows':[{'name':'fw','state':'refused','start_ms':0,"
                                        + "'reasons':['tenant shops loses 4.0 slots, its fair share is 1.0 (full: a: check), with a3 down"
                                        + " (5 of 9 times looked at)','freeze payday (4 of 9 times looked at)','would have a time if it"
                                        + " might end by 2026-12-11T05:15:00Z','would have a time with only a1, at"
                                        + " 2026-12-10T21:00:00Z']}]}");
                        String calendar = file(
                                transcript,
                                "calendar.toml",
                                "time_zone = 'Europe/Ljubljana'\n[freezes.payday]\n"
                                        + "from = '2026-12-10T00:00'\nto = '2026-12-11T00:00'\n[freezes.easter]\n"
                                        + "from = '2027-03-28T00:00'\nto = '2027-03-30T00:00'\n");
                        leader.run("maintenance request " + request + " --dry-run --calendar " + calendar, zone);
                        leader.responds("/maintenance/requests", 409, "the name 'fw' is that of another request");
                        leader.run("maintenance request " + request);
                        leader.responds("/maintenance/requests", 503, "no voter leads now");
                        leader.run("maintenance request " + request + " --wait-ms 0");
                    }
                });
    }

    @Test
    void badFiles() throws Exception {
        Transcript.of(
                "Invalid files: all errors of both files at once, exit code 2, and nothing is requested.",
                transcript -> {
                    try (LeaderStandIn leader =
                            new LeaderStandIn(transcript).responds("/maintenance", 200, REPORT_PREFIX + "]}")) {
                        String bad = file(
                                transcript,
                                "bad.toml",
                                "name = 'fw/1'\nracks = ['a1', 'a1', 'a9']\n"
                                        + "work_minutes = 0\nabort_minutes = 5\ntime_zone = 'Ljubljana'\n"
                                        + "earliest = 'tonight'\nlatest = '2026-12-11T06:00'\nrule = 'WEEKLY'\nworkers = 2\n");
                        String calendar = file(
                                transcript,
                                "calendar.toml",
                                "time_zone = 'Europe/Ljubljana'\n"
                                        + "[freezes.payday]\nfrom = '2026-12-10T00:00'\nto = '2026-12-09T00:00'\n[freezes.x]\n");
                        leader.run("maintenance request " + bad + " --calendar " + calendar);
                        String rule = file(
                                transcript,
                                "rule.toml",
                                VALID_REQUEST.replace("2026-12-11T06:00", "2026-12-10T23:00") + "after = ['fw']\n");
                        leader.run("maintenance request " + rule);
                        leader.run("maintenance request " + file(transcript, "none.toml", "name = "));
                        leader.run("maintenance request no-such-file");
                    }
                });
    }

    @Test
    void show() throws Exception {
        Transcript.of(
                "The list of windows, one window, no window, an overrun, and schedulers that can't tell.",
                transcript -> {
                    try (LeaderStandIn leader = new LeaderStandIn(transcript)) {
                        String more = "'leave_ms':0,'begun':false,'call_off':false,'outcome':'done','reasons':[]}";
                        leader.responds(
                                "/maintenance", 200, REPORT_PREFIX + window("announced", 1796938200000L, more) + "]}");
                        leader.run("maintenance show --time-zone Europe/Ljubljana");
                        // The night on which daylight saving time ends, when 02:30 occurs twice.
                        leader.responds(
                                "/maintenance",
                                200,
                                REPORT_PREFIX
                                        + window(
                                                "overrun",
                                                1792888200000L,
                                                "'leave_ms':1792891800000,"
                                                        + "'begun':true,'call_off':true,'outcome':'aborted','reasons':['its crew has not finished in"
                                                        + " time']}]}"));
                        leader.run("maintenance show --time-zone Europe/Ljubljana");
                        leader.run("maintenance show fw --time-zone Europe/Ljubljana");
                        leader.run("maintenance show fw9");
                        leader.run("maintenance show --time-zone Ljubljana");
                        leader.responds("/maintenance", 200, REPORT_PREFIX.replace("n2#0a1b2c3d4e5f", "") + "]}");
                        leader.run("maintenance show");
                        leader.run("maintenance show --json");
                        leader.responds("/maintenance", 503, "no voter leads now");
                        leader.run("maintenance show");
                        leader.responds("/maintenance", 404, "known are GET /fleet");
                        leader.run("maintenance show");
                    }
                });
    }

    @Test
    void crews() throws Exception {
        Transcript.of(
                "Begin, finish and abort: leave granted, not yet granted, no longer granted, and past the abort point.",
                transcript -> {
                    try (LeaderStandIn leader = new LeaderStandIn(transcript)) {
                        String path = "/maintenance/windows/fw";
                        leader.responds(
                                "/maintenance",
                                200,
                                REPORT_PREFIX + window("planned", 1796938200000L, "'reasons':[]}]}"));
                        leader.responds(path, 409, "no leave: fw is draining");
                        leader.run("maintenance begin fw");
                        leader.responds(path, 200, "{'name':'fw','state':'down','steps':6}");
                        leader.run("maintenance begin fw");
                        leader.run("maintenance begin fw --json");
                        leader.responds(
                                "/maintenance",
                                200,
                                REPORT_PREFIX + window("overrun", 1796938200000L, "'reasons':[]}]}"));
                        leader.responds(path, 409, "no leave: fw is overrun");
                        leader.run("maintenance begin fw --wait-ms 60000");
                        leader.responds(path, 200, "{'name':'fw','state':'returning','steps':7}");
                        leader.run("maintenance finish fw");
                        leader.run("maintenance abort fw");
                        leader.responds(path, 200, "{'name':'fw','state':'aborted','steps':7}");
                        leader.run("maintenance abort fw");
                        leader.responds(path, 200, "{'name':'fw','state':'done','steps':9}");
                        leader.run("maintenance abort fw");
                        leader.responds(path, 409, "fw is past its abort point: it has to be finished");
                        leader.run("maintenance abort fw");
                        leader.responds(path, 404, "there is no window 'fw'");
                        leader.run("maintenance finish fw");
                        leader.responds(path, 503, "no voter leads now");
                        leader.run("maintenance begin fw");
                    }
                });
    }

    @Test
    void help() throws Exception {
        Transcript.of("The help of each command, and usage errors.", transcript -> {
            for (String command : new String[] {
                "request --help",
                "show --help",
                "begin --help",
                "finish --help",
                "abort --help",
                "request",
                "show",
                "begin fw",
                "finish --at 127.0.0.1:1"
            }) {
                CliRun run = CliRun.of(("maintenance " + command).split(" "));
                transcript.message("laneflow maintenance " + command, "exit code " + run.code(), run.text());
            }
        });
    }
}
