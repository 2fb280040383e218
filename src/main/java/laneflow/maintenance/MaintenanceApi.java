package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import laneflow.config.Findings;
import laneflow.fleet.Fleet;
import laneflow.http.StreamPort.Answer;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Request;
import laneflow.maintenance.decision.WindowLedger;
import laneflow.maintenance.decision.Windows;
import laneflow.maintenance.decision.Windows.Window;
import laneflow.net.Loop;
import laneflow.policy.LeaderRedirect;
import laneflow.policy.RenewalExtension.Context;

/**
 * HTTP API for operators and crews, at the address where schedulers reach each other. The leader answers every
 * request from state that a majority holds; other schedulers redirect to it ({@code 307}, {@code Location}).
 * On the control thread, except for dry runs.
 */
final class MaintenanceApi {
    private static final String PATH = "/maintenance";
    private static final String REQUESTS = PATH + "/requests";
    private static final String WINDOWS = PATH + "/windows/";
    private static final String ASK_AGAIN = "asking again does no harm";
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain";

    private final Loop loop;
    private final Fleet fleet;
    private final MaintenanceExtension extension;
    /** Null if the configuration has no [maintenance] table. */
    private final MaintenanceConfig config;

    private final ExecutorService executor;
    private final PlanningSession planning;

    MaintenanceApi(
            Loop loop,
            Fleet fleet,
            MaintenanceExtension extension,
            MaintenanceConfig config,
            ExecutorService executor,
            PlanningSession planning) {
        this.loop = loop;
        this.fleet = fleet;
        this.extension = extension;
        this.config = config;
        this.executor = executor;
        this.planning = planning;
        fleet.serve(PATH, this::handle);
    }

    private void handle(String method, String path, byte[] body, Answer answer) {
        boolean post = method.equals("POST");
        if (path.equals(PATH) && method.equals("GET")) {
            atLeader(path, answer, () -> show(answer));
        } else if (path.equals(REQUESTS) && post) {
            atLeader(path, answer, () -> request(body, answer));
        } else if (path.startsWith(WINDOWS) && post) {
            String name = path.substring(WINDOWS.length());
            atLeader(path, answer, () -> order(name, body, answer));
        } else {
            answer.say(
                    method.equals("GET") || post ? 404 : 405,
                    TEXT,
                    "",
                    "known are GET " + PATH + " and POST " + REQUESTS + ", " + WINDOWS + "NAME\n");
        }
    }

    private void atLeader(String path, Answer answer, Runnable then) {
        Context context = extension.context();
        if (context.isLeader()) {
            then.run();
            return;
        }
        LeaderRedirect.answer(fleet, context.leader(), path, answer, ASK_AGAIN);
    }

    private void answerUnavailable(Answer answer) {
        LeaderRedirect.unavailable(answer, ASK_AGAIN);
    }

    private void read(Answer answer, Consumer<WindowLedger.View> then) {
        extension.context().read(WindowLedger.NAME, found -> {
            if (found == null) {
                answerUnavailable(answer);
            } else {
                then.accept((WindowLedger.View) found);
            }
        });
    }

    // ---- showing ----

    private void show(Answer answer) {
        read(answer, view -> {
            JsonObject all = new JsonObject();
            all.addProperty("scheduler", fleet.self().name());
            all.addProperty("leader", extension.context().leader());
            Map.Entry<String, Long> coordinator = extension.coordinator();
            all.addProperty("coordinator", coordinator == null ? "" : coordinator.getKey());
            all.addProperty("token", coordinator == null ? -1 : coordinator.getValue());
            all.addProperty("policy", view.inForce());
            all.addProperty("away", view.windows().awayChanges());
            if (config != null) {
                all.add("racks", CoordinatorSnapshot.texts(config.rackNames()));
            }
            JsonArray windows = new JsonArray();
            view.windows().all().forEach(one -> windows.add(describe(one)));
            all.add("windows", windows);
            answer.say(200, JSON, "", all + "\n");
        });
    }

    private JsonObject describe(Window window) {
        JsonObject all = MaintenanceJson.write(window);
        all.remove("request");
        JsonObject one = new JsonObject();
        one.addProperty("name", window.name());
        one.addProperty("owner", window.request().owner());
        one.add("racks", CoordinatorSnapshot.texts(window.request().racks()));
        all.entrySet().forEach(entry -> one.add(entry.getKey(), entry.getValue()));
        if (window.state() == Windows.State.DRAINING) {
            one.add(
                    "sending",
                    CoordinatorSnapshot.texts(
                            extension.possibleCallers(window.request().racks())));
        }
        return one;
    }

