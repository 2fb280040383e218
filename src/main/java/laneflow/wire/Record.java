package laneflow.wire;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Reads the batches: the frame's bytes in a reused buffer, and a cursor that stays inside one record. */
final class Record {
    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int frameEnd;
    private int end;

    /** Room for a frame of this size; the caller fills {@link #array} from 0 and calls {@link #open}. */
    byte[] array(int size) {
        if (bytes.capacity() < size) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(size, bytes.capacity() * 2));
            System.arraycopy(bytes.array(), 0, larger.array(), 0, Codes.BATCH_HEADER);
            bytes = larger.order(ByteOrder.LITTLE_ENDIAN);
        }
        return bytes.array();
    }

    /** Starts reading a frame of this size, behind its header. */
    void open(int size) {
        frameEnd = size;
        bytes.clear();
        bytes.position(Codes.BATCH_HEADER);
        end = Codes.BATCH_HEADER;
    }

    int headerInt(int at) {
        return bytes.getInt(at);
    }

    double headerDouble(int at) {
        return bytes.getDouble(at);
    }

    boolean atFrameEnd() {
        return end == frameEnd;
    }

    /** Steps to the next record, wherever reading stopped in the last one, and returns its code. */
    int next() throws WireException {
        int at = end;
        if (frameEnd - at < 5) {
            throw new WireException("frame ends inside a record's head");
        }
        int length = bytes.getInt(at + 1);
        if (length < 0 || length > frameEnd - at - 5) {
            throw new WireException("record of " + (length & 0xffffffffL) + " bytes does not fit its frame");
        }
        bytes.position(at + 5);
        end = at + 5 + length;
        return bytes.get(at) & 0xff;
    }

    /** True if the record goes on: fields at its end may be absent. */
    boolean more() {
        return bytes.position() < end;
    }

    int u8() throws WireException {
        need(1);
        return bytes.get() & 0xff;
    }

    int u16() throws WireException {
        need(2);
        return bytes.getShort() & 0xffff;
    }

    int u32() throws WireException {
        need(4);
        return bytes.getInt();
    }

    long u64() throws WireException {
        need(8);
        return bytes.getLong();
    }

    double f32() throws WireException {
        need(4);
        return bytes.getFloat();
    }

    double f64() throws WireException {
        need(8);
        return bytes.getDouble();
    }

    /** A worker's four address bytes and its port, as one number that {@link Reply} writes back unaltered. */
    long worker() throws WireException {
        need(6);
        long address = bytes.getInt() & 0xffffffffL;
        return address << 16 | bytes.getShort() & 0xffffL;
    }

    String text() throws WireException {
        int n = u32();
        if (n < 0) {
            throw new WireException("text of " + (n & 0xffffffffL) + " bytes does not fit its record");
        }
        need(n);
        String text = new String(bytes.array(), bytes.position(), n, StandardCharsets.UTF_8);
        bytes.position(bytes.position() + n);
        return text;
    }

    void need(long n) throws WireException {
        if (n > end - bytes.position()) {
            throw new WireException("record ends inside a field");
        }
    }
}
