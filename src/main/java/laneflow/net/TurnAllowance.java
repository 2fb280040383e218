package laneflow.net;

/** What one connection has used of the current turn of its loop: messages handled, steps of parsing, and time. */
final class TurnAllowance {
    /** Messages that a connection may have handled in one turn. */
    private static final int MAX_MESSAGES = 16;
    /** Time after which no further message of a connection is handled in the turn, microseconds. */
    private static final long MAX_MICROS = 500;

    /** Steps, such as a head, a chunk or a part of a body, that a connection may have parsed in one turn. */
    private static final int MAX_STEPS = 1024;
    /** Steps that a connection may have in a turn whatever time has passed, so that it goes on in each. */
    private static final int MIN_STEPS = 16;
    /** Steps in one turn from which on a connection counts as sending faster than it is served. */
    private static final int EXCESSIVE_STEPS = 128;

    /** Messages in one turn from which on a connection counts as sending faster than it is served. */
    private static final int EXCESSIVE_MESSAGES = 4;

    private long turn = -1;
    private long endsAt;
    private int messages;
    private int steps;

    /** Begins a new allowance if a new turn has begun. */
    void enter(long currentTurn, long now) {
        if (turn != currentTurn) {
            turn = currentTurn;
            messages = 0;
            steps = 0;
            endsAt = now + MAX_MICROS;
        }
    }

    /** Takes one message from the allowance; false if nothing is left of it. The first message is always allowed. */
    boolean takeMessage(long now) {
        if (messages > 0 && isSpent(now)) {
            return false;
        }
        messages++;
        return true;
    }

    /** Takes one step from the allowance; false if nothing is left of it. */
    boolean takeStep(long now) {
        if (steps >= MAX_STEPS || steps >= MIN_STEPS && now >= endsAt) {
            return false;
        }
        steps++;
        return true;
    }

    boolean isSpent(long now) {
        return messages >= MAX_MESSAGES || now >= endsAt;
    }

    /** Whether so much was handled in this turn that the connection sends faster than it is served. */
    boolean isExcessive() {
        return messages >= EXCESSIVE_MESSAGES || steps >= EXCESSIVE_STEPS;
    }
}