    // ---- requests ----

    private static JsonObject object(byte[] body) {
        try {
            return JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    private void request(byte[] body, Answer answer) {
        if (config == null) {
            answer.say(
                    409,
                    TEXT,
                    "",
                    "the file of " + fleet.self().name() + ", which leads, has no table" + " [maintenance]\n");
            return;
        }
        JsonObject asked = object(body);
        JsonElement list = asked == null ? null : asked.get("requests");
        if (list == null || !list.isJsonArray()) {
            answer.say(400, TEXT, "", "an object with 'requests', a list, and perhaps 'dry_run'\n");
            return;
        }
        boolean dryRun = asked.has("dry_run")
                && asked.get("dry_run").isJsonPrimitive()
                && asked.get("dry_run").getAsBoolean();
        Findings findings = Findings.paths();
        List<Request> requests = RequestReader.read(list.getAsJsonArray(), config.rackNames(), findings);
        if (!findings.isEmpty()) {
            answer.say(400, TEXT, "", String.join("\n", findings.all()) + "\n");
        } else if (dryRun) {
            read(answer, view -> dryRun(view, requests, answer));
        } else {
            replicate(WindowLedger.requestsOp(requests), answer, found -> {
                JsonArray described = new JsonArray();
                found.getAsJsonArray("windows").forEach(one -> {
                    Window window = MaintenanceJson.window(one.getAsJsonObject());
                    described.add(PlanningSession.describe(
                            window.name(), window.state(), window.startMs(), window.reasons()));
                });
                sendWindows(described, answer);
            });
        }
    }

    private static void sendWindows(JsonArray windows, Answer answer) {
        JsonObject all = new JsonObject();
        all.add("windows", windows);
        answer.say(200, JSON, "", all + "\n");
    }

    private void dryRun(WindowLedger.View view, List<Request> requests, Answer answer) {
        for (Request request : requests) {
            Window known = view.windows().window(request.name());
            if (known != null && !known.request().equals(request)) {
                answer.say(409, TEXT, "", "the name '" + request.name() + "' is that of another request\n");
                return;
            }
        }
        CoordinatorSnapshot snapshot = extension.snapshot(0);
        if (snapshot == null) {
            answerUnavailable(answer);
            return;
        }
        try {
            executor.execute(() -> {
                JsonArray found;
                try {
                    found = planning.dryRun(snapshot, requests, System.currentTimeMillis());
                } catch (RuntimeException e) {
                    loop.later(() -> answer.say(500, TEXT, "", "planning failed: " + e + "\n"));
                    return;
                }
                loop.later(() -> sendWindows(found, answer));
            });
        } catch (RejectedExecutionException e) {
            answerUnavailable(answer);
        }
    }

    // ---- crews and owners ----

    private void order(String name, byte[] body, Answer answer) {
        JsonObject asked = object(body);
        String what = asked == null || !asked.has("do") || !asked.get("do").isJsonPrimitive()
                ? ""
                : asked.get("do").getAsString();
        JsonObject op = switch (what) {
            case "begin" -> Windows.begin(name);
            case "finish" -> Windows.finish(name);
            case "abort" -> Windows.abort(name, System.currentTimeMillis());
            default -> null;
        };
        if (op == null) {
            answer.say(400, TEXT, "", "an object with 'do': begin, finish or abort\n");
            return;
        }
        read(answer, view -> {
            Window window = view.windows().window(name);
            if (window == null) {
                answer.say(404, TEXT, "", "there is no window '" + name + "'\n");
                return;
            }
            replicate(WindowLedger.partOp(op), answer, found -> {
                JsonObject described = new JsonObject();
                described.addProperty("name", name);
                described.add("state", found.get("state"));
                described.add("steps", found.get("steps"));
                answer.say(200, JSON, "", described + "\n");
            });
        });
    }

    private void replicate(JsonObject op, Answer answer, Consumer<JsonObject> then) {
        extension.context().replicate(op, found -> {
            if (found == null) {
                answerUnavailable(answer);
            } else if (found.has("error")) {
                answer.say(409, TEXT, "", found.get("error").getAsString() + "\n");
            } else {
                then.accept(found);
            }
        });
    }
}
