package laneflow.membership.decision;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Which datagrams of each known life have been heard: a window over the newest numbers as a ring of bits (RFC
 * 6479). What is older than the window counts as heard.
 */
public final class Replays {
    /** Numbers that may come behind the newest; a power of two. */
    private static final int WINDOW = 1024;

    private static final class Seen {
        private int highest;
        private final BitSet heard = new BitSet(WINDOW);
    }

    private final Map<Long, Seen> lives = new HashMap<>();

    /** True if that number of that life was not heard before; from now on it was. */
    public boolean isFresh(long life, int number) {
        Seen seen = lives.get(life);
        if (seen == null) {
            seen = new Seen();
            seen.highest = number;
            lives.put(life, seen);
        }
        // Numbers go around: what is ahead by less than half of them is newer.
        int ahead = number - seen.highest;
        if (ahead > 0) {
            if (ahead >= WINDOW) {
                seen.heard.clear();
            } else {
                for (int i = 1; i <= ahead; i++) {
                    seen.heard.clear(seen.highest + i & WINDOW - 1);
                }
            }
            seen.highest = number;
        } else if (ahead <= -WINDOW) {
            return false;
        }
        int bit = number & WINDOW - 1;
        boolean before = seen.heard.get(bit);
        seen.heard.set(bit);
        return !before;
    }

    /** That life is over. */
    public void forget(long life) {
        lives.remove(life);
    }
}
