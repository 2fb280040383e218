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
import laneflow.http.StreamPort.Responder;
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
    private static final String RETRY_NOTE = "asking again does no harm";
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

    private void handle(String method, String path, byte[] body, Responder answer) {
        boolean isPost = method.equals("POST");
        if (path.equals(PATH) && method.equals("GET")) {
            atLeader(path, answer, () -> sendStatus(answer));
        } else if (path.equals(REQUESTS) && isPost) {
            atLeader(path, answer, () -> request(body, answer));
        } else if (path.startsWith(WINDOWS) && isPost) {
            String name = path.substring(WINDOWS.length());
            atLeader(path, answer, () -> applyAction(name, body, answer));
        } else {
            answer.respond(
                    method.equals("GET") || isPost ? 404 : 405,
                    TEXT,
                    "",
                    "known are GET " + PATH + " and POST " + REQUESTS + ", " + WINDOWS + "NAME\n");
        }
    }

    private void atLeader(String path, Responder answer, Runnable onSuccess) {
        Context context = extension.context();
        if (context.isLeader()) {
            onSuccess.run();
            return;
        }
        LeaderRedirect.answer(fleet, context.leader(), path, answer, RETRY_NOTE);
    }

    private void answerUnavailable(Responder answer) {
        LeaderRedirect.unavailable(answer, RETRY_NOTE);
    }

    private void read(Responder answer, Consumer<WindowLedger.View> onSuccess) {
        extension.context().read(WindowLedger.NAME, result -> {
            if (result == null) {
                answerUnavailable(answer);
            } else {
                onSuccess.accept((WindowLedger.View) result);
            }
        });
    }

    // ---- status ----

    private void sendStatus(Responder answer) {
        read(answer, view -> {
            JsonObject status = new JsonObject();
            status.addProperty("scheduler", fleet.self().name());
            status.addProperty("leader", extension.context().leader());
            Map.Entry<String, Long> coordinator = extension.coordinator();
            status.addProperty("coordinator", coordinator == null ? "" : coordinator.getKey());
            status.addProperty("token", coordinator == null ? -1 : coordinator.getValue());
            status.addProperty("policy", view.inForce());
            status.addProperty("away", view.windows().awayChanges());
            if (config != null) {
                status.add("racks", CoordinatorSnapshot.texts(config.rackNames()));
            }
            JsonArray windows = new JsonArray();
            view.windows().all().forEach(one -> windows.add(describe(one)));
            status.add("windows", windows);
            answer.respond(200, JSON, "", status + "\n");
        });
    }

    private JsonObject describe(Window window) {
        JsonObject json = MaintenanceJson.write(window);
        json.remove("request");
        JsonObject ordered = new JsonObject();
        ordered.addProperty("name", window.name());
        ordered.addProperty("owner", window.request().owner());
        ordered.add("racks", CoordinatorSnapshot.texts(window.request().racks()));
        json.entrySet().forEach(entry -> ordered.add(entry.getKey(), entry.getValue()));
        if (window.state() == Windows.State.DRAINING) {
            ordered.add(
                    "sending",
                    CoordinatorSnapshot.texts(
                            extension.possibleCallers(window.request().racks())));
        }
        return ordered;
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

    private void request(byte[] body, Responder answer) {
        if (config == null) {
            answer.respond(
                    409,
                    TEXT,
                    "",
                    "the file of " + fleet.self().name() + ", which leads, has no table" + " [maintenance]\n");
            return;
        }
        JsonObject requestJson = object(body);
        JsonElement list = requestJson == null ? null : requestJson.get("requests");
        if (list == null || !list.isJsonArray()) {
            answer.respond(400, TEXT, "", "an object with 'requests', a list, and perhaps 'dry_run'\n");
            return;
        }
        boolean dryRun = requestJson.has("dry_run")
                && requestJson.get("dry_run").isJsonPrimitive()
                && requestJson.get("dry_run").getAsBoolean();
        Findings findings = Findings.paths();
        List<Request> requests = RequestReader.read(list.getAsJsonArray(), config.rackNames(), findings);
        if (!findings.isEmpty()) {
            answer.respond(400, TEXT, "", String.join("\n", findings.all()) + "\n");
        } else if (dryRun) {
            read(answer, view -> dryRun(view, requests, answer));
        } else {
            replicate(WindowLedger.requestsOp(requests), answer, result -> {
                JsonArray described = new JsonArray();
                result.getAsJsonArray("windows").forEach(element -> {
                    Window window = MaintenanceJson.window(element.getAsJsonObject());
                    described.add(PlanningSession.describe(
                            window.name(), window.state(), window.startMs(), window.reasons()));
                });
                sendWindows(described, answer);
            });
        }
    }

    private static void sendWindows(JsonArray windows, Responder answer) {
        JsonObject json = new JsonObject();
        json.add("windows", windows);
        answer.respond(200, JSON, "", json + "\n");
    }

    private void dryRun(WindowLedger.View view, List<Request> requests, Responder answer) {
        for (Request request : requests) {
            Window knownWindow = view.windows().window(request.name());
            if (knownWindow != null && !knownWindow.request().equals(request)) {
                answer.respond(409, TEXT, "", "the name '" + request.name() + "' is that of another request\n");
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
                JsonArray result;
                try {
                    result = planning.dryRun(snapshot, requests, System.currentTimeMillis());
                } catch (RuntimeException e) {
                    loop.later(() -> answer.respond(500, TEXT, "", "planning failed: " + e + "\n"));
                    return;
                }
                loop.later(() -> sendWindows(result, answer));
            });
        } catch (RejectedExecutionException e) {
            answerUnavailable(answer);
        }
    }

    // ---- crews and owners ----

    private void applyAction(String name, byte[] body, Responder answer) {
        JsonObject requestJson = object(body);
        String action = requestJson == null
                        || !requestJson.has("do")
                        || !requestJson.get("do").isJsonPrimitive()
                ? ""
                : requestJson.get("do").getAsString();
        JsonObject op = switch (action) {
            case "begin" -> Windows.begin(name);
            case "finish" -> Windows.finish(name);
            case "abort" -> Windows.abort(name, System.currentTimeMillis());
            default -> null;
        };
        if (op == null) {
            answer.respond(400, TEXT, "", "an object with 'do': begin, finish or abort\n");
            return;
        }
        read(answer, view -> {
            Window window = view.windows().window(name);
            if (window == null) {
                answer.respond(404, TEXT, "", "there is no window '" + name + "'\n");
                return;
            }
            replicate(WindowLedger.partOp(op), answer, result -> {
                JsonObject described = new JsonObject();
                described.addProperty("name", name);
                described.add("state", result.get("state"));
                described.add("steps", result.get("steps"));
                answer.respond(200, JSON, "", described + "\n");
            });
        });
    }

    private void replicate(JsonObject op, Responder answer, Consumer<JsonObject> onSuccess) {
        extension.context().replicate(op, result -> {
            if (result == null) {
                answerUnavailable(answer);
            } else if (result.has("error")) {
                answer.respond(409, TEXT, "", result.get("error").getAsString() + "\n");
            } else {
                onSuccess.accept(result);
            }
        });
    }
}
