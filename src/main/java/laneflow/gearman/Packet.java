package laneflow.gearman;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import laneflow.net.Ring;

/** A packet of the binary protocol: magic, type, and arguments separated by NUL, which only the last may contain. */
final class Packet {
    static final int CAN_DO = 1;
    static final int CANT_DO = 2;
    static final int RESET_ABILITIES = 3;
    static final int PRE_SLEEP = 4;
    static final int NOOP = 6;
    static final int SUBMIT_JOB = 7;
    static final int JOB_CREATED = 8;
    static final int GRAB_JOB = 9;
    static final int NO_JOB = 10;
    static final int JOB_ASSIGN = 11;
    static final int WORK_STATUS = 12;
    static final int WORK_COMPLETE = 13;
    static final int WORK_FAIL = 14;
    static final int GET_STATUS = 15;
    static final int ECHO_REQ = 16;
    static final int ECHO_RES = 17;
    static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int STATUS_RES = 20;
    static final int SUBMIT_JOB_HIGH = 21;
    static final int SET_CLIENT_ID = 22;
    static final int CAN_DO_TIMEOUT = 23;
    static final int ALL_YOURS = 24;
    static final int WORK_EXCEPTION = 25;
    static final int OPTION_REQ = 26;
    static final int OPTION_RES = 27;
    static final int WORK_DATA = 28;
    static final int WORK_WARNING = 29;
    static final int GRAB_JOB_UNIQ = 30;
    static final int JOB_ASSIGN_UNIQ = 31;
    static final int SUBMIT_JOB_HIGH_BG = 32;
    static final int SUBMIT_JOB_LOW = 33;
    static final int SUBMIT_JOB_LOW_BG = 34;
    static final int SUBMIT_JOB_SCHED = 35;
    static final int SUBMIT_JOB_EPOCH = 36;
    static final int SUBMIT_REDUCE_JOB = 37;
    static final int SUBMIT_REDUCE_JOB_BG = 38;
    static final int GRAB_JOB_ALL = 39;
    static final int JOB_ASSIGN_ALL = 40;
    static final int GET_STATUS_UNIQUE = 41;
    static final int STATUS_RES_UNIQUE = 42;

    static final int HEADER_BYTES = 12;
    /** The maximum size of a job's arguments besides its data. */
    static final int MAX_NAMES_BYTES = 2048;

    static final int REQUEST_MAGIC = 0x00524551;
    static final int RESPONSE_MAGIC = 0x00524553;

    final int type;
    private final byte[] data;

    private Packet(int type, byte[] data) {
        this.type = type;
        this.data = data;
    }

    /** Thrown for bytes that are not a valid packet. */
    static final class MalformedPacket extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedPacket(String message) {
            super(message);
        }
    }

    /**
     * The data size in the header of the packet at the ring's head; below 0 while the header is incomplete.
     */
    static long announcedBytes(Ring in) {
        return in.size() < HEADER_BYTES ? -1 : readInt(in, 8) & 0xffffffffL;
    }

    /** Takes the next packet off the ring; null while it is incomplete. Data above {@code maxBytes} is malformed. */
    static Packet read(Ring in, int maxBytes) throws MalformedPacket {
        if (in.size() < HEADER_BYTES) {
            return null;
        }
        if (readInt(in, 0) != REQUEST_MAGIC) {
            throw new MalformedPacket("the magic is not that of a request");
        }
        int size = readInt(in, 8);
        if (size < 0 || size > maxBytes) {
            throw new MalformedPacket("packet of " + (size & 0xffffffffL) + " bytes");
        }
        if (in.size() < HEADER_BYTES + size) {
            return null;
        }
        int type = readInt(in, 4);
        in.skip(HEADER_BYTES);
        byte[] data = new byte[size];
        in.take(data, 0, size);
        return new Packet(type, data);
    }

    private static int readInt(Ring in, int offset) {
        return (in.byteAt(offset) & 0xff) << 24
                | (in.byteAt(offset + 1) & 0xff) << 16
                | (in.byteAt(offset + 2) & 0xff) << 8
                | in.byteAt(offset + 3) & 0xff;
    }

    /** Splits the data into this number of arguments; fewer are malformed. */
    byte[][] arguments(int count) throws MalformedPacket {
        byte[][] parts = new byte[count][];
        int start = 0;
        for (int i = 0; i < count - 1; i++) {
            int end = start;
            while (end < data.length && data[end] != 0) {
                end++;
            }
            if (end == data.length) {
                throw new MalformedPacket("type " + type + " with " + (i + 1) + " of " + count + " arguments");
            }
            parts[i] = Arrays.copyOfRange(data, start, end);
            start = end + 1;
        }
        parts[count - 1] = Arrays.copyOfRange(data, start, data.length);
        return parts;
    }

    byte[] data() {
        return data;
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Encodes a packet from the server; arguments are byte arrays, or objects written as text. */
    static byte[] response(int type, Object... arguments) {
        return encode(RESPONSE_MAGIC, type, arguments);
    }

    /** Encodes a packet with the given magic. */
    static byte[] encode(int magic, int type, Object... arguments) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        for (int i = 0; i < arguments.length; i++) {
            if (i > 0) {
                data.write(0);
            }
            Object argument = arguments[i];
            data.writeBytes(
                    argument instanceof byte[]
                            ? (byte[]) argument
                            : String.valueOf(argument).getBytes(StandardCharsets.UTF_8));
        }
        return ByteBuffer.allocate(HEADER_BYTES + data.size())
                .putInt(magic)
                .putInt(type)
                .putInt(data.size())
                .put(data.toByteArray())
                .array();
    }
}
