package laneflow.capacity.decision;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Wire format of capacity reports in a membership datagram: a header, the table of sources, and six bytes per
 * endpoint. An endpoint is identified by a hash of its number and start time, so that the receiver ignores
 * reports from before a restart and reports of endpoints it does not list.
 *
 * @param stamp milliseconds of the sender's monotonic clock, of any origin: the receiver uses only its drift
 *     against its own clock, to detect messages that were long in transit
 * @param demand requests per second of the sender; n stands for less than 2 to the n
 * @param requestedPart first part of the hash space, 0 to 255, from which the sender requests all reports; -1:
 *     no request
 */
record CapacityMessage(int stamp, int demand, int requestedPart, List<Entry> entries) {
    /** Size of the fixed header; the sender checks with these sizes whether an entry fits. */
    static final int HEADER_BYTES = 9;

    static final int ENTRY_BYTES = 6;
    static final int SOURCE_BYTES = 2;
    /** Sources that one message can name; also the bit mask of the source index. */
    static final int MAX_SOURCES = 63;

    static final int KEY_BITS = 24;
    static final int PART_BITS = 8;
    private static final byte VERSION = 1;
    /** Bit mask; as the requested part it stands for no request. */
    private static final int UNSIGNED_SHORT_MAX = 0xffff;

    private static final int BYTE_MASK = 0xff;
    private static final int MAX_DEMAND_STEP = 31;

    /** Report of one endpoint; all values but key and source are steps of {@link Quantizer}. */
    record Entry(int key, int free, int queue, int attempts, int age, int source) {}

    /** Returns the hash that identifies an endpoint between two restarts. */
    static int key(long endpoint, long bornMs) {
        long mixed = (endpoint ^ bornMs * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 31) * 0x94D049BB133111EBL;
        return (int) (mixed >>> Long.SIZE - KEY_BITS);
    }

    static int demandStep(double perSecond) {
        return Math.min(MAX_DEMAND_STEP, Long.SIZE - Long.numberOfLeadingZeros((long) Math.max(0, perSecond)));
    }

    /** Returns the approximate requests per second of a demand step. */
    static double demandPerSecond(int step) {
        return step == 0 ? 0 : 0.75 * (1L << step);
    }

    byte[] write() {
        List<Integer> sources = new ArrayList<>();
        for (Entry entry : entries) {
            if (!sources.contains(entry.source)) {
                sources.add(entry.source);
            }
        }
        ByteBuffer to =
                ByteBuffer.allocate(HEADER_BYTES + sources.size() * SOURCE_BYTES + entries.size() * ENTRY_BYTES);
        to.put(VERSION)
                .putInt(stamp)
                .put((byte) demand)
                .putShort((short) (requestedPart < 0 ? UNSIGNED_SHORT_MAX : requestedPart))
                .put((byte) sources.size());
        sources.forEach(source -> to.putShort(source.shortValue()));
        for (Entry entry : entries) {
            to.put((byte) (entry.key >> 16))
                    .putShort((short) entry.key)
                    .put((byte) (entry.free << 4 | entry.queue))
                    .putShort((short) (entry.age << 10 | entry.attempts << 6 | sources.indexOf(entry.source)));
        }
        return to.array();
    }

    /**
     * Parses a message.
     *
     * @throws IOException if it is malformed or of another version
     */
    static CapacityMessage read(byte[] bytes) throws IOException {
        try {
            ByteBuffer from = ByteBuffer.wrap(bytes);
            if (from.get() != VERSION) {
                throw new IOException("capacity message of another version");
            }
            int stamp = from.getInt();
            int demand = from.get() & BYTE_MASK;
            int requestedPart = from.getShort() & UNSIGNED_SHORT_MAX;
            int count = from.get() & BYTE_MASK;
            if (demand > MAX_DEMAND_STEP
                    || requestedPart != UNSIGNED_SHORT_MAX && requestedPart > BYTE_MASK
                    || count > MAX_SOURCES) {
                throw new IOException("capacity message with a header field out of range");
            }
            int[] sources = new int[count];
            for (int i = 0; i < count; i++) {
                sources[i] = from.getShort() & UNSIGNED_SHORT_MAX;
            }
            List<Entry> entries = new ArrayList<>();
            while (from.hasRemaining()) {
                int key = (from.get() & BYTE_MASK) << 16 | from.getShort() & UNSIGNED_SHORT_MAX;
                int load = from.get() & BYTE_MASK;
                int rest = from.getShort() & UNSIGNED_SHORT_MAX;
                int source = rest & MAX_SOURCES;
                if (source >= count) {
                    throw new IOException("capacity message with an invalid source index");
                }
                entries.add(new Entry(
                        key,
                        load >> 4,
                        load & Quantizer.MAX_STEP,
                        rest >> 6 & Quantizer.MAX_STEP,
                        rest >> 10,
                        sources[source]));
            }
            return new CapacityMessage(
                    stamp, demand, requestedPart == UNSIGNED_SHORT_MAX ? -1 : requestedPart, entries);
        } catch (BufferUnderflowException e) {
            throw new IOException("capacity message is truncated", e);
        }
    }
}
