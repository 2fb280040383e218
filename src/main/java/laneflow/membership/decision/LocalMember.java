package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.List;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.View.Entry;

/** Gives the parts of {@link Swim} access to the local member: its record, sequence numbers and sending. */
interface LocalMember {
    MemberRecord self();

    /** Number of live members, including this one. */
    int size();

    /** The sequence number of the next ping. */
    int nextSequence();

    /** Sends a message to a member with these updates, followed by as many queued ones as fit. */
    void sendWithGossip(Entry to, Kind kind, int sequence, long target, List<Update> firstUpdates);

    /** Sends a message to an address with only these updates. */
    void sendTo(InetSocketAddress to, Kind kind, int sequence, long target, List<Update> updates);

    /** Queues an update to be gossiped. */
    void enqueueGossip(String name, Update update, long now);
}
