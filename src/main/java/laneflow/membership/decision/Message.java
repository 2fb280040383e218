package laneflow.membership.decision;

import java.util.List;

/**
 * One datagram's content.
 *
 * @param kind what it is for
 * @param senderId the instance that sends it
 * @param digest of its view; see {@link View#digest}
 * @param seq of the ping that this is, answers, or asks for. SYNC: the part of the view to begin with
 * @param target PING: the life that is meant, 0: whoever is there. PING_REQ: the life to be pinged. ACK and
 *     NACK: the life that it is about. SYNC: how many members the sender knows, 0 if it is young
 * @param bucketDigests SYNC: digests of the parts of its view; else null
 * @param updates news that goes along; behind WHO or from one that nobody knows yet the first is its own
 */
public record Message(
        Kind kind, long senderId, int digest, int seq, long target, int[] bucketDigests, List<Update> updates) {
    /** WHO is a ping to one that is not known: its ack begins with its own record. */
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
