package laneflow.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.IntConsumer;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/** A ring buffer of bytes for one direction of a connection; it grows by doubling up to its limit. */
public final class Ring {
    private static final int INITIAL_CAPACITY = 2048;

    private final int limit;
    /** Receives each change of the capacity, in bytes. */
    private final IntConsumer onCapacityChange;

    private byte[] bytes = new byte[INITIAL_CAPACITY];
    private ByteBuffer view = ByteBuffer.wrap(bytes);
    private int head;
    private int size;
    private long consumed;

    /** @param limit the maximum number of bytes, a power of two */
    public Ring(int limit) {
        this(limit, change -> {});
    }

    Ring(int limit, IntConsumer onCapacityChange) {
        if (Integer.bitCount(limit) != 1 || limit < INITIAL_CAPACITY) {
            throw new IllegalArgumentException("limit " + limit);
        }
        this.limit = limit;
        this.onCapacityChange = onCapacityChange;
    }

    public int size() {
        return size;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    public boolean isFull() {
        return size == limit;
    }

    /** Returns how many bytes have been consumed so far: the stream offset of the first buffered byte. */
    public long consumedBytes() {
        return consumed;
    }

    /** Returns the byte at an offset from the first buffered byte. */
    public byte byteAt(int offset) {
        return bytes[head + offset & bytes.length - 1];
    }

    /** Returns the first offset of a byte at or after {@code from}, or -1. */
    public int indexOf(byte wanted, int from) {
        return indexOf(wanted, from, size);
    }

    /** Returns the first offset of a byte at or after {@code from} and before {@code to}, or -1. */
    public int indexOf(byte wanted, int from, int to) {
        int end = Math.min(to, size);
        for (int i = from; i < end; i++) {
            if (byteAt(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    /** Copies the first bytes to an array and consumes them. */
    public void take(byte[] to, int offset, int length) {
        int first = Math.min(length, bytes.length - head);
        System.arraycopy(bytes, head, to, offset, first);
        System.arraycopy(bytes, 0, to, offset + first, length - first);
        skip(length);
    }

    /** Consumes the first bytes without copying them. */
    public void skip(int length) {
        if (length > size) {
            throw new IllegalArgumentException(length + " of " + size);
        }
        head = head + length & bytes.length - 1;
        size -= length;
        consumed += length;
        if (size == 0) {
            head = 0;
            if (bytes.length > INITIAL_CAPACITY) {
                // Releases the memory of a large message instead of keeping it for the connection's lifetime.
                replaceBuffer(new byte[INITIAL_CAPACITY]);
            }
        }
    }

    /** Appends bytes; returns false, with nothing appended, if they would exceed the limit. */
    public boolean put(byte[] from) {
        return put(from, 0, from.length);
    }

    public boolean put(byte[] from, int offset, int length) {
        if (size + length > limit) {
            return false;
        }
        while (size + length > bytes.length) {
            grow();
        }
        int tail = head + size & bytes.length - 1;
        int first = Math.min(length, bytes.length - tail);
        System.arraycopy(from, offset, bytes, tail, first);
        System.arraycopy(from, offset + first, bytes, 0, length - first);
        size += length;
        return true;
    }

    /** Reads once from the conduit; returns what it returned, or 0 if the ring is full. */
    int readFrom(StreamSourceConduit conduit) throws IOException {
        if (size == bytes.length && size < limit) {
            grow();
        }
        int tail = head + size & bytes.length - 1;
        int available = Math.min(bytes.length - size, bytes.length - tail);
        if (available == 0) {
            return 0;
        }
        view.clear().position(tail).limit(tail + available);
        int bytesRead = conduit.read(view);
        size += Math.max(0, bytesRead);
        return bytesRead;
    }

    /** Writes once to the conduit; returns how many bytes it accepted. */
    int writeTo(StreamSinkConduit conduit) throws IOException {
        int length = Math.min(size, bytes.length - head);
        view.clear().position(head).limit(head + length);
        int bytesWritten = conduit.write(view);
        if (bytesWritten > 0) {
            skip(bytesWritten);
        }
        return bytesWritten;
    }

    private void grow() {
        byte[] larger = new byte[bytes.length * 2];
        int first = Math.min(size, bytes.length - head);
        System.arraycopy(bytes, head, larger, 0, first);
        System.arraycopy(bytes, 0, larger, first, size - first);
        head = 0;
        replaceBuffer(larger);
    }

    private void replaceBuffer(byte[] buffer) {
        onCapacityChange.accept(buffer.length - bytes.length);
        bytes = buffer;
        view = ByteBuffer.wrap(bytes);
    }
}
