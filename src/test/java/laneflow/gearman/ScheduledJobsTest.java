package laneflow.gearman;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.Statement;
import java.time.Instant;
import laneflow.gearman.decision.Schedule;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Scheduled jobs: when they are due, and that they are kept until then. */
@Timeout(300)
class ScheduledJobsTest {
    @TempDir
    private Path folder;

    private static String next(String minute, String hour, String day, String month, String weekday, String now) {
        return Instant.ofEpochMilli(Schedule.nextRun(
                        minute, hour, day, month, weekday, Instant.parse(now).toEpochMilli()))
                .toString();
    }

    @Test
    void nextRunIsTheFirstMatchingMinute() {
        String now = "2026-12-01T15:07:30Z";
        assertEquals("2026-12-01T15:08:00Z", next("", "", "", "", "", now));
        assertEquals("2026-12-01T16:07:00Z", next("7", "*", "", "", "", now));
        assertEquals("2026-12-01T15:30:00Z", next("30", "15", "", "", "", now));
        assertEquals("2026-12-02T15:05:00Z", next("5", "15", "", "", "", now));
        assertEquals("2026-12-02T03:00:00Z", next("", "3", "", "", "", now));
        assertEquals("2027-01-01T00:00:00Z", next("", "", "", "1", "", now));
        // 1 December 2026 is a Tuesday, day 1 of the week.
        assertEquals("2026-12-01T23:59:00Z", next("59", "23", "", "", "1", now));
        assertEquals("2026-12-07T00:00:00Z", next("0", "0", "", "", "0", now));
        assertEquals("2028-02-29T12:00:00Z", next("0", "12", "29", "2", "", now));
        assertEquals("2026-12-02T00:05:00Z", next("5", "", "", "", "", "2026-12-01T23:58:00Z"));
        for (String[] invalid : new String[][] {
            {"60", "", "", "", ""},
            {"", "24", "", "", ""},
            {"", "", "0", "", ""},
            {"", "", "", "13", ""},
            {"", "", "", "", "7"},
            {"-1", "", "", "", ""},
            {"x", "", "", "", ""},
            {"", "", "31", "2", ""}
        }) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> next(invalid[0], invalid[1], invalid[2], invalid[3], invalid[4], now));
        }
        assertThrows(IllegalArgumentException.class, () -> Schedule.parseEpochSeconds("1e9"));
        assertEquals(1_764_600_000_000L, Schedule.parseEpochSeconds("1764600000"));
    }

    private static String submitAt(Peer client, long seconds, String unique, String body) throws Exception {
        Gearman.send(client, Packet.SUBMIT_JOB_EPOCH, "kcheck", unique, seconds, body);
        return Gearman.expect(client, Packet.JOB_CREATED)[0];
    }

    @Test
    void scheduledJobIsKeptAcrossARestartUntilDue() throws Exception {
        long due = System.currentTimeMillis() / 1000 + 3;
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "")) {
            Peer client = harness.gearman();
            Peer worker = Gearman.worker(harness, "kcheck");
            String handle = submitAt(client, due, "u1", "late");
            // An equal job is coalesced, and a job that is already due runs first.
            assertEquals(handle, submitAt(client, due, "u1", "late"));
            submitAt(client, 1, "u2", "now");
            assertEquals("now", Gearman.grab(worker)[4]);
            assertTrue(System.currentTimeMillis() < due * 1000, "test too slow: the job is due already");
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "")) {
            Peer worker = Gearman.worker(harness, "kcheck");
            String[] job = Gearman.grab(worker);
            while (!job[4].equals("late")) {
                // The job that was running when the scheduler stopped may run again.
                Gearman.send(worker, Packet.WORK_COMPLETE, job[0], "r");
                Gearman.preSleep(worker);
                job = Gearman.grab(worker);
            }
            assertTrue(System.currentTimeMillis() >= due * 1000, "job started before it was due");
            Gearman.send(worker, Packet.WORK_COMPLETE, job[0], "r");
            harness.awaitCounter("durable.done", 1);
        }
    }

    @Test
    void storeOfFormatVersion1IsMigrated() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "")) {
            Gearman.submitBackground(harness.gearman(), "kcheck", "old", "from before");
        }
        try (Connection db = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve("jobs.db"));
                Statement statement = db.createStatement()) {
            statement.execute("ALTER TABLE job DROP COLUMN not_before_ms");
            statement.execute("PRAGMA user_version=1");
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "")) {
            Peer worker = Gearman.worker(harness, "kcheck");
            assertEquals("from before", Gearman.grab(worker)[4]);
        }
    }
}
