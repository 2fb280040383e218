package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection of a Gearman client or worker, by the protocol published at gearman.org/protocol. */
public final class Gearman implements AutoCloseable {
    public static final int CAN_DO = 1;
    public static final int PRE_SLEEP = 4;
    public static final int NOOP = 6;
    public static final int SUBMIT_JOB = 7;
    public static final int JOB_CREATED = 8;
    public static final int GRAB_JOB = 9;
    public static final int NO_JOB = 10;
    public static final int JOB_ASSIGN = 11;
    public static final int WORK_STATUS = 12;
    public static final int WORK_COMPLETE = 13;
    public static final int WORK_FAIL = 14;
    public static final int SUBMIT_JOB_BG = 18;
    public static final int ERROR = 19;
    public static final int WORK_DATA = 28;

    private final Socket socket;
    private final DataInputStream in;

    /** A packet's type and its arguments, the last of which may hold any bytes. */
    public record Packet(int type, List<String> args) {}

    public Gearman(int port, int timeoutMs) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    public synchronized void send(int type, String... args) throws IOException {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        for (int i = 0; i < args.length; i++) {
            if (i > 0) {
                data.write(0);
            }
            data.writeBytes(args[i].getBytes(StandardCharsets.UTF_8));
        }
        socket.getOutputStream()
                .write(ByteBuffer.allocate(12 + data.size())
                        .put((byte) 0)
                        .put("REQ".getBytes(StandardCharsets.US_ASCII))
                        .putInt(type)
                        .putInt(data.size())
                        .put(data.toByteArray())
                        .array());
    }

    /** Reads the next packet; fails at the end of the connection or after its time-out. */
    public Packet read() throws IOException {
        in.readInt();
        int type = in.readInt();
        String data = new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
        return new Packet(type, new ArrayList<>(List.of(data.split("\0", -1))));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
