package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.Set;
import laneflow.config.Findings;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Plan;
import laneflow.maintenance.decision.Request;
import org.junit.jupiter.api.Test;

/** Requests over HTTP: what the ledger writes can be read, and all errors are reported at once. */
class RequestReaderTest {
    private final Findings findings = Findings.paths();

    private List<Request> read(String json) {
        return RequestReader.read(JsonParser.parseString(json).getAsJsonArray(), Set.of("a", "b"), findings);
    }

    @Test
    void writtenRequestsAreReadBack() {
        Request written = new Request(
                "w",
                "crew",
                List.of("a", "b"),
                1000,
                5,
                9000,
                10,
                500,
                Set.of("power"),
                List.of("v"),
                List.of(new Plan.Freeze("sale", 100, 200)));
        JsonArray list = new JsonArray();
        list.add(MaintenanceJson.write(written));
        assertEquals(List.of(written), read(list.toString()));
        assertEquals(List.of(), findings.all());
    }

    @Test
    void allErrorsAreReportedWithTheirPlace() {
        read("[{'name':'a b','owner':'c','racks':['a','a','z'],'work_ms':0,'earliest_ms':10,'latest_ms':5,'more':1,"
                + "'abort_ms':9,'after':['a b'],'freezes':[{'name':'f','from_ms':5,'to_ms':5},7]},7,"
                + "{'name':'x','owner':'c','racks':['a'],'work_ms':10,'earliest_ms':1,'latest_ms':5},"
                + "{'name':'x','owner':'c','racks':[],'earliest_ms':'soon','latest_ms':5}]");
        String errors = String.join("\n", findings.all());
        for (String part : List.of(
                "requests[0].name: is up to 64",
                "racks: 'a' is named twice",
                "'z' is not known",
                "work_ms: 0 is not between 1",
                "requests[0].more: is unknown here",
                "abort_ms: is longer than the work",
                "can't come after itself",
                "freezes[0].to_ms: is not after from_ms",
                "freezes[1]: is no object",
                "requests[1]: is no object",
                "requests[2].latest_ms: leaves 4 ms for 10 of work",
                "requests[3].name: 'x' is a duplicate",
                "requests[3].racks: names none",
                "requests[3].work_ms: is missing",
                "earliest_ms: must be a whole")) {
            assertTrue(errors.contains(part), part + "\n" + errors);
        }
        assertEquals(List.of(), read("[]"));
        assertTrue(String.join("\n", findings.all()).contains("have to be 1 to 500"));
    }
}
