package laneflow.membership.decision;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects replayed datagrams with a sliding window of sequence numbers per instance, kept as a ring of bits (RFC
 * 6479). Numbers older than the window count as replayed.
 */
public final class ReplayFilter {
    /** Numbers that may come behind the newest; a power of two. */
    private static final int WINDOW = 1024;

    private static final class SequenceWindow {
        private int highest;
        private final BitSet received = new BitSet(WINDOW);
    }

    private final Map<Long, SequenceWindow> windows = new HashMap<>();

    /** Records a sequence number of an instance. Returns true if it is new. */
    public boolean registerIfNew(long instanceId, int number) {
        SequenceWindow window = windows.get(instanceId);
        if (window == null) {
            window = new SequenceWindow();
            window.highest = number;
            windows.put(instanceId, window);
        }
        // Numbers wrap around: a difference below half the range means newer.
        int ahead = number - window.highest;
        if (ahead > 0) {
            if (ahead >= WINDOW) {
                window.received.clear();
            } else {
                for (int i = 1; i <= ahead; i++) {
                    window.received.clear(window.highest + i & WINDOW - 1);
                }
            }
            window.highest = number;
        } else if (ahead <= -WINDOW) {
            return false;
        }
        int bit = number & WINDOW - 1;
        boolean alreadyReceived = window.received.get(bit);
        window.received.set(bit);
        return !alreadyReceived;
    }

    /** Drops the window of an instance that has ended. */
    public void forget(long instanceId) {
        windows.remove(instanceId);
    }
}
