package laneflow.membership.decision;

/** News of one member, as datagrams carry it. */
public sealed interface Update {
    /**
     * All that is known of a member, by its own word.
     *
     * @param incarnation counts what it has said of itself in this life
     * @param state where it stands with whoever sends this
     */
    record Full(Life life, int incarnation, State state, Facts facts) implements Update {
        Full with(State other) {
            return other == state ? this : new Full(life, incarnation, other, facts);
        }
    }

    /** Bytes that go along for others than the view. */
    record Extra(byte[] bytes) implements Update {}

    /**
     * A claim about a life that the hearer may know.
     *
     * @param id the life
     * @param incarnation the newest that whoever claims it has heard of
     * @param state any but ALIVE: that is said by the member itself, in full
     * @param by the life of the member that found it out
     */
    record Claim(long id, int incarnation, State state, long by) implements Update {}
}
