package laneflow.wire;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the records of a frame from a reused buffer; reads never pass the end of the current record. */
final class Record {
    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int frameEnd;
    private int recordEnd;

    /** Makes room for a frame of this size; the caller fills the returned array from 0 and calls {@link #open}. */
    byte[] ensureCapacity(int size) {
        if (buffer.capacity() < size) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(size, buffer.capacity() * 2));
            System.arraycopy(buffer.array(), 0, larger.array(), 0, Codes.BATCH_HEADER_BYTES);
            buffer = larger.order(ByteOrder.LITTLE_ENDIAN);
        }
        return buffer.array();
    }

    /** Starts reading a frame of this size, after its header. */
    void open(int size) {
        frameEnd = size;
        buffer.clear();
        buffer.position(Codes.BATCH_HEADER_BYTES);
        recordEnd = Codes.BATCH_HEADER_BYTES;
    }

    int headerInt(int offset) {
        return buffer.getInt(offset);
    }

    double headerDouble(int offset) {
        return buffer.getDouble(offset);
    }

    boolean atFrameEnd() {
        return recordEnd == frameEnd;
    }

    /** Moves to the next record, skipping the unread rest of the current one, and returns its code. */
    int next() throws WireException {
        int offset = recordEnd;
        if (frameEnd - offset < 5) {
            throw new WireException("frame ends inside a record's header");
        }
        int length = buffer.getInt(offset + 1);
        if (length < 0 || length > frameEnd - offset - 5) {
            throw new WireException("record of " + (length & 0xffffffffL) + " bytes does not fit its frame");
        }
        buffer.position(offset + 5);
        recordEnd = offset + 5 + length;
        return buffer.get(offset) & 0xff;
    }

    /** True if unread bytes remain in the record: trailing fields are optional. */
    boolean hasMore() {
        return buffer.position() < recordEnd;
    }

    int u8() throws WireException {
        require(1);
        return buffer.get() & 0xff;
    }

    int u16() throws WireException {
        require(2);
        return buffer.getShort() & 0xffff;
    }

    int u32() throws WireException {
        require(4);
        return buffer.getInt();
    }

    long u64() throws WireException {
        require(8);
        return buffer.getLong();
    }

    double f32() throws WireException {
        require(4);
        return buffer.getFloat();
    }

    double f64() throws WireException {
        require(8);
        return buffer.getDouble();
    }

    /** Reads a worker's four address bytes and port into one number, which {@link Reply} writes back unchanged. */
    long worker() throws WireException {
        require(6);
        long address = buffer.getInt() & 0xffffffffL;
        return address << 16 | buffer.getShort() & 0xffffL;
    }

    String text() throws WireException {
        int length = u32();
        if (length < 0) {
            throw new WireException("text of " + (length & 0xffffffffL) + " bytes does not fit its record");
        }
        require(length);
        String text = new String(buffer.array(), buffer.position(), length, StandardCharsets.UTF_8);
        buffer.position(buffer.position() + length);
        return text;
    }

    void require(long bytes) throws WireException {
        if (bytes > recordEnd - buffer.position()) {
            throw new WireException("record ends inside a field");
        }
    }
}
