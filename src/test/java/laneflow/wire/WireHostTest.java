package laneflow.wire;

import static laneflow.wire.Hex.answer;
import static laneflow.wire.Hex.batch;
import static laneflow.wire.Hex.hexOf;
import static laneflow.wire.Hex.record;
import static laneflow.wire.Hex.u32;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The host on frames written out by hand. */
class WireHostTest {
    private static final String EMPTY = "01000000 14000000 00000000 508d976e12d32040";
    private static final String SETTINGS =
            "{\"unknown\": {\"a\": [1]}, \"areas\": [\"z\"], \"classes\": [{\"aim\": 5.0,"
                    + " \"semantics\": \"side_effect\", \"hardLimit\": 10.0}], \"limits\": {\"maxAttempts\": 3}}";
    private static final String WORKER = "0a124a07 5b1b";
    private static final String ENTRY = WORKER + "00 0000 0000 01 0000803f 0000000000000000";
    private static final String OTHER = "0a9011f2 841b";
    private static final String OTHER_ENTRY = OTHER + "00 0000 0000 01 0000803f 0000000000000000";
    private static final String REQUEST_ID = "c4913a5d492a0800";

    private static String start(int instance) {
        return record(11, u32(instance), "0700000000000000", u32(SETTINGS.length()), hexOf(SETTINGS));
    }

    private static String list(int number, String... entries) {
        return record(7, String.format("%02x", number), u32(entries.length), String.join("", entries));
    }

    private static String members(int instance, int mode, int number) {
        return record(4, u32(instance), String.format("%02x", mode), "02000000", String.format("%02x", number));
    }

    private static String ask(int instance, String id) {
        return record(
                3,
                u32(instance),
                id,
                "0000",
                "00000000",
                "0000000000000000",
                "0000000000003040",
                "fa7e6abc7493883f",
                "0000803f",
                "00000000",
                "0100");
    }

    private static String tryRecord(int instance, String id, String worker) {
        return record(65, u32(instance), id, "0000000000000000", worker);
    }

    private static String squeeze(String hex) {
        return hex.replaceAll("\\s", "");
    }

    @Test
    void emptyBatchesAreAnswered() throws IOException, WireException {
        assertEquals("01000000" + "00000000" + "0c000000", answer(EMPTY));
        assertEquals("", answer(""));
    }

    @Test
    void requestGoesToTheListedWorkerByteForByte() throws IOException, WireException {
        String reply = answer(batch(12, start(3), list(0, ENTRY), members(3, 2, 0), ask(3, REQUEST_ID)));
        String send = squeeze("41 1a000000 03000000 c4913a5d492a0800 0000000000000000 0a124a07 5b1b");
        assertTrue(reply.startsWith("0c000000"), reply);
        assertTrue(reply.contains(send), reply);
        assertEquals(reply.length() / 2, Integer.reverseBytes(Integer.parseUnsignedInt(reply.substring(16, 24), 16)));
    }

    @Test
    void finalAnswersAndTimersByteForByte() throws IOException, WireException {
        String finished = record(8, "03000000", REQUEST_ID, "00", WORKER, "f601", "8b6ce7fba9f1923f", "00", "00", "00");
        String reply =
                answer(batch(1, start(3), list(0, ENTRY), members(3, 2, 0), ask(3, REQUEST_ID)), batch(2, finished));
        assertTrue(reply.endsWith(squeeze("02000000 01000000 1d000000 42 0c000000 03000000 c4913a5d492a0800")), reply);
        String refused = answer(batch(1, start(3), list(0), members(3, 2, 0), ask(3, REQUEST_ID)));
        assertTrue(refused.contains(squeeze("49 14000000 03000000 c4913a5d492a0800 0000000000000000")), refused);
        assertTrue(refused.contains("47" + "14000000" + "03000000"), refused);
    }

    @Test
    void listNumbersAreResolvedInTheOrderOfEvents() throws IOException, WireException {
        String reply = answer(batch(
                1,
                start(1),
                start(2),
                list(5, ENTRY),
                members(1, 2, 5),
                list(5, OTHER_ENTRY),
                members(2, 2, 5),
                ask(1, REQUEST_ID),
                ask(2, REQUEST_ID)));
        assertTrue(reply.contains(squeeze(tryRecord(1, REQUEST_ID, WORKER))), reply);
        assertTrue(reply.contains(squeeze(tryRecord(2, REQUEST_ID, OTHER))), reply);
    }

