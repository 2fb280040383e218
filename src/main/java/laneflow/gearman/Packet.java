package laneflow.gearman;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import laneflow.net.Ring;

/** One packet of the binary protocol: a magic, a type, and arguments parted by NUL, the last of them free. */
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

    static final int HEADER = 12;
    /** What a job's names may add to its data. */
    static final int NAMES = 2048;

    static final int REQUEST = 0x00524551;
    static final int RESPONSE = 0x00524553;

    final int type;
    private final byte[] data;

    private Packet(int type, byte[] data) {
        this.type = type;
        this.data = data;
    }

    /** Bytes that are no packet. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /**
     * The bytes of data that the packet at the ring's head announces; below 0 where that is not known yet.
     */
    static long announced(Ring in) {
        return in.size() < HEADER ? -1 : number(in, 8) & 0xffffffffL;
    }

    /** Takes the next packet off the ring, of so much data at most; null if it is not wholly there. */
    static Packet read(Ring in, int most) throws Malformed {
        if (in.size() < HEADER) {
            return null;
        }
        if (number(in, 0) != REQUEST) {
            throw new Malformed("no request's magic");
        }
        int size = number(in, 8);
        if (size < 0 || size > most) {
            throw new Malformed("packet of " + (size & 0xffffffffL) + " bytes");
        }
        if (in.size() < HEADER + size) {
            return null;
        }
        int type = number(in, 4);
        in.skip(HEADER);
        byte[] data = new byte[size];
        in.take(data, 0, size);
        return new Packet(type, data);
    }

    private static int number(Ring in, int at) {
        return (in.at(at) & 0xff) << 24
                | (in.at(at + 1) & 0xff) << 16
                | (in.at(at + 2) & 0xff) << 8
                | in.at(at + 3) & 0xff;
    }

    /** The data as so many arguments; what is missing makes it malformed. */
    byte[][] arguments(int count) throws Malformed {
        byte[][] found = new byte[count][];
        int from = 0;
        for (int i = 0; i < count - 1; i++) {
            int end = from;
            while (end < data.length && data[end] != 0) {
                end++;
            }
            if (end == data.length) {
                throw new Malformed("type " + type + " with " + (i + 1) + " of " + count + " arguments");
            }
            found[i] = Arrays.copyOfRange(data, from, end);
            from = end + 1;
        }
        found[count - 1] = Arrays.copyOfRange(data, from, data.length);
        return found;
    }

    byte[] data() {
        return data;
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** A packet from the server; arguments are text or bytes. */
    static byte[] response(int type, Object... arguments) {
        return encode(RESPONSE, type, arguments);
    }

    /** A packet in either direction. */
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
        return ByteBuffer.allocate(HEADER + data.size())
                .putInt(magic)
                .putInt(type)
                .putInt(data.size())
                .put(data.toByteArray())
                .array();
    }
}
