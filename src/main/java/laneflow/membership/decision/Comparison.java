package laneflow.membership.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Swim.Environment;
import laneflow.membership.decision.Swim.Sizes;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.View.Entry;

/**
 * Whole views compared: each datagram shows a digest of its sender's; where two differ, one asks the other
 * with the digests of all parts, and gets what is in those that differ.
 */
final class Comparison {
    private static final int PIECES = 8;
    private static final int PIECES_AT_FIRST = 64;
    private static final long YOUNG_PERIODS = 60;

    private final View view;
    private final Times times;
    private final Sizes sizes;
    private final Member self;
    private final Environment out;
    private final long begunAt;
    private long askedAt;
    /** The part of the view that the next question begins with. */
    private int cursor;

    private int agreeing;

    Comparison(View view, Times times, Sizes sizes, Member self, Environment out, long now) {
        this.view = view;
        this.times = times;
        this.sizes = sizes;
        this.self = self;
        this.out = out;
        begunAt = now;
        askedAt = now - times.syncInterval();
    }

    /** How many digests in a row were this member's own. */
    int agreeing() {
        return agreeing;
    }

    /** This view has changed. */
    void disturbed() {
        agreeing = 0;
    }

    /** A member's message: the next question goes on behind the records that it brings. */
    void heard(Message message) {
        if (message.kind() == Kind.GOSSIP
                && message.updates().size() > 1
                && message.updates().get(message.updates().size() - 1) instanceof MemberRecord last) {
            cursor = View.bucket(last.instance().name());
        }
    }

    /** A member's digest. */
    void compare(long now, Entry sender, int digest) {
        if (digest == view.digest()) {
            agreeing++;
            return;
        }
        agreeing = 0;
        if (now - askedAt >= times.syncInterval()) {
            askedAt = now;
            out.count("syncs");
            // Who is young knows little, and is told much at once.
            int known = now - begunAt < YOUNG_PERIODS * times.period() ? 0 : self.size();
            out.send(
                    sender.at(),
                    new Message(
                            Kind.SYNC,
                            self.self().instance().id(),
                            view.digest(),
                            cursor,
                            known,
                            view.buckets(),
                            List.of()));
        }
    }

    /**
     * What is in the parts that differ, beginning with the part that the other asks for. Somebody who knows
     * few gets much at once, others a little: while much changes all parts differ all the time.
     */
    void records(Entry to, Message asked) {
        int[] theirs = asked.bucketDigests();
        int[] own = view.buckets();
        List<MemberRecord> all = new ArrayList<>();
        int ours = View.bucket(self.self().instance().name());
        if (own[ours] != theirs[ours]) {
            all.add(self.self());
        }
        for (Entry one : view.live()) {
            int bucket = View.bucket(one.life().name());
            if (own[bucket] != theirs[bucket] && one != to) {
                all.add(one.full());
            }
        }
        if (all.isEmpty() || out.sendRecords(to.life().name(), all)) {
            return;
        }
        int first = Math.floorMod(asked.seq(), View.BUCKETS);
        all.sort(Comparator.comparingInt(
                one -> Math.floorMod(View.bucket(one.instance().name()) - first, View.BUCKETS)));
        long missing = Math.max(0, self.size() - asked.target());
        pieces(to, all, (int) Math.min(PIECES_AT_FIRST, PIECES + missing));
    }

    private void pieces(Entry to, List<MemberRecord> all, int most) {
        int taken = 0;
        for (int piece = 0; piece < most && taken < all.size(); piece++) {
            List<Update> some = new ArrayList<>();
            int room = sizes.room(Kind.GOSSIP);
            while (taken < all.size() && sizes.applyAsInt(all.get(taken)) <= room) {
                room -= sizes.applyAsInt(all.get(taken));
                some.add(all.get(taken++));
            }
            self.reply(to.at(), Kind.GOSSIP, 0, 0, some);
        }
    }
}
