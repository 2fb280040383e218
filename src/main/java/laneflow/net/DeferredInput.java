package laneflow.net;

import java.util.ArrayDeque;

/**
 * Connections whose input waits for a later turn, in order. Those that send faster than one connection is served are
 * behind all others and share a small part of the processor's time, however many they are.
 */
final class DeferredInput {
    /** Time between two rounds, in which the loop selects and serves all other events; milliseconds. */
    private static final long INTERVAL_MS = 2;
    /** Time in a round for connections that wait only because a turn had become long, microseconds. */
    private static final long MAX_MICROS = 2_000;
    /** Time in a round for connections that send too fast, where the loop has much else to do; microseconds. */
    private static final long MIN_EXCESSIVE_MICROS = 500;
    /** The same where it would be idle otherwise. */
    private static final long MAX_EXCESSIVE_MICROS = 1_000;

    private static final long MICROS_PER_MS = 1_000;

    private final Loop loop;
    private final ArrayDeque<Link> prompt = new ArrayDeque<>();
    private final ArrayDeque<Link> excessive = new ArrayDeque<>();
    private boolean scheduled;
    /** The loop's busy time at the end of the last round, microseconds. */
    private long busyAfterRound;

    DeferredInput(Loop loop) {
        this.loop = loop;
    }

    /**
     * Adds a connection, which is served once.
     *
     * @param isExcessive whether it sends faster than one connection is served
     */
    void add(Link link, boolean isExcessive) {
        (isExcessive ? excessive : prompt).add(link);
        schedule();
    }

    /** Whether connections wait that do not send too fast. */
    boolean isBehind() {
        return !prompt.isEmpty();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.afterMillis(INTERVAL_MS, this::runRound);
        }
    }

    private void runRound() {
        scheduled = false;
        try {
            serve(prompt, MAX_MICROS);
            serve(excessive, excessiveMicros());
        } finally {
            busyAfterRound = loop.busyMicros();
            // A connection that fails must not keep the others waiting.
            if (!prompt.isEmpty() || !excessive.isEmpty()) {
                schedule();
            }
        }
    }

    /** Connections that send too fast get half of the time that all others have left since the last round. */
    private long excessiveMicros() {
        long othersMicros = loop.busyMicros() - busyAfterRound;
        long left = (INTERVAL_MS * MICROS_PER_MS - othersMicros) / 2;
        return Math.max(MIN_EXCESSIVE_MICROS, Math.min(MAX_EXCESSIVE_MICROS, left));
    }

    private void serve(ArrayDeque<Link> queue, long maxMicros) {
        long end = loop.currentMicros() + maxMicros;
        // Those that have to wait again come behind the ones that are here now.
        for (int count = queue.size(); count > 0; count--) {
            queue.remove().readDeferred();
            if (loop.currentMicros() >= end) {
                return;
            }
        }
    }
}
