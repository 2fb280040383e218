package laneflow.membership.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Swim.Environment;
import laneflow.membership.decision.Swim.MessageSizes;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.View.Entry;

/**
 * Reconciles views by anti-entropy. Every datagram carries the digest of its sender's view. A receiver with
 * another digest sends a SYNC with its digest of each bucket, and gets the records of the buckets that differ.
 */
final class AntiEntropy {
    private static final int BASE_DATAGRAMS = 8;
    private static final int MAX_DATAGRAMS = 64;
    private static final long NEWCOMER_PERIODS = 60;

    private final View view;
    private final SwimTimings timings;
    private final MessageSizes sizes;
    private final LocalMember self;
    private final Environment environment;
    private final long startedAt;
    private long syncSentAt;
    /** The bucket that the answer to the next SYNC starts with. */
    private int nextBucket;

    private int matchingDigests;

    AntiEntropy(
            View view, SwimTimings timings, MessageSizes sizes, LocalMember self, Environment environment, long now) {
        this.view = view;
        this.timings = timings;
        this.sizes = sizes;
        this.self = self;
        this.environment = environment;
        startedAt = now;
        syncSentAt = now - timings.syncInterval();
    }

    /** Number of digests received in a row that equalled this member's own. */
    int matchingDigests() {
        return matchingDigests;
    }

    /** Restarts the count of matching digests after a change of this view. */
    void viewChanged() {
        matchingDigests = 0;
    }

    /** Lets the next SYNC start at the bucket of the last record that a message brings. */
    void advanceNextBucket(Message message) {
        if (message.kind() == Kind.GOSSIP
                && message.updates().size() > 1
                && message.updates().get(message.updates().size() - 1) instanceof MemberRecord last) {
            nextBucket = View.bucketOf(last.instance().name());
        }
    }

    /** Compares a member's digest with this view's own, and sends a SYNC if they differ and one is due. */
    void compareDigest(long now, Entry sender, int digest) {
        if (digest == view.digest()) {
            matchingDigests++;
            return;
        }
        matchingDigests = 0;
        if (now - syncSentAt >= timings.syncInterval()) {
            syncSentAt = now;
            environment.count("syncs");
            // 0 marks a newcomer, which knows few members and is sent many records at once.
            int knownMembers = now - startedAt < NEWCOMER_PERIODS * timings.period() ? 0 : self.size();
            environment.send(
                    sender.address(),
                    new Message(
                            Kind.SYNC,
                            self.self().instance().id(),
                            view.digest(),
                            nextBucket,
                            knownMembers,
                            view.bucketDigests(),
                            List.of()));
        }
    }

    /**
     * Answers a SYNC with the records of the buckets that differ, starting at the bucket asked for. The fewer
     * members the requester knows, the more datagrams it gets. Others get few, because all buckets differ all
     * the time while many members change.
     */
    void sendDifferences(Entry to, Message sync) {
        int[] remoteDigests = sync.bucketDigests();
        int[] localDigests = view.bucketDigests();
        List<MemberRecord> differing = new ArrayList<>();
        int selfBucket = View.bucketOf(self.self().instance().name());
        if (localDigests[selfBucket] != remoteDigests[selfBucket]) {
            differing.add(self.self());
        }
        for (Entry entry : view.live()) {
            int bucket = View.bucketOf(entry.instance().name());
            if (localDigests[bucket] != remoteDigests[bucket] && entry != to) {
                differing.add(entry.toRecord());
            }
        }
        if (differing.isEmpty() || environment.sendRecords(to.instance().name(), differing)) {
            return;
        }
        int first = Math.floorMod(sync.seq(), View.BUCKET_COUNT);
        differing.sort(Comparator.comparingInt(
                entry -> Math.floorMod(View.bucketOf(entry.instance().name()) - first, View.BUCKET_COUNT)));
        long missing = Math.max(0, self.size() - sync.target());
        sendInDatagrams(to, differing, (int) Math.min(MAX_DATAGRAMS, BASE_DATAGRAMS + missing));
    }

    private void sendInDatagrams(Entry to, List<MemberRecord> records, int maxDatagrams) {
        int sent = 0;
        for (int datagram = 0; datagram < maxDatagrams && sent < records.size(); datagram++) {
            List<Update> updates = new ArrayList<>();
            int room = sizes.maxUpdateBytes(Kind.GOSSIP);
            while (sent < records.size() && sizes.applyAsInt(records.get(sent)) <= room) {
                room -= sizes.applyAsInt(records.get(sent));
                updates.add(records.get(sent++));
            }
            self.sendTo(to.address(), Kind.GOSSIP, 0, 0, updates);
        }
    }
}
