package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Windows in real processes, without faults but with requests that have to be refused. */
@Timeout(120)
class MaintenanceStoryTest extends MaintenanceStorySupport {
    @Test
    void aWindowGoesFromRequestToDoneUnderTrafficAndNoCallReachesARackThatIsDown() throws Exception {
        startClients();
        awaitCalls("a");
        HttpResponse<String> dry = ask(
                "/maintenance/requests",
                requestsBody(true, window("firmware-a", 300, "a"), window("all", 300, "a", "b", "c", "d")));
        assertEquals(200, dry.statusCode(), dry.body());
        JsonObject first = JsonParser.parseString(dry.body())
                .getAsJsonObject()
                .getAsJsonArray("windows")
                .get(0)
                .getAsJsonObject();
        assertEquals("planned", first.get("state").getAsString(), dry.body());
        assertTrue(dry.body().contains("\"refused\"") && dry.body().contains("slots short"), dry.body());
        assertEquals(0, report().getAsJsonArray("windows").size(), "a dry run decides nothing");
        assertAnswer(
                ask("/maintenance/requests", requestsBody(false, window("x y", 0, "a", "a", "z"))),
                400,
                "name",
                "work_ms",
                "named twice",
                "'z' is not known");

        request(window("firmware-a", 300, "a"));
        assertAnswer(
                ask("/maintenance/requests", requestsBody(false, window("firmware-a", 500, "a"))),
                409,
                "another request");
        assertAnswer(command("nobody", "begin"), 404, "no window");
        await("firmware-a", "draining", "down");
        assertAnswer(
                rig.ask(0, "/policy/changes", "{\"name\":\"give-back\",\"types\":{\"bans\":[]}}"),
                409,
                "rack a is away",
                "till-0, till-1");
        completeWork("firmware-a", "a");
        await("firmware-a", "done");
        awaitCalls("a");
        assertTrue(served.get() > 50, "clients were served");
    }
}
