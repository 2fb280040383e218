package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** All orders in which three watches say a little, or nothing, before the fourth tells of a drain. */
class AnnouncementTimesTest {
    private static final long SECOND = 1_000_000;
    /** What a watch says before it breaks: a head, an early empty line, a beat, a list. */
    private static final String[] SCRIPTS = {"", "h", "he", "hb", "hl", "hel", "heb", "hbe"};

    private long now = 10 * SECOND;
    /** By the rule: the instant of the last beat or list. */
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
            script.chars().forEach(event -> applyEvent(watch, (char) event));
        }
        AnnouncementTimes.PerWatch last = times.new PerWatch();
        last.head(now);
        last.emptyLine(now, true);
        assertEquals(expected, last.earliest(now, false), String.join(",", scripts));
        last.listRead(now, true);
        assertEquals(now + SECOND, last.earliest(now + SECOND, false));
    }

    private void applyEvent(AnnouncementTimes.PerWatch watch, char event) {
        now += event == 'b' ? 2 * SECOND : SECOND / 10;
        if (event == 'h') {
            watch.head(now);
        } else if (event == 'l') {
            watch.listRead(now, true);
            expected = now;
        } else {
            watch.emptyLine(now, true);
            // Behind a beat the watch is up to date, however soon the next empty line comes.
            expected = event == 'b' || expected == now - SECOND / 10 ? now : expected;
        }
    }

    /** A silent watch's late words may be as old as its silence; a former one's do not count for the next. */
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
