package laneflow.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Accounts for the memory of all messages that a scheduler holds, and keeps it within a share of the heap: neither many
 * messages nor messages without end may use up what everything in the process shares.
 *
 * <p>Messages on their way through a connection are counted on its {@link Account}. Once they exceed the limit, nothing
 * more is read in this turn, and at its end the connections that hold most give way, until the rest fits. Open requests
 * and durable jobs can't give way. They are counted by an {@link Admission}, which turns down what exceeds its share.
 *
 * <p>Not thread-safe: the loop's thread owns it.
 */
public final class MessageMemory {
    /** Share of the heap for messages. The rest is for the endpoint set, garbage, and copies made while parsing. */
    private static final double HEAP_SHARE = 0.5;

    /** Connections that hold less are left alone: ending them would relieve little. */
    private static final long MIN_GIVE_WAY_BYTES = 4096;

    private static final double OPEN_REQUESTS_SHARE = 2.0 / 3;
    private static final double DURABLE_JOBS_SHARE = 0.25;

    private final long fullLimit;
    private long limit;
    private final Admission openRequests;
    private final Admission durableJobs;
    private final Set<Account> accounts = new LinkedHashSet<>();
    private long used;
    private Runnable onExceeded = () -> {};
    private boolean exceeded;

    /** Ends the message that a connection holds, with an error to its sender, and releases the memory. */
    public interface Holder {
        void giveWay();
    }

    /** @param limit bytes that all messages may hold together */
    public MessageMemory(long limit) {
        fullLimit = limit;
        this.limit = limit;
        openRequests = new Admission(OPEN_REQUESTS_SHARE);
        durableJobs = new Admission(DURABLE_JOBS_SHARE);
    }

    /** Leaves a part of the memory to another process, which serves beside this one; what is held already stays. */
    public void limitShare(double share) {
        limit = Math.max((long) (share * fullLimit), used);
    }

    /** Creates the accounting for a process that uses all of the JVM's heap. */
    public static MessageMemory ofHeap() {
        return new MessageMemory((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /** Sets what runs when the limit is exceeded; it must call {@link #relieve} after the current event. */
    public void onExceeded(Runnable action) {
        onExceeded = action;
    }

    /** The bodies of open requests, and what the core and the fronts keep about them. */
    public Admission openRequests() {
        return openRequests;
    }

    /** The bodies of durable jobs from their acceptance to their end. */
    public Admission durableJobs() {
        return durableJobs;
    }

    /** Whether the limit was exceeded since the last {@link #relieve}: nothing more must be read until the next. */
    public boolean isExceeded() {
        return exceeded;
    }

    /** The bytes held by all messages. */
    public long used() {
        return used;
    }

    /** Creates the account of a connection. */
    public Account open(Holder holder) {
        return new Account(holder);
    }

    /** Has the connections that hold most give way, one after the other, until the limit is kept. */
    public void relieve() {
        List<Account> largestFirst = new ArrayList<>(accounts);
        largestFirst.sort(
                Comparator.comparingLong((Account account) -> account.bytes).reversed());
        try {
            for (Account account : largestFirst) {
                if (used <= limit || account.bytes < MIN_GIVE_WAY_BYTES) {
                    break;
                }
                account.holder.giveWay();
            }
        } finally {
            // Even if the limit is still exceeded: what is left can't give way, and its ends must be heard of.
            exceeded = false;
        }
    }

    private void count(long bytes) {
        used += bytes;
        if (bytes > 0 && used > limit && !exceeded) {
            exceeded = true;
            onExceeded.run();
        }
    }

    /** What one connection holds. */
    public final class Account {
        private final Holder holder;
        private long bytes;
        private boolean closed;

        private Account(Holder holder) {
            this.holder = holder;
        }

        /** Counts bytes as held, or as released if negative. */
        public void add(long change) {
            if (closed || change == 0) {
                return;
            }
            bytes += change;
            if (bytes > 0) {
                accounts.add(this);
            } else {
                accounts.remove(this);
            }
            count(change);
        }

        /** Releases everything; what is added afterwards does not count. */
        public void close() {
            add(-bytes);
            closed = true;
        }
    }

    /** What is held until its own end and can't give way, up to a maximum. */
    public final class Admission {
        private final double share;
        private long bytes;

        private Admission(double share) {
            this.share = share;
        }

        /** Whether so many bytes more fit. */
        public boolean hasRoomFor(long more) {
            return bytes + more <= (long) (share * limit);
        }

        /** Counts bytes as held, even beyond the maximum. */
        public void hold(long more) {
            bytes += more;
            count(more);
        }

        public void release(long fewer) {
            hold(-fewer);
        }
    }
}
