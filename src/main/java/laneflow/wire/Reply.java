package laneflow.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** Writes the replies: one buffer, reused, with the header filled in at the end. */
final class Reply {
    private static final int LONGEST_TEXT = 1000;
    private static final int LONGEST_RECORD = LONGEST_TEXT + 64;

    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
    private int count;

    void begin(int batch) {
        bytes.clear();
        bytes.putInt(batch).putInt(0).putInt(0);
        count = 0;
    }

    void flush(OutputStream out) throws IOException {
        bytes.putInt(4, count).putInt(8, bytes.position());
        out.write(bytes.array(), 0, bytes.position());
        out.flush();
    }

    /** No time-out: an attempt may take until its client gives up. */
    void send(int instance, long request, long worker) {
        head(Codes.SEND, 26, instance).putLong(request).putDouble(0);
        worker(worker);
    }

    void refuse(int instance, long request, double retryAfter) {
        head(Codes.REFUSE, 20, instance).putLong(request).putDouble(retryAfter);
    }

    void fail(int instance, long request) {
        head(Codes.FAIL, 12, instance).putLong(request);
    }

    void cancel(int instance, long request, int attempt) {
        head(Codes.CANCEL, 13, instance).putLong(request).put((byte) attempt);
    }

    void probe(int instance, long worker) {
        head(Codes.PROBE, 10, instance);
        worker(worker);
    }

    void closeIdle(int instance, long worker) {
        head(Codes.CLOSE_IDLE, 10, instance);
        worker(worker);
    }

    void wake(int instance, double delay, long token) {
        head(Codes.WAKE, 20, instance).putDouble(delay).putLong(token);
    }

    void watchList(int instance) {
        head(Codes.WATCH_LIST, 5, instance).put((byte) 1);
    }

    void fault(int instance, String line) {
        text(Codes.FAULT, instance, line);
    }

    private void text(int code, int instance, String line) {
        byte[] text = line.getBytes(StandardCharsets.UTF_8);
        int n = Math.min(text.length, LONGEST_TEXT);
        head(code, 6 + n, instance).putShort((short) n).put(text, 0, n);
    }

    private ByteBuffer head(int code, int length, int instance) {
        if (bytes.remaining() < LONGEST_RECORD) {
            ByteBuffer larger = ByteBuffer.allocate(bytes.capacity() * 2).order(ByteOrder.LITTLE_ENDIAN);
            bytes.flip();
            bytes = larger.put(bytes);
        }
        count++;
        return bytes.put((byte) code).putInt(length).putInt(instance);
    }

    private void worker(long id) {
        bytes.putInt((int) (id >> 16)).putShort((short) id);
    }
}
