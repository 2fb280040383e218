package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Windows run by processes, without faults and with operators who want what can't be. */
@Timeout(120)
class MaintenanceStoryTest extends MaintenanceStories {
    @Test
    void aWindowGoesFromRequestToDoneUnderTrafficAndNobodyCallsWhatIsDown() throws Exception {
        traffic();
        served("a");
        HttpResponse<String> dry = ask(
                "/maintenance/requests",
                body(true, window("firmware-a", 300, "a"), window("all", 300, "a", "b", "c", "d")));
        assertEquals(200, dry.statusCode(), dry.body());
        JsonObject first = JsonParser.parseString(dry.body())
                .getAsJsonObject()
                .getAsJsonArray("windows")
                .get(0)
                .getAsJsonObject();
        assertEquals("planned", first.get("state").getAsString(), dry.body());
        assertTrue(dry.body().contains("\"refused\"") && dry.body().contains("slots short"), dry.body());
        assertEquals(0, show().getAsJsonArray("windows").size(), "a dry run decides nothing");
        assertTells(
                ask("/maintenance/requests", body(false, window("x y", 0, "a", "a", "z"))),
                400,
                "name",
                "work_ms",
                "named twice",
                "'z' is not known");

        request(window("firmware-a", 300, "a"));
        assertTells(ask("/maintenance/requests", body(false, window("firmware-a", 500, "a"))), 409, "another request");
        assertTells(order("nobody", "begin"), 404, "no window");
        await("firmware-a", "draining", "down");
        assertTells(
                rig.ask(0, "/policy/changes", "{\"name\":\"give-back\",\"types\":{\"bans\":[]}}"),
                409,
                "rack a is away",
                "till-0, till-1");
        work("firmware-a", "a");
        await("firmware-a", "done");
        served("a");
        assertTrue(served.get() > 50, "clients were served");
    }
}
