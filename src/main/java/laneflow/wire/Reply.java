package laneflow.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Writes reply frames into one reused buffer; the header is filled in last. */
final class Reply {
    private static final int MAX_TEXT_BYTES = 1000;
    private static final int MAX_RECORD_BYTES = MAX_TEXT_BYTES + 64;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int recordCount;

    void begin(int batch) {
        buffer.clear();
        buffer.putInt(batch).putInt(0).putInt(0);
        recordCount = 0;
    }

    void flush(OutputStream out) throws IOException {
        buffer.putInt(4, recordCount).putInt(8, buffer.position());
        out.write(buffer.array(), 0, buffer.position());
        out.flush();
    }

    /** Sends with a timeout of 0, which means none: an attempt may run until its client gives up. */
    void send(int instance, long request, long worker) {
        putHeader(Codes.SEND, 26, instance).putLong(request).putDouble(0);
        putWorker(worker);
    }

    void refuse(int instance, long request, double retryAfter) {
        putHeader(Codes.REFUSE, 20, instance).putLong(request).putDouble(retryAfter);
    }

    void fail(int instance, long request) {
        putHeader(Codes.FAIL, 12, instance).putLong(request);
    }

    void cancel(int instance, long request, int attempt) {
        putHeader(Codes.CANCEL, 13, instance).putLong(request).put((byte) attempt);
    }

    void probe(int instance, long worker) {
        putHeader(Codes.PROBE, 10, instance);
        putWorker(worker);
    }

    void closeIdle(int instance, long worker) {
        putHeader(Codes.CLOSE_IDLE, 10, instance);
        putWorker(worker);
    }

    void wake(int instance, double delay, long token) {
        putHeader(Codes.WAKE, 20, instance).putDouble(delay).putLong(token);
    }

    void watchList(int instance) {
        putHeader(Codes.WATCH_LIST, 5, instance).put((byte) 1);
    }

    void fault(int instance, String message) {
        putText(Codes.FAULT, instance, message);
    }

    private void putText(int code, int instance, String message) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, MAX_TEXT_BYTES);
        putHeader(code, 6 + length, instance).putShort((short) length).put(text, 0, length);
    }

    private ByteBuffer putHeader(int code, int length, int instance) {
        if (buffer.remaining() < MAX_RECORD_BYTES) {
            ByteBuffer larger = ByteBuffer.allocate(buffer.capacity() * 2).order(ByteOrder.LITTLE_ENDIAN);
            buffer.flip();
            buffer = larger.put(buffer);
        }
        recordCount++;
        return buffer.put((byte) code).putInt(length).putInt(instance);
    }

    private void putWorker(long id) {
        buffer.putInt((int) (id >> 16)).putShort((short) id);
    }
}
