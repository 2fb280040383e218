package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import laneflow.config.ConfigException;
import laneflow.maintenance.decision.Plan.Freeze;
import laneflow.maintenance.decision.Request;
import org.junit.jupiter.api.Test;

/** Request files: fields, the nights of clock changes, and all errors at once. */
class RequestFileTest {
    private static final Set<String> RACKS = Set.of("a1", "a2");
    private static final long UNTIL = ms("2027-12-31T00:00:00Z");

    private static long ms(String instant) {
        return Instant.parse(instant).toEpochMilli();
    }

    private static List<Request> read(String earliest, String latest, String extraFields) {
        return RequestFile.read(
                "name = \"fw\"\nowner = \"crew\"\nracks = [\"a1\"]\nwork_minutes = 60\n"
                        + "time_zone = \"Europe/Ljubljana\"\nearliest = \"" + earliest + "\"\nlatest = \"" + latest
                        + "\"\n"
                        + extraFields,
                "fw.toml",
                RACKS,
                UNTIL);
    }

    @Test
    void allFieldsAreRead() {
        Request request = read(
                        "2026-12-10T22:00",
                        "2026-12-11T06:00",
                        "notice_minutes = 1440\nabort_minutes = 30\n" + "apart = [\"power-3\"]\nafter = [\"other\"]")
                .get(0);
        assertEquals(
                new Request(
                        "fw",
                        "crew",
                        List.of("a1"),
                        3_600_000,
                        ms("2026-12-10T21:00:00Z"),
                        ms("2026-12-11T05:00:00Z"),
                        86_400_000,
                        1_800_000,
                        Set.of("power-3"),
                        List.of("other")),
                request);
    }

    @Test
    void aRepeatedLocalTimeGivesTheLongestPeriod() {
        Request request = read("2026-10-25T02:30", "2026-10-25T02:45", "").get(0);
        assertEquals(ms("2026-10-25T00:30:00Z"), request.earliestMs());
        assertEquals(ms("2026-10-25T01:45:00Z"), request.latestMs());
    }

    @Test
    void aSkippedLocalTimeBeginsAnHourLater() {
        Request request = read("2026-03-29T02:30", "2026-03-29T05:00", "").get(0);
        assertEquals(ms("2026-03-29T01:30:00Z"), request.earliestMs());
        // Four hours by local time are three real hours in that night.
        assertEquals(
                3 * 3_600_000L,
                read("2026-03-29T01:00", "2026-03-29T05:00", "").get(0).latestMs()
                        - read("2026-03-29T01:00", "2026-03-29T05:00", "")
                                .get(0)
                                .earliestMs());
        ConfigException e = assertThrows(ConfigException.class, () -> read("2026-03-29T01:30", "2026-03-29T03:00", ""));
        assertTrue(
                e.getMessage().contains("leaves 30 minutes from 2026-03-29T01:30 on for 60 of work"), e.getMessage());
    }

    @Test
    void monthlyOccurrencesKeepTheirLocalTime() {
        List<Request> requests =
                read("2026-09-01T02:30", "2026-09-01T06:00", "rule = \"FREQ=MONTHLY;BYDAY=-1SU;COUNT=3\"");
        assertEquals(
                List.of("fw-20260927", "fw-20261025", "fw-20261129"),
                requests.stream().map(Request::name).toList());
        assertEquals(
                List.of(ms("2026-09-27T00:30:00Z"), ms("2026-10-25T00:30:00Z"), ms("2026-11-29T01:30:00Z")),
                requests.stream().map(Request::earliestMs).toList());
    }

    @Test
    void allErrorsAreReportedAtOnce() {
        ConfigException e = assertThrows(
                ConfigException.class,
                () -> RequestFile.read(
                        "name = \"a b\"\n"
                                + "racks = [\"a1\", \"a1\", \"x9\"]\nwork_minutes = 0\nabort_minutes = 5\nearliest = \"soon\"\n"
                                + "latest = \"2026-12-11T06:00\"\ntime_zone = \"Mars/Base\"\nafter = [\"a b\"]\nnotic = 3\n",
                        "fw.toml",
                        RACKS,
                        UNTIL));
        for (String part : List.of(
                "fw.toml: name: is up to 48",
                "owner: is missing",
                "'a1' is named twice",
                "'x9' is not known",
                "work_minutes: 0 is not between",
                "abort_minutes: is longer than the work",
                "earliest: 'soon' is no local time",
                "time_zone: 'Mars/Base' is no zone",
                "after: 'a b' can't come after itself",
                "notic: is unknown here")) {
            assertTrue(e.getMessage().contains(part), part + " in " + e.getMessage());
        }
    }

    @Test
    void invalidRulesAreRefused() {
        for (String[] ruleAndError : new String[][] {
            {"FREQ=OFTEN", "is no rule of RFC 5545"},
            {"FREQ=HOURLY", "before the one before it has to end"},
            {"FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30", "never happens within what is planned"}
        }) {
            ConfigException e = assertThrows(
                    ConfigException.class,
                    () -> read("2026-09-01T02:30", "2026-09-01T06:00", "rule = \"" + ruleAndError[0] + "\""));
            assertTrue(e.getMessage().contains(ruleAndError[1]), e.getMessage());
        }
    }

    @Test
    void freezesRecurToo() {
        List<Freeze> freezes = RequestFile.freezes(
                "time_zone = \"Europe/Ljubljana\"\n[freezes.payday]\n"
                        + "from = \"2026-12-28T00:00\"\nto = \"2026-12-30T00:00\"\nrule = \"FREQ=MONTHLY;COUNT=2\"\n",
                "calendar.toml",
                UNTIL);
        assertEquals(
                List.of(
                        new Freeze("payday", ms("2026-12-27T23:00:00Z"), ms("2026-12-29T23:00:00Z")),
                        new Freeze("payday", ms("2027-01-27T23:00:00Z"), ms("2027-01-29T23:00:00Z"))),
                freezes);
        assertTrue(assertThrows(
                        ConfigException.class,
                        () -> RequestFile.freezes(
                                "time_zone = \"UTC\"\n"
                                        + "[freezes.x]\nfrom = \"2026-12-28T00:00\"\nto = \"2026-12-27T00:00\"\n",
                                "calendar.toml",
                                UNTIL))
                .getMessage()
                .contains("[freezes.x] to: is not after from"));
    }
}
