package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import laneflow.core.Counters;
import laneflow.fleet.Fleet;
import laneflow.http.StreamPort.Responder;
import laneflow.policy.decision.Change;
import laneflow.policy.decision.Ledger;

/**
 * The HTTP API for operators, at the address of the fleet link. Any scheduler reports its own state; what the
 * voters decide is served by the leader, to which other schedulers redirect ({@code 307}, {@code Location}).
 */
final class PolicyApi {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain";
    private static final List<String> VOTER_OPERATIONS = List.of("add", "remove", "replace");
    private static final int MAX_HISTORY = 200;
    private static final String CHANGES = "/policy/changes";
    private static final String RETRY_ADVICE = "asking again with the same name does no harm";

    private final Fleet fleet;
    private final PolicyAgent policy;
    private final Counters counters;
    /** Names of ledger parts, whose own proposals carry them: operators can't use them. */
    private final Set<String> reservedProposers;
    /** Null if this process does not vote. */
    private Leadership leadership;

    PolicyApi(
            Fleet fleet, PolicyAgent policy, Counters counters, Set<String> reservedProposers, Leadership leadership) {
        this.fleet = fleet;
        this.policy = policy;
        this.counters = counters;
        this.reservedProposers = reservedProposers;
        this.leadership = leadership;
        fleet.serve("/policy", this::handle);
    }

    /** Called when this process becomes a voter. */
    void becomeVoter(Leadership ownLeadership) {
        leadership = ownLeadership;
    }

    private void handle(String verb, String path, byte[] body, Responder answer) {
        boolean get = verb.equals("GET");
        if (path.equals("/policy") && get) {
            answer.respond(200, JSON, "", policy.report() + "\n");
        } else if (path.equals("/policy/history") && get) {
            atLeader(path, answer, () -> history(answer));
        } else if (path.startsWith(CHANGES + "/") && get) {
            String name = path.substring(CHANGES.length() + 1);
            atLeader(path, answer, () -> change(name, answer));
        } else if (path.equals(CHANGES) && verb.equals("POST")) {
            atLeader(path, answer, () -> propose(body, answer));
        } else if (path.equals("/policy/voters") && verb.equals("POST")) {
            atLeader(path, answer, () -> changeVoters(body, answer));
        } else {
            answer.respond(
                    get || verb.equals("POST") ? 404 : 405,
                    TEXT,
                    "",
                    "use GET /policy,"
                            + " /policy/history, /policy/changes/NAME and POST /policy/changes, /policy/voters\n");
        }
    }

    private void atLeader(String path, Responder answer, Runnable action) {
        if (leadership != null && leadership.isLeader()) {
            action.run();
            return;
        }
        String leader = leadership != null ? leadership.leader() : policy.leader();
        LeaderRedirect.answer(fleet, leader, path, answer, RETRY_ADVICE);
    }

    private void unavailable(Responder answer) {
        LeaderRedirect.unavailable(answer, RETRY_ADVICE);
    }

    private void history(Responder answer) {
        leadership.read(
                ledger -> {
                    JsonArray changes = new JsonArray();
                    ledger.recent(MAX_HISTORY).forEach(change -> changes.add(change.toJson(false)));
                    return changes;
                },
                result -> respond(result, answer));
    }

    private void change(String name, Responder answer) {
        leadership.read(
                ledger -> {
                    Change change = ledger.change(name);
                    return change == null ? new JsonObject() : change.toJson(true);
                },
                result -> {
                    if (result instanceof JsonObject json && json.size() == 0) {
                        answer.respond(404, TEXT, "", "change '" + name + "' does not exist\n");
                    } else {
                        respond(result, answer);
                    }
                });
    }

    private void respond(Object result, Responder answer) {
        if (result == null) {
            unavailable(answer);
        } else {
            answer.respond(200, JSON, "", result + "\n");
        }
    }

    private void changeVoters(byte[] body, Responder answer) {
        JsonObject request = PolicyAgent.parseObject(body);
        String operation = request == null || request.size() != 1
                ? ""
                : request.keySet().iterator().next();
        JsonElement name = request == null ? null : request.get(operation);
        if (name == null || !name.isJsonPrimitive() || !VOTER_OPERATIONS.contains(operation)) {
            answer.respond(
                    400, TEXT, "", "expected an object with one of " + VOTER_OPERATIONS + " and a voter's name\n");
            return;
        }
        Consumer<String> callback = reason -> {
            if (reason == null) {
                answer.respond(200, JSON, "", request + "\n");
            } else {
                boolean retryable = reason.endsWith(Leadership.RETRY_SUFFIX);
                answer.respond(retryable ? 503 : 409, TEXT, retryable ? "Retry-After: 1\r\n" : "", reason + "\n");
            }
        };
        if (operation.equals("remove")) {
            leadership.removeVoter(name.getAsString(), callback);
        } else {
            leadership.addVoter(name.getAsString(), operation.equals("replace"), callback);
        }
    }

    private void propose(byte[] body, Responder answer) {
        JsonObject request = PolicyAgent.parseObject(body);
        JsonElement name = request == null ? null : request.get("name");
        JsonElement types = request == null ? null : request.get("types");
        JsonElement proposerField = request == null ? null : request.get("by");
        if (name == null || !name.isJsonPrimitive() || types == null || !types.isJsonObject()) {
            answer.respond(400, TEXT, "", "expected an object with 'name', a string, and 'types', an object\n");
            return;
        }
        String invalid = Ledger.invalidReason(name.getAsString(), types.getAsJsonObject());
        if (invalid != null) {
            answer.respond(400, TEXT, "", invalid + "\n");
            return;
        }
        String proposer =
                proposerField != null && proposerField.isJsonPrimitive() ? proposerField.getAsString() : "an operator";
        if (reservedProposers.contains(proposer)) {
            answer.respond(
                    400, TEXT, "", "by: '" + proposer + "' is reserved for changes that the program makes itself\n");
            return;
        }
        counters.add("policy.proposed");
        Consumer<JsonObject> callback = result -> {
            if (result != null && result.has("error")) {
                answer.respond(409, TEXT, "", result.get("error").getAsString() + "\n");
            } else {
                respond(result, answer);
            }
        };
        leadership.propose(name.getAsString(), types.getAsJsonObject(), proposer, callback);
    }
}
