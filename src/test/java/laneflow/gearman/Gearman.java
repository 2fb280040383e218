package laneflow.gearman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import laneflow.net.Stand;
import laneflow.net.Stand.Peer;

/** What stand-in Gearman clients and workers say and expect. */
public final class Gearman {
    public static final int COMPLETE = Packet.WORK_COMPLETE;
    public static final int FAIL = Packet.WORK_FAIL;
    public static final int STATUS = Packet.WORK_STATUS;
    public static final int DATA = Packet.WORK_DATA;
    public static final int ERROR = Packet.ERROR;
    public static final int SUBMIT_BG = Packet.SUBMIT_JOB_BG;
    public static final int CREATED = Packet.JOB_CREATED;

    private Gearman() {}

    public static void send(Peer peer, int type, Object... args) throws IOException {
        peer.write(Packet.encode(Packet.REQUEST_MAGIC, type, args));
    }

    /** The next packet's arguments; it must be of this type. */
    public static String[] expect(Peer peer, int type) throws IOException {
        Received said = next(peer);
        assertEquals(type, said.type, String.join(" ", said.args));
        return said.args;
    }

    /** A packet. */
    public record Received(int type, String[] args) {}

    /** The next packet, of whatever type. */
    public static Received next(Peer peer) throws IOException {
        ByteBuffer head = ByteBuffer.wrap(peer.read(Packet.HEADER_BYTES));
        assertEquals(Packet.RESPONSE_MAGIC, head.getInt());
        int got = head.getInt();
        return new Received(got, new String(peer.read(head.getInt()), StandardCharsets.UTF_8).split("\0", -1));
    }

    /** The protocol's number of that name. */
    public static int type(String name) throws ReflectiveOperationException {
        return Packet.class.getDeclaredField(name).getInt(null);
    }

    /** The protocol's name of that number; such names are all in capitals and stand in front of lengths. */
    public static String name(int type) throws ReflectiveOperationException {
        for (Field field : Packet.class.getDeclaredFields()) {
            if (field.getType() == int.class && field.getInt(null) == type) {
                return field.getName();
            }
        }
        return "packet " + type;
    }

    /** A worker with these abilities, asleep. */
    public static Peer worker(Stand stand, String... functions) throws IOException {
        Peer worker = stand.gearman();
        for (String function : functions) {
            send(worker, Packet.CAN_DO, function);
        }
        send(worker, Packet.PRE_SLEEP);
        return worker;
    }

    /** The next job, once there is one: handle, function, unique, reducer, body. */
    public static String[] grab(Peer worker) throws IOException {
        expect(worker, Packet.NOOP);
        send(worker, Packet.GRAB_JOB_ALL);
        return expect(worker, Packet.JOB_ASSIGN_ALL);
    }

    /** The packet by which a worker takes its abilities back. */
    public static byte[] resetAbilities() {
        return Packet.encode(Packet.REQUEST_MAGIC, Packet.RESET_ABILITIES);
    }

    public static void preSleep(Peer worker) throws IOException {
        send(worker, Packet.PRE_SLEEP);
    }

    /** Hands a background job in and returns its handle. */
    public static String submitBackground(Peer client, String function, String unique, String body) throws IOException {
        send(client, Packet.SUBMIT_JOB_BG, function, unique, body);
        return expect(client, Packet.JOB_CREATED)[0];
    }
}
