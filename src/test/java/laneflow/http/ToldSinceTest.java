package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** All orders in which three watches say a little, or nothing, before the fourth tells of a drain. */
class ToldSinceTest {
    private static final long SECOND = 1_000_000;
    /** What a watch says before it breaks: a head, an early empty line, a beat, a list. */
    private static final String[] SCRIPTS = {"", "h", "he", "hb", "hl", "hel", "heb", "hbe"};

    private long now = 10 * SECOND;
    /** By the rule: the instant of the last beat or list. */
    private long wanted;

    @Test
    void theFirstListMayHaveBeenToldSinceAWatchWasUpToDateLast() {
        int orders = 0;
        for (String first : SCRIPTS) {
            for (String second : SCRIPTS) {
                for (String third : SCRIPTS) {
                    firstListBehind(first, second, third);
                    orders++;
                }
            }
        }
        assertEquals(512, orders);
    }

    private void firstListBehind(String... scripts) {
        ToldSince told = new ToldSince();
        wanted = 0;
        for (String script : scripts) {
            ToldSince.OfWatch watch = told.new OfWatch();
            script.chars().forEach(event -> play(watch, (char) event));
        }
        ToldSince.OfWatch last = told.new OfWatch();
        last.head(now);
        last.blank(now, true);
        assertEquals(wanted, last.since(now, false), String.join(",", scripts));
        last.list(now, true);
        assertEquals(now + SECOND, last.since(now + SECOND, false));
    }

    private void play(ToldSince.OfWatch watch, char event) {
        now += event == 'b' ? 2 * SECOND : SECOND / 10;
        if (event == 'h') {
            watch.head(now);
        } else if (event == 'l') {
            watch.list(now, true);
            wanted = now;
        } else {
            watch.blank(now, true);
            // Behind a beat the watch is up to date, however soon the next empty line comes.
            wanted = event == 'b' || wanted == now - SECOND / 10 ? now : wanted;
        }
    }

    /** A silent watch's late words may be as old as its silence; a former one's do not count for the next. */
    @Test
    void whatIsOnlyListenedToMovesNothing() {
        ToldSince told = new ToldSince();
        ToldSince.OfWatch watch = told.new OfWatch();
        watch.head(now);
        watch.list(now, true);
        ToldSince.OfWatch next = told.new OfWatch();
        assertEquals(now, watch.since(now + 5 * SECOND, true));
        watch.list(now + 5 * SECOND, false);
        assertEquals(now, next.since(now + 6 * SECOND, false));
        assertEquals(now, told.new OfWatch().since(now + 6 * SECOND, false));
        assertEquals(now + 6 * SECOND, watch.since(now + 6 * SECOND, false));
    }
}