    @Test
    void listStaysKnownToLaterBatches() throws IOException, WireException {
        String reply = answer(
                batch(1, start(1), list(5, ENTRY), members(1, 2, 5)),
                batch(2, start(2), members(2, 2, 5), ask(2, REQUEST_ID)));
        assertTrue(reply.contains(squeeze(tryRecord(2, REQUEST_ID, WORKER))), reply);
    }

    @Test
    void stoppedInstanceStartsAnewInTheSameBatch() throws IOException, WireException {
        String reply = answer(
                batch(1, start(1), list(0, ENTRY), members(1, 2, 0)),
                batch(2, record(9, "01000000"), start(1), ask(1, REQUEST_ID)));
        assertFalse(reply.contains(squeeze(tryRecord(1, REQUEST_ID, WORKER))), "the old list is forgotten");
        assertTrue(reply.contains(squeeze("49 14000000 01000000") + REQUEST_ID), reply);
    }

    @Test
    void notesProbesPeersAndStreamsAreRead() throws IOException, WireException {
        String note = record(12, "03000000", REQUEST_ID, "0000003f", "00", WORKER, "01");
        String newKind = record(12, "03000000", REQUEST_ID, "0000003f", "00", WORKER, "09");
        String probed =
                record(6, "03000000", WORKER, "c7bab88d06f0563f", "c800", "04", "cdcccc3e00006841000040400000a03f");
        String peer = record(1, "03000000", "02000000", "0400", "68692037");
        String flowing = record(10, "03000000", REQUEST_ID, "00", WORKER, "8b6ce7fba9f1823f");
        String gone = record(2, "03000000", REQUEST_ID);
        String timer = record(5, "03000000", "4d00000000000000");
        String reply = answer(
                batch(1, start(3), list(0, ENTRY), members(3, 2, 0), ask(3, REQUEST_ID)),
                batch(2, note, newKind, probed, peer, flowing, gone, timer));
        assertTrue(reply.endsWith("02000000" + "00000000" + "0c000000"), reply);
    }

    @Test
    void unknownEventsAreSkippedByTheirLength() throws IOException, WireException {
        assertEquals("01000000" + "00000000" + "0c000000", answer(batch(1, record(200, "0102030405"))));
    }

