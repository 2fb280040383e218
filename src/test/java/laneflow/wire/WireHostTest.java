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

/** Tests of WireHost with hand-written frames. */
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

    private static String listEvent(int instance, int mode, int number) {
        return record(4, u32(instance), String.format("%02x", mode), "02000000", String.format("%02x", number));
    }

    private static String requestEvent(int instance, String id) {
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

    private static String sendRecord(int instance, String id, String worker) {
        return record(65, u32(instance), id, "0000000000000000", worker);
    }

    private static String stripSpaces(String hex) {
        return hex.replaceAll("\\s", "");
    }

    @Test
    void emptyBatchesAreAnswered() throws IOException, WireException {
        assertEquals("01000000" + "00000000" + "0c000000", answer(EMPTY));
        assertEquals("", answer(""));
    }

    @Test
    void requestGoesToTheListedWorkerByteForByte() throws IOException, WireException {
        String reply = answer(batch(12, start(3), list(0, ENTRY), listEvent(3, 2, 0), requestEvent(3, REQUEST_ID)));
        String send = stripSpaces("41 1a000000 03000000 c4913a5d492a0800 0000000000000000 0a124a07 5b1b");
        assertTrue(reply.startsWith("0c000000"), reply);
        assertTrue(reply.contains(send), reply);
        assertEquals(reply.length() / 2, Integer.reverseBytes(Integer.parseUnsignedInt(reply.substring(16, 24), 16)));
    }

    @Test
    void finalAnswersAndTimersByteForByte() throws IOException, WireException {
        String finished = record(8, "03000000", REQUEST_ID, "00", WORKER, "f601", "8b6ce7fba9f1923f", "00", "00", "00");
        String reply = answer(
                batch(1, start(3), list(0, ENTRY), listEvent(3, 2, 0), requestEvent(3, REQUEST_ID)),
                batch(2, finished));
        assertTrue(
                reply.endsWith(stripSpaces("02000000 01000000 1d000000 42 0c000000 03000000 c4913a5d492a0800")), reply);
        String refused = answer(batch(1, start(3), list(0), listEvent(3, 2, 0), requestEvent(3, REQUEST_ID)));
        assertTrue(refused.contains(stripSpaces("49 14000000 03000000 c4913a5d492a0800 0000000000000000")), refused);
        assertTrue(refused.contains("47" + "14000000" + "03000000"), refused);
    }

    @Test
    void listNumbersAreResolvedInEventOrder() throws IOException, WireException {
        String reply = answer(batch(
                1,
                start(1),
                start(2),
                list(5, ENTRY),
                listEvent(1, 2, 5),
                list(5, OTHER_ENTRY),
                listEvent(2, 2, 5),
                requestEvent(1, REQUEST_ID),
                requestEvent(2, REQUEST_ID)));
        assertTrue(reply.contains(stripSpaces(sendRecord(1, REQUEST_ID, WORKER))), reply);
        assertTrue(reply.contains(stripSpaces(sendRecord(2, REQUEST_ID, OTHER))), reply);
    }

    @Test
    void listStaysKnownToLaterBatches() throws IOException, WireException {
        String reply = answer(
                batch(1, start(1), list(5, ENTRY), listEvent(1, 2, 5)),
                batch(2, start(2), listEvent(2, 2, 5), requestEvent(2, REQUEST_ID)));
        assertTrue(reply.contains(stripSpaces(sendRecord(2, REQUEST_ID, WORKER))), reply);
    }

    @Test
    void stoppedInstanceRestartsInTheSameBatch() throws IOException, WireException {
        String reply = answer(
                batch(1, start(1), list(0, ENTRY), listEvent(1, 2, 0)),
                batch(2, record(9, "01000000"), start(1), requestEvent(1, REQUEST_ID)));
        assertFalse(reply.contains(stripSpaces(sendRecord(1, REQUEST_ID, WORKER))), "the old list must be forgotten");
        assertTrue(reply.contains(stripSpaces("49 14000000 01000000") + REQUEST_ID), reply);
    }

    @Test
    void notesProbesPeersAndStreamsAreRead() throws IOException, WireException {
        String note = record(12, "03000000", REQUEST_ID, "0000003f", "00", WORKER, "01");
        String newKind = record(12, "03000000", REQUEST_ID, "0000003f", "00", WORKER, "09");
        String probed =
                record(6, "03000000", WORKER, "c7bab88d06f0563f", "c800", "04", "cdcccc3e00006841000040400000a03f");
        String peer = record(1, "03000000", "02000000", "0400", "68692037");
        String streaming = record(10, "03000000", REQUEST_ID, "00", WORKER, "8b6ce7fba9f1823f");
        String abandoned = record(2, "03000000", REQUEST_ID);
        String timer = record(5, "03000000", "4d00000000000000");
        String reply = answer(
                batch(1, start(3), list(0, ENTRY), listEvent(3, 2, 0), requestEvent(3, REQUEST_ID)),
                batch(2, note, newKind, probed, peer, streaming, abandoned, timer));
        assertTrue(reply.endsWith("02000000" + "00000000" + "0c000000"), reply);
    }

    @Test
    void unknownEventsAreSkippedByTheirLength() throws IOException, WireException {
        assertEquals("01000000" + "00000000" + "0c000000", answer(batch(1, record(200, "0102030405"))));
    }

    @Test
    void exceptionInTheModuleIsReportedAsAFault() throws IOException, WireException {
        String wrongClass = requestEvent(3, REQUEST_ID).replace(REQUEST_ID + "0000", REQUEST_ID + "0900");
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
        SettingsReader parsed = SettingsReader.read("{\"classes\": [{\"semantics\": \"token\", \"group\": \"zone\","
                + " \"dedupWindow\": 4, \"worth\": null}, {\"semantics\": \"pure\", \"aimStretch\": 3}],"
                + " \"familyInfo\": {\"classStretch\": [1.5, 1.0], \"classKind\": [2, -1], \"queueOrder\": \"backfill\"},"
                + " \"rules\": {\"lateShedding\": true, \"spareAttempts\": 3, \"repeatRatio\": 0.1, \"resendSpan\": 5.0,"
                + " \"closeOnDrainWithin\": 0.3},"
                + " \"reporting\": {\"source\": \"probe\", \"fields\": [\"x0\", \"lat_ms\"]}}");
        assertEquals(laneflow.decision.Dispatch.Group.ZONE, parsed.settings.classes[0].group);
        assertEquals(1.5, parsed.settings.classes[0].stretch);
        assertEquals(2, parsed.settings.classes[0].kind);
        assertEquals(1, parsed.settings.classes[0].worth);
        assertEquals(3, parsed.settings.classes[1].stretch);
        assertEquals(laneflow.decision.Dispatch.ReportSource.PROBES, parsed.settings.reports);
        assertFalse(parsed.settings.headOfLineBlocking);
        assertFalse(parsed.settings.mayProbe);
        assertEquals("lat_ms", parsed.reportFields[1]);
        assertTrue(parsed.settings.fullMayHaveRun);
        assertEquals(3, parsed.settings.retryFree);
        assertEquals(0.1, parsed.settings.retryShare);
        assertEquals(5, parsed.settings.retryWindow);
        assertEquals(0.3, parsed.settings.closeOnDrainWithin);
        assertEquals(0, SettingsReader.read("{\"classes\": [{}]}").settings.retryWindow);
    }

    @Test
    void tenantsAreReadWithTheirQuotasAndOverShareWorth() throws WireException {
        SettingsReader parsed = SettingsReader.read("{\"classes\": [{}], \"overShareWorth\": 0.2,"
                + " \"customers\": [{\"name\": \"a\",\"quotaPerS\": 12.5, \"portion\": 0.7}, {\"name\": \"b\"}]}");
        assertEquals(0.2, parsed.settings.overShareWorth);
        assertEquals("a", parsed.settings.tenants[0].name);
        assertEquals(12.5, parsed.settings.tenants[0].quota);
        assertEquals(0.7, parsed.settings.tenants[0].portion);
        assertEquals(0, parsed.settings.tenants[1].quota);
        SettingsReader none = SettingsReader.read("{\"classes\": [{}]}");
        assertEquals(0, none.settings.tenants.length);
        assertEquals(1, none.settings.overShareWorth);
    }

    /** The number of 120 concurrent requests of a tenant that are sent to a single worker. */
    private static int sentFor(String tenant) throws IOException, WireException {
        String settings = SETTINGS.replace(
                "\"limits\"",
                "\"overShareWorth\": 0.0, \"customers\": ["
                        + "{\"name\": \"a\", \"quotaPerS\": 900.0}, {\"name\": \"b\", \"quotaPerS\": 1.0}], \"limits\"");
        String[] records = new String[123];
        records[0] = record(11, u32(3), "0700000000000000", u32(settings.length()), hexOf(settings));
        records[1] = list(0, ENTRY);
        records[2] = listEvent(3, 2, 0);
        for (int i = 3; i < records.length; i++) {
            String id = String.format("%02x00000000000000", i);
            records[i] = requestEvent(3, id).replace(id + "0000" + "00000000", id + "0000" + tenant);
        }
        String reply = answer(batch(1, records));
        return (reply.length()
                        - reply.replace(stripSpaces("41 1a000000 03000000"), "").length())
                / 18;
    }

    @Test
    void tenantOverItsShareIsRefusedFirst() throws IOException, WireException {
        int overShare = sentFor("01000000");
        assertTrue(overShare > 5 && overShare < 110, "sent " + overShare);
        assertEquals(120, sentFor("00000000"), "within its share");
        assertEquals(120, sentFor("09000000"), "unknown tenant");
    }

    @Test
    void idleConnectionsToADrainingWorkerAreClosedByteForByte() throws IOException, WireException {
        String settings = SETTINGS.replace("\"limits\"", "\"rules\": {\"closeOnDrainWithin\": 0.5}, \"limits\"");
        String start = record(11, u32(3), "0700000000000000", u32(settings.length()), hexOf(settings));
        String draining = WORKER + "00 0000 0000 00 0000803f 0000000000000000";
        String reply = answer(
                batch(1, start, list(0, ENTRY), listEvent(3, 2, 0)), batch(2, list(1, draining), listEvent(3, 4, 1)));
        assertTrue(reply.contains(stripSpaces("48 0a000000 03000000 0a124a07 5b1b")), reply);
    }
}
