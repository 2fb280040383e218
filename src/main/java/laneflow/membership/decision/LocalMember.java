package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.List;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.View.Entry;

/** This member as the parts of {@link Swim} see it: its own record, and its means to send. */
interface LocalMember {
    MemberRecord self();

    /** How many members are live, this one among them. */
    int size();

    /** The number of the next ping. */
    int nextSequence();

    /** Sends a message to a member with these updates, followed by as many queued ones as fit. */
    void sendWithGossip(Entry to, Kind kind, int sequence, long target, List<Update> firstUpdates);

    /** Sends a message to an address with only these updates. */
    void sendTo(InetSocketAddress to, Kind kind, int sequence, long target, List<Update> updates);

    /** Queues an update to be gossiped. */
    void enqueueGossip(String name, Update update, long now);
}
