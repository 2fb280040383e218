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
 * What operators and crews ask and say of windows, at the address where schedulers reach each other. All of
 * it is the leader's to answer, from what a majority holds; others point there ({@code 307},
 * {@code Location}). On the control thread, but for what a request would get.
 */
final class MaintenancePort {
    private static final String PATH = "/maintenance";
    private static final String REQUESTS = PATH + "/requests";
    private static final String WINDOWS = PATH + "/windows/";
    private static final String ASK_AGAIN = "asking again does no harm";
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain";

    private final Loop loop;
    private final Fleet fleet;
    private final MaintenanceExtension rider;
    /** Null where this file has no table for windows. */
    private final MaintenanceConfig config;

    private final ExecutorService thread;
    private final Planning planning;

    MaintenancePort(
            Loop loop,
            Fleet fleet,
            MaintenanceExtension rider,
            MaintenanceConfig config,
            ExecutorService thread,
            Planning planning) {
        this.loop = loop;
        this.fleet = fleet;
        this.rider = rider;
        this.config = config;
        this.thread = thread;
        this.planning = planning;
        fleet.serve(PATH, this::asked);
    }

    private void asked(String verb, String path, byte[] body, Answer answer) {
        boolean post = verb.equals("POST");
        if (path.equals(PATH) && verb.equals("GET")) {
            atLeader(path, answer, () -> show(answer));
        } else if (path.equals(REQUESTS) && post) {
            atLeader(path, answer, () -> request(body, answer));
        } else if (path.startsWith(WINDOWS) && post) {
            String name = path.substring(WINDOWS.length());
            atLeader(path, answer, () -> order(name, body, answer));
        } else {
            answer.say(
                    verb.equals("GET") || post ? 404 : 405,
                    TEXT,
                    "",
                    "known are GET " + PATH + " and POST " + REQUESTS + ", " + WINDOWS + "NAME\n");
        }
    }

    private void atLeader(String path, Answer answer, Runnable then) {
        Context by = rider.carriage();
        if (by.isLeader()) {
            then.run();
            return;
        }
        LeaderRedirect.answer(fleet, by.leader(), path, answer, ASK_AGAIN);
    }

    private void nobody(Answer answer) {
        LeaderRedirect.unavailable(answer, ASK_AGAIN);
    }

    private void read(Answer answer, Consumer<WindowLedger.View> then) {
        rider.carriage().read(WindowLedger.NAME, found -> {
            if (found == null) {
                nobody(answer);
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
            all.addProperty("leader", rider.carriage().leader());
            Map.Entry<String, Long> coordinator = rider.coordinator();
            all.addProperty("coordinator", coordinator == null ? "" : coordinator.getKey());
            all.addProperty("token", coordinator == null ? -1 : coordinator.getValue());
            all.addProperty("policy", view.inForce());
            all.addProperty("away", view.windows().away());
            if (config != null) {
                all.add("racks", CoordinatorSnapshot.texts(config.names()));
            }
            JsonArray windows = new JsonArray();
            view.windows().all().forEach(one -> windows.add(told(one)));
            all.add("windows", windows);
            answer.say(200, JSON, "", all + "\n");
        });
    }

    private JsonObject told(Window window) {
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
                    CoordinatorSnapshot.texts(rider.sends(window.request().racks())));
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
        List<Request> requests = RequestReader.read(list.getAsJsonArray(), config.names(), findings);
        if (!findings.isEmpty()) {
            answer.say(400, TEXT, "", String.join("\n", findings.all()) + "\n");
        } else if (dryRun) {
            read(answer, view -> dryRun(view, requests, answer));
        } else {
            replicate(WindowLedger.requests(requests), answer, found -> {
                JsonArray told = new JsonArray();
                found.getAsJsonArray("windows").forEach(one -> {
                    Window window = MaintenanceJson.window(one.getAsJsonObject());
                    told.add(Planning.told(window.name(), window.state(), window.startMs(), window.reasons()));
                });
                say(told, answer);
            });
        }
    }

    private static void say(JsonArray windows, Answer answer) {
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
        CoordinatorSnapshot picture = rider.picture(0);
        if (picture == null) {
            nobody(answer);
            return;
        }
        try {
            thread.execute(() -> {
                JsonArray found;
                try {
                    found = planning.dryRun(picture, requests, System.currentTimeMillis());
                } catch (RuntimeException e) {
                    loop.later(() -> answer.say(500, TEXT, "", "planning failed: " + e + "\n"));
                    return;
                }
                loop.later(() -> say(found, answer));
            });
        } catch (RejectedExecutionException e) {
            nobody(answer);
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
            replicate(WindowLedger.op(op), answer, found -> {
                JsonObject told = new JsonObject();
                told.addProperty("name", name);
                told.add("state", found.get("state"));
                told.add("steps", found.get("steps"));
                answer.say(200, JSON, "", told + "\n");
            });
        });
    }

    private void replicate(JsonObject op, Answer answer, Consumer<JsonObject> then) {
        rider.carriage().replicate(op, found -> {
            if (found == null) {
                nobody(answer);
            } else if (found.has("error")) {
                answer.say(409, TEXT, "", found.get("error").getAsString() + "\n");
            } else {
                then.accept(found);
            }
        });
    }
}
