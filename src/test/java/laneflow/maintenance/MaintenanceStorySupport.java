package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import laneflow.lab.rig.Rig;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Fixture of the window stories: schedulers as processes, endpoints that record their calls, and clients. */
abstract class MaintenanceStorySupport {
    private static final Map<String, List<Integer>> RACKS =
            new TreeMap<>(Map.of("a", List.of(0, 1), "b", List.of(2), "c", List.of(3), "d", List.of(4)));

    @TempDir
    Path folder;

    RecordingEndpoints backends;
    Rig rig;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private volatile boolean isStopping;
    private final List<Thread> clients = new ArrayList<>();
    final AtomicInteger served = new AtomicInteger();

    /** Further lines of the [maintenance] table. */
    String extraSettings() {
        return "";
    }

    @BeforeEach
    void startFleet() throws Exception {
        backends = new RecordingEndpoints(5, 20);
        StringBuilder file = new StringBuilder("zones = [\"z\"]\n[classes.check]\ndeadline_ms = 1500\n"
                + "repeat = \"safe\"\n[tenants.shop]\nshare = 2\n[tenants.web]\n");
        RACKS.forEach((rack, numbers) -> numbers.forEach(i -> file.append("[endpoints.till-")
                .append(i)
                .append("]\ndial = \"")
                .append(backends.dial("till-" + i))
                .append("\"\nslots = 4\nrack = \"")
                .append(rack)
                .append("\"\n")));
        file.append("[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\nlease_ms = 1000\n[tasks]\n[maintenance]\n"
                        + "lost_after = 1\nstep_ms = 400\nahead_ms = 60000\nreturn_ms = 200\nearly_ms = 500\nlate_ms = 4000\nlook_ms = 50\n"
                        + "drain_ms = 4000\ngive_back_ms = 4000\noverrun_ms = 100\nlost_ms = 60000\ndemand = 0.3\n"
                        + "tolerance = 0.1\nshortage = 0.05\n")
                .append(extraSettings().contains("begin_ms") ? "" : "begin_ms = 6000\n")
                .append(extraSettings());
        rig = new Rig(folder, 3, 3, 7, file.toString());
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
    }

    @AfterEach
    void stopFleet() throws Exception {
        isStopping = true;
        for (Thread thread : clients) {
            thread.join();
        }
        rig.close();
        backends.close();
    }

    /** The endpoints of a rack. */
    static List<String> endpoints(String rack) {
        return RACKS.get(rack).stream().map(i -> "till-" + i).toList();
    }

    // ---- clients ----

    /** Starts clients at all schedulers, each with one request at a time. */
    void startClients() {
        for (int i = 0; i < rig.size(); i++) {
            for (int k = 0; k < 4; k++) {
                int scheduler = i;
                String id = "c" + i + "-" + k + "-";
                Thread thread = new Thread(() -> sendRequests(scheduler, id), "client");
                clients.add(thread);
                thread.start();
            }
        }
    }

