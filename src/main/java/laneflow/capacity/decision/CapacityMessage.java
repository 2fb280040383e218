package laneflow.capacity.decision;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The form of capacity news in a datagram of the view: a head, the sources named in it, six bytes for each
 * endpoint. An endpoint is meant by a hash of its number and its life, so news of a former life, or of an
 * endpoint that the hearer does not list, means nothing to it.
 *
 * @param stamp milliseconds of the sender's monotonic clock, of any origin: only how it moves against the
 *     hearer's counts, which shows what was long under way
 * @param demand calls a second that the sender makes: n stands for under 2 to the n
 * @param wants the part of all hashes, 0 to 255, from which on the sender asks for all; -1: it does not ask
 */
record CapacityMessage(int stamp, int demand, int wants, List<Entry> entries) {
    /** Whether an entry fits is counted by these. */
    static final int HEAD = 9;

    static final int ENTRY = 6;
    static final int SOURCE = 2;
    /** Sources that one datagram can name. */
    static final int MOST_SOURCES = 63;

    static final int KEY_BITS = 24;
    static final int PART_BITS = 8;
    private static final byte VERSION = 1;
    private static final int NOT = 0xffff;
    private static final int BYTE = 0xff;
    private static final int MOST_DEMAND = 31;

    /** One endpoint's news; {@code age} is a step of {@link Steps}. */
    record Entry(int key, int free, int queue, int calls, int age, int source) {}

    /** The hash by which an endpoint and its life are meant. */
    static int key(long endpoint, long bornMs) {
        long mixed = (endpoint ^ bornMs * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 31) * 0x94D049BB133111EBL;
        return (int) (mixed >>> Long.SIZE - KEY_BITS);
    }

    static int demandStep(double perSecond) {
        return Math.min(MOST_DEMAND, Long.SIZE - Long.numberOfLeadingZeros((long) Math.max(0, perSecond)));
    }

    /** About so many a second. */
    static double demandOf(int step) {
        return step == 0 ? 0 : 0.75 * (1L << step);
    }

    byte[] write() {
        List<Integer> sources = new ArrayList<>();
        for (Entry entry : entries) {
            if (!sources.contains(entry.source)) {
                sources.add(entry.source);
            }
        }
        ByteBuffer to = ByteBuffer.allocate(HEAD + sources.size() * SOURCE + entries.size() * ENTRY);
        to.put(VERSION)
                .putInt(stamp)
                .put((byte) demand)
                .putShort((short) (wants < 0 ? NOT : wants))
                .put((byte) sources.size());
        sources.forEach(source -> to.putShort(source.shortValue()));
        for (Entry entry : entries) {
            to.put((byte) (entry.key >> 16))
                    .putShort((short) entry.key)
                    .put((byte) (entry.free << 4 | entry.queue))
                    .putShort((short) (entry.age << 10 | entry.calls << 6 | sources.indexOf(entry.source)));
        }
        return to.array();
    }

    /**
     * Reads what another has written.
     *
     * @throws IOException if it is none, or of a build that this one does not know
     */
    static CapacityMessage read(byte[] bytes) throws IOException {
        try {
            ByteBuffer from = ByteBuffer.wrap(bytes);
            if (from.get() != VERSION) {
                throw new IOException("capacity news of another form");
            }
            int stamp = from.getInt();
            int demand = from.get() & BYTE;
            int wants = from.getShort() & NOT;
            int count = from.get() & BYTE;
            if (demand > MOST_DEMAND || wants != NOT && wants > BYTE || count > MOST_SOURCES) {
                throw new IOException("capacity news with a head out of range");
            }
            int[] sources = new int[count];
            for (int i = 0; i < count; i++) {
                sources[i] = from.getShort() & NOT;
            }
            List<Entry> entries = new ArrayList<>();
            while (from.hasRemaining()) {
                int key = (from.get() & BYTE) << 16 | from.getShort() & NOT;
                int load = from.get() & BYTE;
                int rest = from.getShort() & NOT;
                int source = rest & MOST_SOURCES;
                if (source >= count) {
                    throw new IOException("capacity news of a source that it does not name");
                }
                entries.add(new Entry(
                        key, load >> 4, load & Steps.MOST, rest >> 6 & Steps.MOST, rest >> 10, sources[source]));
            }
            return new CapacityMessage(stamp, demand, wants == NOT ? -1 : wants, entries);
        } catch (BufferUnderflowException e) {
            throw new IOException("capacity news that is cut off", e);
        }
    }
}
