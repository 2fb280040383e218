package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import laneflow.core.Counters;
import laneflow.fleet.Fleet;
import laneflow.http.StreamPort.Answer;
import laneflow.policy.decision.Change;
import laneflow.policy.decision.Ledger;

/**
 * What operators ask and order, at the address where schedulers reach each other. Any scheduler says how
 * things stand with itself; what is decided is told by the leader, to whom others point
 * ({@code 307}, {@code Location}).
 */
final class PolicyPort {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain";
    private static final List<String> VOTERS = List.of("add", "remove", "replace");
    private static final int MOST_HISTORY = 200;
    private static final String CHANGES = "/policy/changes";
    private static final String ASK_AGAIN = "asking again with the same name does no harm";

    private final Fleet fleet;
    private final Policy policy;
    private final Counters counters;
    /** Who else proposes, by the names of their parts of the ledger: no operator is one of them. */
    private final Set<String> parts;
    /** Null where this process does not vote. */
    private Leadership leadership;

    PolicyPort(Fleet fleet, Policy policy, Counters counters, Set<String> parts, Leadership leadership) {
        this.fleet = fleet;
        this.policy = policy;
        this.counters = counters;
        this.parts = parts;
        this.leadership = leadership;
        fleet.serve("/policy", this::asked);
    }

    /** This process votes from now on. */
    void votes(Leadership own) {
        leadership = own;
    }

    private void asked(String verb, String path, byte[] body, Answer answer) {
        boolean get = verb.equals("GET");
        if (path.equals("/policy") && get) {
            answer.say(200, JSON, "", policy.report() + "\n");
        } else if (path.equals("/policy/history") && get) {
            atLeader(path, answer, () -> history(answer));
        } else if (path.startsWith(CHANGES + "/") && get) {
            String name = path.substring(CHANGES.length() + 1);
            atLeader(path, answer, () -> status(name, answer));
        } else if (path.equals(CHANGES) && verb.equals("POST")) {
            atLeader(path, answer, () -> propose(body, answer));
        } else if (path.equals("/policy/voters") && verb.equals("POST")) {
            atLeader(path, answer, () -> voters(body, answer));
        } else {
            answer.say(
                    get || verb.equals("POST") ? 404 : 405,
                    TEXT,
                    "",
                    "known are GET /policy,"
                            + " /policy/history, /policy/changes/NAME and POST /policy/changes, /policy/voters\n");
        }
    }

    private void atLeader(String path, Answer answer, Runnable then) {
        if (leadership != null && leadership.isLeader()) {
            then.run();
            return;
        }
        String leader = leadership != null ? leadership.leader() : policy.leader();
        LeaderRedirect.answer(fleet, leader, path, answer, ASK_AGAIN);
    }

    private void nobody(Answer answer) {
        LeaderRedirect.unavailable(answer, ASK_AGAIN);
    }

    private void history(Answer answer) {
        leadership.read(
                ledger -> {
                    JsonArray all = new JsonArray();
                    ledger.recent(MOST_HISTORY).forEach(change -> all.add(change.toJson(false)));
                    return all;
                },
                found -> say(found, answer));
    }

    private void status(String name, Answer answer) {
        leadership.read(
                ledger -> {
                    Change change = ledger.change(name);
                    return change == null ? new JsonObject() : change.toJson(true);
                },
                found -> {
                    if (found instanceof JsonObject one && one.size() == 0) {
                        answer.say(404, TEXT, "", "no change of the name '" + name + "' is known\n");
                    } else {
                        say(found, answer);
                    }
                });
    }

    private void say(Object found, Answer answer) {
        if (found == null) {
            nobody(answer);
        } else {
            answer.say(200, JSON, "", found + "\n");
        }
    }

    private void voters(byte[] body, Answer answer) {
        JsonObject asked = Policy.object(body);
        String order = asked == null || asked.size() != 1
                ? ""
                : asked.keySet().iterator().next();
        JsonElement name = asked == null ? null : asked.get(order);
        if (name == null || !name.isJsonPrimitive() || !VOTERS.contains(order)) {
            answer.say(400, TEXT, "", "an object with one of " + VOTERS + ", the name of a voter\n");
            return;
        }
        Consumer<String> then = why -> {
            if (why == null) {
                answer.say(200, JSON, "", asked + "\n");
            } else {
                boolean again = why.endsWith(Leadership.RETRY_SUFFIX);
                answer.say(again ? 503 : 409, TEXT, again ? "Retry-After: 1\r\n" : "", why + "\n");
            }
        };
        if (order.equals("remove")) {
            leadership.removeVoter(name.getAsString(), then);
        } else {
            leadership.addVoter(name.getAsString(), order.equals("replace"), then);
        }
    }

    private void propose(byte[] body, Answer answer) {
        JsonObject asked = Policy.object(body);
        JsonElement name = asked == null ? null : asked.get("name");
        JsonElement types = asked == null ? null : asked.get("types");
        JsonElement by = asked == null ? null : asked.get("by");
        if (name == null || !name.isJsonPrimitive() || types == null || !types.isJsonObject()) {
            answer.say(400, TEXT, "", "a change is an object with 'name', a text, and 'types', an object\n");
            return;
        }
        String unfit = Ledger.invalidReason(name.getAsString(), types.getAsJsonObject());
        if (unfit != null) {
            answer.say(400, TEXT, "", unfit + "\n");
            return;
        }
        String who = by != null && by.isJsonPrimitive() ? by.getAsString() : "an operator";
        if (parts.contains(who)) {
            answer.say(400, TEXT, "", "by: '" + who + "' stands for changes that the program makes itself\n");
            return;
        }
        counters.add("policy.proposed");
        Consumer<JsonObject> then = found -> {
            if (found != null && found.has("error")) {
                answer.say(409, TEXT, "", found.get("error").getAsString() + "\n");
            } else {
                say(found, answer);
            }
        };
        leadership.propose(name.getAsString(), types.getAsJsonObject(), who, then);
    }
}
