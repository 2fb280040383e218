package laneflow.lab.standin;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A blocking Gearman connection for stand-ins, with the binary packets of gearman.org/protocol. It does not
 * share code with the front's codec, so that a mistake there is not repeated here.
 */
public final class GearmanConnection implements AutoCloseable {
    static final int CAN_DO = 1;
    static final int PRE_SLEEP = 4;
    static final int NOOP = 6;
    public static final int JOB_CREATED = 8;
    static final int NO_JOB = 10;
    public static final int WORK_COMPLETE = 13;
    public static final int WORK_FAIL = 14;
    public static final int WORK_STATUS = 12;
    public static final int SUBMIT_JOB = 7;
    public static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int GRAB_JOB_ALL = 39;
    static final int JOB_ASSIGN_ALL = 40;
    private static final int REQUEST_MAGIC = 0x00524551;
    private static final int MAX_PACKET_BYTES = 1 << 24;

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;

    /** A received packet: its type and its arguments, which NUL bytes separate. */
    public record Packet(int type, String[] args) {}

    public GearmanConnection(int port, int timeoutMs) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
        out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 1 << 16));
    }

    /** Writes a packet to the buffer without flushing it. */
    public void writePacket(int type, String... args) throws IOException {
        byte[] data = String.join("\0", args).getBytes(StandardCharsets.UTF_8);
        out.writeInt(REQUEST_MAGIC);
        out.writeInt(type);
        out.writeInt(data.length);
        out.write(data);
    }

    public void flush() throws IOException {
        out.flush();
    }

    public void send(int type, String... args) throws IOException {
        writePacket(type, args);
        out.flush();
    }

    public Packet readPacket() throws IOException {
        in.readInt();
        int type = in.readInt();
        int length = in.readInt();
        if (length < 0 || length > MAX_PACKET_BYTES) {
            throw new IOException("invalid packet length: " + length + " bytes");
        }
        return new Packet(type, new String(in.readNBytes(length), StandardCharsets.UTF_8).split("\0", -1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
