package laneflow.membership.decision;

/** An update about one member, as carried in datagrams. */
public sealed interface Update {
    /**
     * The full record of a member, as published by itself.
     *
     * @param incarnation version of the record within this instance
     * @param state of the member in the sender's view
     */
    record MemberRecord(MemberInstance instance, int incarnation, State state, MemberMetadata metadata)
            implements Update {
        MemberRecord withState(State other) {
            return other == state ? this : new MemberRecord(instance, incarnation, other, metadata);
        }
    }

    /** Application data piggybacked on a datagram. */
    record Payload(byte[] bytes) implements Update {}

    /**
     * A claim about an instance that the receiver may know.
     *
     * @param instanceId the instance that the claim is about
     * @param incarnation the latest that the accuser knows
     * @param state any but ALIVE, which a member states itself in a full record
     * @param accuserId instance id of the member that found the state
     */
    record Claim(long instanceId, int incarnation, State state, long accuserId) implements Update {}
}
