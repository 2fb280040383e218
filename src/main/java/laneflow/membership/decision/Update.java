package laneflow.membership.decision;

/** News of one member, as datagrams carry it. */
public sealed interface Update {
    /**
     * All that is known of a member, by its own word.
     *
     * @param incarnation counts what it has said of itself in this life
     * @param state where it stands with whoever sends this
     */
    record MemberRecord(MemberInstance instance, int incarnation, State state, MemberMetadata metadata)
            implements Update {
        MemberRecord withState(State other) {
            return other == state ? this : new MemberRecord(instance, incarnation, other, metadata);
        }
    }

    /** Bytes that go along for others than the view. */
    record Payload(byte[] bytes) implements Update {}

    /**
     * A claim about a life that the hearer may know.
     *
     * @param instanceId the instance
     * @param incarnation the newest that whoever claims it has heard of
     * @param state any but ALIVE: that is said by the member itself, in full
     * @param accuserId the instance of the member that found it out
     */
    record Claim(long instanceId, int incarnation, State state, long accuserId) implements Update {}
}
