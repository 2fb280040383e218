package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Plays all combinations of events of three watches before a fourth watch receives a drain. */
class AnnouncementTimesTest {
    private static final long SECOND = 1_000_000;
    /** Events of a watch before it breaks: h = head, e = early empty line, b = heartbeat, l = list. */
    private static final String[] SCRIPTS = {"", "h", "he", "hb", "hl", "hel", "heb", "hbe"};

    private long now = 10 * SECOND;
    /** By the rule: the instant of the last heartbeat or list. */
    private long expected;

    @Test
    void theFirstListMayBeAsOldAsTheLastUpToDateWatch() {
        int orders = 0;
        for (String first : SCRIPTS) {
            for (String second : SCRIPTS) {
                for (String third : SCRIPTS) {
                    checkFirstListAfter(first, second, third);
                    orders++;
                }
            }
        }
        assertEquals(512, orders);
    }

    private void checkFirstListAfter(String... scripts) {
        AnnouncementTimes times = new AnnouncementTimes();
        expected = 0;
        for (String script : scripts) {
            AnnouncementTimes.PerWatch watch = times.new PerWatch();
            script.chars().forEach(event -> play(watch, (char) event));
        }
        AnnouncementTimes.PerWatch last = times.new PerWatch();
        last.head(now);
        last.emptyLine(now, true);
        assertEquals(expected, last.earliest(now, false), String.join(",", scripts));
        last.listRead(now, true);
        assertEquals(now + SECOND, last.earliest(now + SECOND, false));
    }

    private void play(AnnouncementTimes.PerWatch watch, char event) {
        now += event == 'b' ? 2 * SECOND : SECOND / 10;
        if (event == 'h') {
            watch.head(now);
        } else if (event == 'l') {
            watch.listRead(now, true);
            expected = now;
        } else {
            watch.emptyLine(now, true);
            // After a heartbeat the watch is up to date, however soon the next empty line comes.
            expected = event == 'b' || expected == now - SECOND / 10 ? now : expected;
        }
    }

    /** Late changes on a silent watch may be as old as its silence, and do not show that the next one is up to date. */
    @Test
    void aWatchThatIsNotCurrentDoesNotCountAsUpToDate() {
        AnnouncementTimes times = new AnnouncementTimes();
        AnnouncementTimes.PerWatch watch = times.new PerWatch();
        watch.head(now);
        watch.listRead(now, true);
        AnnouncementTimes.PerWatch next = times.new PerWatch();
        assertEquals(now, watch.earliest(now + 5 * SECOND, true));
        watch.listRead(now + 5 * SECOND, false);
        assertEquals(now, next.earliest(now + 6 * SECOND, false));
        assertEquals(now, times.new PerWatch().earliest(now + 6 * SECOND, false));
        assertEquals(now + 6 * SECOND, watch.earliest(now + 6 * SECOND, false));
    }
}
