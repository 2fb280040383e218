import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection of the Gearman protocol (gearman.org/protocol), for a client or a worker. */
final class Gearman implements AutoCloseable {
    static final int CAN_DO = 1;
    static final int PRE_SLEEP = 4;
    static final int NOOP = 6;
    static final int SUBMIT_JOB = 7;
    static final int JOB_CREATED = 8;
    static final int NO_JOB = 10;
    static final int WORK_STATUS = 12;
    static final int WORK_DATA = 28;
    static final int WORK_COMPLETE = 13;
    static final int WORK_FAIL = 14;
    static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int GRAB_JOB_UNIQ = 30;
    static final int JOB_ASSIGN_UNIQ = 31;

    /** A packet that came. */
    static final class Packet {
        int type;
        byte[] data;

        /** The first parts, separated by zero bytes; the last one is the rest. */
        List<String> parts(int count) {
            List<String> parts = new ArrayList<>();
            int from = 0;
            for (int i = 0; i < count - 1; i++) {
                int end = from;
                while (end < data.length && data[end] != 0) {
                    end++;
                }
                parts.add(new String(data, from, end - from, StandardCharsets.UTF_8));
                from = Math.min(data.length, end + 1);
            }
            parts.add(new String(data, from, data.length - from, StandardCharsets.UTF_8));
            return parts;
        }

        @Override
        public String toString() {
            String name = switch (type) {
                case JOB_CREATED -> "JOB_CREATED";
                case WORK_COMPLETE -> "WORK_COMPLETE";
                case WORK_DATA -> "WORK_DATA";
                case WORK_FAIL -> "WORK_FAIL";
                case ERROR -> "ERROR";
                case JOB_ASSIGN_UNIQ -> "JOB_ASSIGN_UNIQ";
                default -> "packet " + type;
            };
            return name + " " + new String(data, StandardCharsets.UTF_8).replace('\0', '|');
        }
    }

    private final Socket socket;
    private final DataInputStream in;

    Gearman(int port) throws IOException {
        socket = Host.connect(port);
        in = new DataInputStream(socket.getInputStream());
    }

    synchronized void send(int type, String... parts) throws IOException {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        for (int i = 0; i < parts.length; i++) {
            if (i > 0) {
                data.write(0);
            }
            data.write(parts[i].getBytes(StandardCharsets.UTF_8));
        }
        ByteBuffer packet = ByteBuffer.allocate(12 + data.size());
        packet.put(new byte[] {0, 'R', 'E', 'Q'}).putInt(type).putInt(data.size()).put(data.toByteArray());
        socket.getOutputStream().write(packet.array());
        socket.getOutputStream().flush();
    }

    /** The next packet; null if none comes in this time. */
    Packet receive(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        Packet packet = new Packet();
        try {
            in.readInt();
        } catch (SocketTimeoutException e) {
            return null;
        }
        packet.type = in.readInt();
        packet.data = new byte[in.readInt()];
        in.readFully(packet.data);
        return packet;
    }

    /** The next packet of one of these types; null if none comes in this time. */
    Packet await(int timeoutMs, int... types) throws IOException {
        long until = System.nanoTime() + timeoutMs * 1_000_000L;
        while (true) {
            int left = (int) ((until - System.nanoTime()) / 1_000_000);
            Packet packet = left <= 0 ? null : receive(left);
            if (packet == null) {
                return null;
            }
            for (int type : types) {
                if (packet.type == type) {
                    return packet;
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
