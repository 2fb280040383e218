package laneflow.policy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The voters' state machine: one outcome per change, the same wherever the same operations are applied. */
class LedgerTest {
    private final Ledger ledger = new Ledger();

    private static JsonObject types(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    private JsonObject propose(String name, String types) {
        return ledger.run(Ledger.propose(name, types(types), "me", 5));
    }

    @Test
    void changeReplacesItsTypesAndKeepsTheOthers() {
        propose("a", "{bans:[{name:'e1'}],limits:[{attempts:3}]}");
        assertEquals(0, ledger.view().inForce());
        ledger.run(Ledger.apply("a", 6));
        propose("b", "{bans:[{name:'e2'}]}");
        assertEquals(
                types("{limits:[{attempts:3}],bans:[{name:'e2'}]}"),
                ledger.view().openMerged());
        ledger.run(Ledger.apply("b", 7));
        assertEquals(2, ledger.view().inForce());
        assertEquals(
                types("{limits:[{attempts:3}],bans:[{name:'e2'}]}"),
                ledger.view().merged());
        // An empty list returns the type to the file.
        propose("c", "{limits:[]}");
        ledger.run(Ledger.apply("c", 8));
        assertEquals(types("{bans:[{name:'e2'}]}"), ledger.view().merged());
    }

    @Test
    void firstDecisionIsFinal() {
        propose("a", "{bans:[]}");
        assertEquals(
                "abandoned",
                ledger.run(Ledger.abandon("a", List.of("no"), 6)).get("state").getAsString());
        assertEquals("abandoned", ledger.run(Ledger.apply("a", 7)).get("state").getAsString());
        assertEquals(0, ledger.view().inForce());
        // A change that is proposed again is the same change, with the same outcome.
        assertEquals("abandoned", propose("a", "{bans:[]}").get("state").getAsString());
        assertTrue(propose("a", "{limits:[]}").get("error").getAsString().contains("different content"));
        assertTrue(ledger.run(Ledger.apply("z", 7)).has("error"));
    }

    @Test
    void changesWaitInOrderUpToTheLimit() {
        for (int i = 0; i <= Ledger.MAX_WAITING; i++) {
            assertEquals(
                    i == 0 ? "open" : "waiting",
                    propose("c" + i, "{bans:[]}").get("state").getAsString());
        }
        assertTrue(propose("late", "{bans:[]}").get("error").getAsString().contains("already waiting"));
        assertEquals("waiting", ledger.run(Ledger.apply("c5", 1)).get("state").getAsString());
        ledger.run(Ledger.abandon("c0", List.of("no"), 1));
        assertEquals("c1", ledger.view().open().name());
        // A number belongs to one change, whatever its outcome.
        assertEquals(2, ledger.view().open().number());
    }

    @Test
    void invalidChangesAreRejectedWithAReason() {
        assertTrue(propose("a b", "{bans:[]}").get("error").getAsString().startsWith("name:"));
        assertTrue(propose("a", "{}").get("error").getAsString().startsWith("types:"));
        assertTrue(propose("a", "{bans:{}}").get("error").getAsString().startsWith("types.bans:"));
        assertTrue(propose("a", "{bans:['" + "x".repeat(Ledger.MAX_CONTENT_CHARS) + "']}")
                .get("error")
                .getAsString()
                .contains("the limit is"));
        assertNull(ledger.view().open());
    }

    @Test
    void sameOperationsAndSnapshotsLeadToTheSameState() {
        SplittableRandom random = new SplittableRandom(3);
        Ledger replica = new Ledger();
        for (int i = 0; i < 2000; i++) {
            Change open = ledger.view().open();
            String name = open != null && random.nextBoolean() ? open.name() : "c" + random.nextInt(i + 1);
            JsonObject op = switch (random.nextInt(3)) {
                case 0 -> Ledger.propose(name, types("{bans:[{name:'e" + random.nextInt(9) + "'}]}"), "me", i);
                case 1 -> Ledger.apply(name, i);
                default -> Ledger.abandon(name, List.of("r" + i), i);
            };
            assertEquals(ledger.run(op), replica.run(op));
            if (random.nextInt(50) == 0) {
                Ledger restored = new Ledger();
                restored.restore(
                        JsonParser.parseString(replica.snapshot().toString()).getAsJsonObject());
                replica = restored;
            }
        }
        assertEquals(ledger.snapshot(), replica.snapshot());
        assertTrue(ledger.view().inForce() > 50, ledger.view().inForce() + "");
    }

    @Test
    void oldestOutcomesAreDroppedButNoUndecidedChange() {
        propose("first", "{bans:[]}");
        for (int i = 0; i < Ledger.MAX_OUTCOMES + 5; i++) {
            ledger.run(Ledger.abandon(ledger.view().open().name(), List.of(), i));
            propose("c" + i, "{bans:[]}");
        }
        assertNull(ledger.change("first"));
        assertEquals(Ledger.MAX_OUTCOMES, ledger.recent(20_000).size());
    }
}