    @Test
    void exceptionInTheModuleIsTheInstancesFault() throws IOException, WireException {
        String wrongClass = ask(3, REQUEST_ID).replace(REQUEST_ID + "0000", REQUEST_ID + "0900");
        String reply = answer(batch(1, start(3), wrongClass));
        assertTrue(reply.contains("44"), reply);
        assertTrue(reply.contains(hexOf("class 9 is out of range at laneflow.decision.Logic.request")), reply);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "0100000014000000",
                "01000000 13000000 00000000 508d976e12d32040",
                "01000000 18000000 00000000 508d976e12d32040",
                "01000000 14000000 01000000 508d976e12d32040",
                "01000000 16000000 01000000 508d976e12d32040 0504",
                "01000000 19000000 01000000 508d976e12d32040 05 ff000000",
                "01000000 1d000000 01000000 508d976e12d32040 05 04000000 03000000",
                "01000000 1e000000 01000000 508d976e12d32040 07 05000000 00 02000000",
            })
    void framesThatCannotBeReadAreRefused(String frame) {
        WireException e = assertThrows(WireException.class, () -> answer(frame));
        assertFalse(e.getMessage().contains("\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{\"classes\": []}",
                "{\"classes\": [{\"semantics\": \"odd\"}]}",
                "{\"classes\": 5}",
                "{\"az\": 7, \"classes\": [{\"semantics\": \"pure\"}]}",
                "{\"classes\": [{"
            })
    void settingsThatCannotBeReadAreRefused(String text) {
        String start = record(11, u32(1), "0700000000000000", u32(text.length()), hexOf(text));
        WireException e = assertThrows(WireException.class, () -> answer(batch(1, start)));
        assertFalse(e.getMessage().contains("\n"));
    }

    @Test
    void settingsAreReadWithTheirDefaults() throws WireException {
        SettingsReader read = SettingsReader.read("{\"classes\": [{\"semantics\": \"token\", \"group\": \"zone\","
                + " \"dedupWindow\": 4, \"worth\": null}, {\"semantics\": \"pure\", \"aimStretch\": 3}],"
                + " \"familyInfo\": {\"classStretch\": [1.5, 1.0], \"classKind\": [2, -1], \"queueOrder\": \"backfill\"},"
                + " \"rules\": {\"lateShedding\": true, \"spareAttempts\": 3, \"repeatRatio\": 0.1, \"resendSpan\": 5.0,"
                + " \"closeOnDrainWithin\": 0.3},"
                + " \"reporting\": {\"source\": \"probe\", \"fields\": [\"x0\", \"lat_ms\"]}}");
        assertEquals(laneflow.decision.Dispatch.Group.ZONE, read.settings.classes[0].group);
        assertEquals(1.5, read.settings.classes[0].stretch);
        assertEquals(2, read.settings.classes[0].kind);
        assertEquals(1, read.settings.classes[0].worth);
        assertEquals(3, read.settings.classes[1].stretch);
        assertEquals(laneflow.decision.Dispatch.ReportSource.PROBES, read.settings.reports);
        assertFalse(read.settings.headOfLineBlocking);
        assertFalse(read.settings.mayProbe);
        assertEquals("lat_ms", read.reportFields[1]);
        assertTrue(read.settings.fullMayHaveRun);
        assertEquals(3, read.settings.retryFree);
        assertEquals(0.1, read.settings.retryShare);
        assertEquals(5, read.settings.retryWindow);
        assertEquals(0.3, read.settings.closeOnDrainWithin);
        assertEquals(0, SettingsReader.read("{\"classes\": [{}]}").settings.retryWindow);
    }

    @Test
    void tenantsAreReadWithTheirSharesAndTheirPrice() throws WireException {
        SettingsReader read = SettingsReader.read("{\"classes\": [{}], \"overShareWorth\": 0.2,"
                + " \"customers\": [{\"name\": \"a\",\"quotaPerS\": 12.5, \"portion\": 0.7}, {\"name\": \"b\"}]}");
        assertEquals(0.2, read.settings.overShareWorth);
        assertEquals("a", read.settings.tenants[0].name);
        assertEquals(12.5, read.settings.tenants[0].quota);
        assertEquals(0.7, read.settings.tenants[0].portion);
        assertEquals(0, read.settings.tenants[1].quota);
        SettingsReader none = SettingsReader.read("{\"classes\": [{}]}");
        assertEquals(0, none.settings.tenants.length);
        assertEquals(1, none.settings.overShareWorth);
    }

    /** How many of 120 requests at once of that tenant are sent to one worker. */
    private static int sentOf(String tenant) throws IOException, WireException {
        String settings = SETTINGS.replace(
                "\"limits\"",
                "\"overShareWorth\": 0.0, \"customers\": ["
                        + "{\"name\": \"a\", \"quotaPerS\": 900.0}, {\"name\": \"b\", \"quotaPerS\": 1.0}], \"limits\"");
        String[] records = new String[123];
        records[0] = record(11, u32(3), "0700000000000000", u32(settings.length()), hexOf(settings));
        records[1] = list(0, ENTRY);
        records[2] = members(3, 2, 0);
        for (int i = 3; i < records.length; i++) {
            String id = String.format("%02x00000000000000", i);
            records[i] = ask(3, id).replace(id + "0000" + "00000000", id + "0000" + tenant);
        }
        String reply = answer(batch(1, records));
        return (reply.length()
                        - reply.replace(squeeze("41 1a000000 03000000"), "").length())
                / 18;
    }

    @Test
    void aTenantBeyondItsShareIsTurnedAwayFirst() throws IOException, WireException {
        int beyond = sentOf("01000000");
        assertTrue(beyond > 5 && beyond < 110, "sent " + beyond);
        assertEquals(120, sentOf("00000000"), "within its share");
        assertEquals(120, sentOf("09000000"), "of nobody that is known");
    }

    @Test
    void idleConnectionsToADrainingWorkerAreClosedByteForByte() throws IOException, WireException {
        String settings = SETTINGS.replace("\"limits\"", "\"rules\": {\"closeOnDrainWithin\": 0.5}, \"limits\"");
        String start = record(11, u32(3), "0700000000000000", u32(settings.length()), hexOf(settings));
        String drains = WORKER + "00 0000 0000 00 0000803f 0000000000000000";
        String reply =
                answer(batch(1, start, list(0, ENTRY), members(3, 2, 0)), batch(2, list(1, drains), members(3, 4, 1)));
        assertTrue(reply.contains(squeeze("48 0a000000 03000000 0a124a07 5b1b")), reply);
    }
}
