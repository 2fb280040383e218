package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.maintenance.decision.Plan;
import laneflow.maintenance.decision.Request;

/** Reads requests from an HTTP body, in the form of the ledger; all errors are reported at once. */
final class RequestReader {
    /** Maximum number of requests in one body. */
    static final int MAX_REQUESTS = 500;

    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";
    private static final int MAX_TEXT_LENGTH = 200;
    private static final int MAX_NAMES = 256;
    private static final long EIGHT_WEEKS_MS = 8L * 7 * 86_400_000;

    private RequestReader() {}

    /** @param racks the known racks */
    static List<Request> read(JsonArray from, Set<String> racks, Findings findings) {
        List<Request> requests = new ArrayList<>();
        Set<String> names = new HashSet<>();
        if (from.isEmpty() || from.size() > MAX_REQUESTS) {
            findings.add("requests", "", "are " + from.size() + ", and have to be 1 to " + MAX_REQUESTS);
            return requests;
        }
        for (int i = 0; i < from.size(); i++) {
            JsonElement element = from.get(i);
            String path = "requests[" + i + "]";
            if (!element.isJsonObject()) {
                findings.add(path, "", "is no object");
                continue;
            }
            Request request = read(element.getAsJsonObject(), path, racks, findings);
            if (!names.add(request.name())) {
                findings.add(path, "name", "'" + request.name() + "' is a duplicate");
            }
            requests.add(request);
        }
        return requests;
    }

    private static Request read(JsonObject from, String path, Set<String> racks, Findings findings) {
        Table table = Table.of(from, path, findings);
        String name = table.text("name");
        if (!name.isEmpty() && !name.matches(NAME)) {
            table.addFinding("name", "is up to 64 letters, digits, '_', '.' and '-'");
        }
        String owner = table.text("owner");
        if (owner.length() > MAX_TEXT_LENGTH) {
            table.addFinding("owner", "is longer than " + MAX_TEXT_LENGTH + " characters");
        }
        List<String> requestedRacks = names(table, "racks");
        if (requestedRacks.isEmpty()) {
            table.addFinding("racks", "names none");
        }
        Set<String> seen = new HashSet<>();
        for (String rack : requestedRacks) {
            if (!racks.contains(rack)) {
                table.addFinding("racks", "'" + rack + "' is not known");
            } else if (!seen.add(rack)) {
                table.addFinding("racks", "'" + rack + "' is named twice");
            }
        }
        long work = requiredInteger(table, "work_ms", 1, EIGHT_WEEKS_MS);
        long earliest = requiredInteger(table, "earliest_ms", 0, Long.MAX_VALUE / 4);
        long latest = requiredInteger(table, "latest_ms", 0, Long.MAX_VALUE / 4);
        long notice = table.integer("notice_ms", 0, 0, EIGHT_WEEKS_MS);
        long abort = table.integer("abort_ms", 0, 0, EIGHT_WEEKS_MS);
        List<String> apart = names(table, "apart");
        List<String> after = names(table, "after");
        if (after.contains(name)) {
            table.addFinding("after", "'" + name + "' can't come after itself");
        }
        if (abort > work) {
            table.addFinding("abort_ms", "is longer than the work");
        }
        if (work > 0 && latest > 0 && latest - earliest < work) {
            table.addFinding("latest_ms", "leaves " + Math.max(0, latest - earliest) + " ms for " + work + " of work");
        }
        List<Plan.Freeze> freezes = table.has("freezes") ? freezes(from.get("freezes"), path, findings) : List.of();
        table.close();
        return new Request(
                name, owner, requestedRacks, work, earliest, latest, notice, abort, Set.copyOf(apart), after, freezes);
    }

    private static List<Plan.Freeze> freezes(JsonElement from, String path, Findings findings) {
        List<Plan.Freeze> freezes = new ArrayList<>();
        if (!from.isJsonArray() || from.getAsJsonArray().size() > MAX_NAMES) {
            findings.add(path, "freezes", "must be a list of at most " + MAX_NAMES);
            return freezes;
        }
        for (int i = 0; i < from.getAsJsonArray().size(); i++) {
            String freezePath = path + ".freezes[" + i + "]";
            JsonElement element = from.getAsJsonArray().get(i);
            if (!element.isJsonObject()) {
                findings.add(freezePath, "", "is no object");
                continue;
            }
            Table table = Table.of(element.getAsJsonObject(), freezePath, findings);
            String name = table.text("name");
            long startMs = requiredInteger(table, "from_ms", 0, Long.MAX_VALUE / 4);
            long endMs = requiredInteger(table, "to_ms", 0, Long.MAX_VALUE / 4);
            if (endMs <= startMs) {
                table.addFinding("to_ms", "is not after from_ms");
            }
            table.close();
            freezes.add(new Plan.Freeze(name, startMs, endMs));
        }
        return freezes;
    }

    private static long requiredInteger(Table table, String key, long min, long max) {
        if (!table.has(key)) {
            table.addFinding(key, "is missing");
        }
        return table.integer(key, 0, min, max);
    }

    private static List<String> names(Table table, String key) {
        List<String> names = table.texts(key);
        if (names.size() > MAX_NAMES || names.stream().anyMatch(name -> name.length() > MAX_TEXT_LENGTH)) {
            table.addFinding(
                    key,
                    "holds more than " + MAX_NAMES + " names, or one of more than " + MAX_TEXT_LENGTH + " characters");
        }
        return names;
    }
}
