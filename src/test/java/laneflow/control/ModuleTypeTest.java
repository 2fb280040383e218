package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonParser;
import java.util.List;
import laneflow.decision.Dispatch.Settings;
import org.junit.jupiter.api.Test;

/** The module's settings as a streamed resource type. */
class ModuleTypeTest {
    private final Settings settings = new Settings();

    private static JsonArray resourceWith(String keys) {
        return JsonParser.parseString("[{\"name\":\"module\"" + keys + "}]").getAsJsonArray();
    }

    @Test
    void adoptedValuesApplyAndInitialValuesAreRestored() {
        settings.crossEachWay = 0.25;
        settings.retryWindow = 3;
        ResourceType type = SettingTypes.module(settings);
        ResourceType.ParsedResources parsed = type.read(resourceWith(
                ",\"cross_each_way\":0.7,\"retry_free\":4,\"retry_share\":0.1," + "\"retry_window_ms\":1500"));
        assertEquals(List.of(), parsed.findings);
        assertEquals(0.25, settings.crossEachWay, "reading alone changes nothing");
        assertEquals(List.of(), parsed.adopt());
        assertEquals(0.7, settings.crossEachWay);
        assertEquals(4, settings.retryFree);
        assertEquals(0.1, settings.retryShare);
        assertEquals(1.5, settings.retryWindow);
        type.initial().adopt();
        assertEquals(0.25, settings.crossEachWay);
        assertEquals(3, settings.retryWindow);
        assertEquals(0, settings.retryFree);
    }

    @Test
    void invalidSettingsAreRefused() {
        ResourceType type = SettingTypes.module(settings);
        for (String invalid :
                List.of(",\"cross_each_way\":1.5", ",\"retry_free\":3", ",\"p\":0.5", ",\"retry_share\":\"1\"")) {
            assertTrue(type.read(resourceWith(invalid)).findings.size() > 0, invalid);
        }
        assertTrue(type.read(resourceWith(",\"retry_free\":3")).findings.get(0).contains("retry_window_ms"));
        assertTrue(type.read(JsonParser.parseString("[]").getAsJsonArray())
                        .findings
                        .size()
                > 0);
    }
}
