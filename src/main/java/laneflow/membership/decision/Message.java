package laneflow.membership.decision;

import java.util.List;

/**
 * The content of one datagram.
 *
 * @param kind purpose of the message
 * @param senderId instance id of the sender
 * @param digest of the sender's view; see {@link View#digest}
 * @param seq sequence number of the ping that this is, answers or requests; SYNC: the bucket to start with
 * @param target PING: id of the instance to probe, 0 for any. PING_REQ: the instance to ping. ACK and NACK: the
 *     instance that was probed. SYNC: number of members that the sender knows, 0 if it is a newcomer
 * @param bucketDigests SYNC: digests of the buckets of the sender's view; otherwise null
 * @param updates piggybacked updates; with IDENTIFY, and from an unknown sender, the first is its own record
 */
public record Message(
        Kind kind, long senderId, int digest, int seq, long target, int[] bucketDigests, List<Update> updates) {
    /** IDENTIFY is a ping to an unknown member, whose ack starts with its own record. */
    public enum Kind {
        PING,
        IDENTIFY,
        ACK,
        NACK,
        PING_REQ,
        SYNC,
        GOSSIP
    }
}