    private void sendRequests(int i, String id) {
        for (int n = 0; !isStopping; n++) {
            try {
                HttpResponse<String> answer = client.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + rig.clientPort(i) + "/check"))
                                .timeout(Duration.ofSeconds(3))
                                .header("Req-Id", id + n)
                                .header("Req-Owner", "shop")
                                .POST(HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() == 200) {
                    served.incrementAndGet();
                }
                Thread.sleep(40);
            } catch (IOException e) {
                // The scheduler is killed or paused.
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // ---- windows ----

    static Request window(String name, long workMs, String... racks) {
        long now = System.currentTimeMillis();
        return new Request(
                name, "power crew", List.of(racks), workMs, now, now + 40_000, 0, workMs, Set.of(), List.of());
    }

    static String requestsBody(boolean dryRun, Request... requests) {
        JsonObject body = new JsonObject();
        JsonArray list = new JsonArray();
        for (Request request : requests) {
            list.add(MaintenanceJson.write(request));
        }
        body.add("requests", list);
        body.addProperty("dry_run", dryRun);
        return body.toString();
    }

    /** Sends a request to any scheduler that is up, and retries while there is no leader. */
    HttpResponse<String> ask(String path, String body) throws IOException, InterruptedException {
        List<HttpResponse<String>> found = new ArrayList<>();
        rig.await(path + " is answered", () -> {
            for (int i : rig.all()) {
                HttpResponse<String> answer = rig.isUp(i) ? rig.ask(i, path, body) : null;
                if (answer != null && answer.statusCode() < 500 && answer.statusCode() != 307) {
                    found.add(answer);
                    return true;
                }
            }
            return false;
        });
        return found.get(0);
    }

    void request(Request... requests) throws IOException, InterruptedException {
        HttpResponse<String> answer = ask("/maintenance/requests", requestsBody(false, requests));
        assertEquals(200, answer.statusCode(), answer.body());
    }

    HttpResponse<String> command(String name, String command) throws IOException, InterruptedException {
        return ask("/maintenance/windows/" + name, "{\"do\":\"" + command + "\"}");
    }

    JsonObject report() throws IOException, InterruptedException {
        return JsonParser.parseString(ask("/maintenance", null).body()).getAsJsonObject();
    }

    JsonObject windowReport(String name) throws IOException, InterruptedException {
        for (JsonElement element : report().getAsJsonArray("windows")) {
            if (element.getAsJsonObject().get("name").getAsString().equals(name)) {
                return element.getAsJsonObject();
            }
        }
        return new JsonObject();
    }

    String state(String name) throws IOException, InterruptedException {
        JsonObject window = windowReport(name);
        return window.has("state") ? window.get("state").getAsString() : "unknown";
    }

    void await(String name, String... states) throws IOException, InterruptedException {
        rig.await(
                name + " is " + String.join(" or ", states),
                () -> List.of(states).contains(state(name)));
    }

    /** The number of the coordinating scheduler, once there is one. */
    int coordinator() throws IOException, InterruptedException {
        int[] found = {-1};
        rig.await("there is a coordinator", () -> {
            String who = report().get("coordinator").getAsString();
            for (int i = 0; i < rig.size(); i++) {
                found[0] = who.startsWith(Rig.name(i) + "#") && rig.isUp(i) ? i : found[0];
            }
            return found[0] >= 0;
        });
        return found[0];
    }

    /** Waits for leave, then reports the begin and the finish of the work; no call may reach the racks meanwhile. */
    void completeWork(String name, String... racks) throws IOException, InterruptedException {
        await(name, "down");
        HttpResponse<String> leave = command(name, "begin");
        long startNs = System.nanoTime();
        assertEquals(200, leave.statusCode(), leave.body());
        Thread.sleep(300);
        long endNs = System.nanoTime();
        assertEquals(200, command(name, "finish").statusCode());
        assertNoCalls(startNs, endNs, racks);
    }

    void assertNoCalls(long startNs, long endNs, String... racks) {
        for (String rack : racks) {
            assertEquals(
                    List.of(),
                    backends.openDuring(endpoints(rack), startNs, endNs).stream()
                            .map(call -> call.endpoint)
                            .toList(),
                    "calls to a rack that is down");
        }
    }

    /** Waits until calls reach all endpoints of the rack again. */
    void awaitCalls(String rack) throws IOException, InterruptedException {
        long startNs = System.nanoTime();
        for (String endpoint : endpoints(rack)) {
            rig.await(endpoint + " is called again", () -> backends.countSince(endpoint, startNs) > 0);
        }
    }

    static void assertAnswer(HttpResponse<String> answer, int status, String... parts) {
        assertEquals(status, answer.statusCode(), answer.body());
        for (String part : parts) {
            assertTrue(answer.body().contains(part), answer.body());
        }
    }
}
