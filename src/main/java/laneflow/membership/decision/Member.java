package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.List;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.View.Entry;

/** What {@link Swim} is to its parts: this member's own word, and its ways to speak. */
interface Member {
    MemberRecord self();

    /** How many members are live, this one among them. */
    int size();

    /** The number of the next ping. */
    int number();

    /** To a member, with as much news as fits behind these. */
    void send(Entry to, Kind kind, int number, long target, List<Update> before);

    /** To an address, with these and no other news. */
    void reply(InetSocketAddress to, Kind kind, int number, long target, List<Update> updates);

    /** News to be told on. */
    void spread(String name, Update update, long now);
}
