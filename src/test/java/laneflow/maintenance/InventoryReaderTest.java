package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import laneflow.config.Findings;
import laneflow.config.OperatorFile;
import laneflow.maintenance.decision.Inventory;
import org.junit.jupiter.api.Test;

/** The operators' file and the platform's settings give the same racks and tenants. */
class InventoryReaderTest {
    private static final String FILE = "listen = \"127.0.0.1:0\"\nzones = [\"a\", \"b\"]\n[classes.quick]\n"
            + "[classes.batch]\n"
            + "[endpoints.e1]\ndial = \"127.0.0.1:9001\"\nrack = \"r1\"\nslots = 8\n"
            + "[endpoints.e2]\ndial = \"127.0.0.1:9002\"\nrack = \"r1\"\nslots = 4\n"
            + "[endpoints.e3]\ndial = \"127.0.0.1:9003\"\nzone = \"b\"\nslots = 12\n"
            + "[tenants.shop]\nshare = 3\n[tenants.till]\nzones = [\"a\"]\nclasses = [\"quick\"]\n";

    private static Inventory read(JsonObject platform, Findings findings) {
        return InventoryReader.read(
                platform.getAsJsonObject("settings"),
                platform.getAsJsonObject("known").getAsJsonArray("hosts"),
                findings);
    }

    private static void check(Inventory inventory) {
        assertEquals(
                List.of("r1", "e3"),
                inventory.racks().stream().map(Inventory.Rack::name).toList());
        assertEquals(12, inventory.racks().get(0).slots());
        assertEquals(
                List.of("shop", "till", "others"),
                inventory.tenants().stream().map(Inventory.Tenant::name).toList());
        // In zone a, shop, till and others share 12 slots 3:1:1; in zone b, shop and others share 12 slots
        // 3:1.
        assertEquals(12 * 0.6 + 12 * 0.75, inventory.entitlement(0), 1e-9);
        assertEquals(12 * 0.2, inventory.entitlement(1), 1e-9);
    }

    @Test
    void theOperatorsFileIsRead() {
        OperatorFile file = OperatorFile.parse(FILE, "f.toml");
        assertEquals(List.of(), file.findings().all());
        check(read(file.platform(), new Findings("f.toml")));
    }

    @Test
    void platformSettingsGiveTheSameInventory() {
        JsonObject platform = JsonParser.parseString("{\"settings\":{\"areas\":[\"a\",\"b\"],\"classes\":[{\"name\":"
                        + "\"quick\"},{\"name\":\"batch\"}],\"customers\":[{\"name\":\"shop\",\"portion\":3},{\"name\":\"till\","
                        + "\"portion\":1,\"zones\":[\"a\"],\"classes\":[\"quick\"]}]},\"known\":{\"hosts\":["
                        + "{\"host\":\"e1\",\"site\":\"a\",\"rack\":\"r1\",\"slots\":8},"
                        + "{\"host\":\"e2\",\"site\":\"a\",\"rack\":\"r1\",\"slots\":4},"
                        + "{\"host\":\"e3\",\"site\":\"b\",\"slots\":12}]}}")
                .getAsJsonObject();
        check(read(platform, new Findings("settings")));
    }

    @Test
    void aBlockIsARack() {
        JsonObject platform = JsonParser.parseString(
                        "{\"settings\":{\"classes\":[{\"name\":\"quick\"}]},\"known\":"
                                + "{\"hosts\":[{\"host\":\"s-1\",\"site\":\"a\",\"block\":3},{\"host\":\"s-2\",\"site\":\"a\",\"block\":3}]}}")
                .getAsJsonObject();
        Inventory inventory = read(platform, new Findings("settings"));
        assertEquals(2, inventory.racks().get(inventory.rackIndex("3")).slots());
    }

    @Test
    void allErrorsAreReportedAtOnce() {
        OperatorFile invalid = OperatorFile.parse(
                FILE.replace("share = 3", "share = 0")
                        .replace("zones = [\"a\"]\nc", "zones = [\"x\"]\nc")
                        .replace("slots = 8", "slots = -1"),
                "f.toml");
        String messages = invalid.findings().all().toString();
        for (String part : List.of(
                "[tenants.shop] share: 0 is not between",
                "[tenants.till] zones: 'x' is none of",
                "[endpoints.e1] slots: -1 is not between")) {
            assertTrue(messages.contains(part), part + " in " + messages);
        }
        Findings findings = new Findings("f.toml");
        OperatorFile conflicting =
                OperatorFile.parse(FILE.replace("zone = \"b\"\n", "zone = \"b\"\nrack = \"r1\"\n"), "f.toml");
        assertNull(read(conflicting.platform(), findings));
        assertTrue(
                findings.all().toString().contains("'r1' is in zone a by another endpoint, but by this one in zone b"));
    }
}
