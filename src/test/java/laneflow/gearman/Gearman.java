package laneflow.gearman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;

/** Sends and checks the packets of stand-in Gearman clients and workers. */
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

    /** Reads the next packet, which must be of this type, and returns its arguments. */
    public static String[] expect(Peer peer, int type) throws IOException {
        Received packet = next(peer);
        assertEquals(type, packet.type, String.join(" ", packet.args));
        return packet.args;
    }

    /** A packet from the server. */
    public record Received(int type, String[] args) {}

    /** Reads the next packet of any type. */
    public static Received next(Peer peer) throws IOException {
        ByteBuffer head = ByteBuffer.wrap(peer.read(Packet.HEADER_BYTES));
        assertEquals(Packet.RESPONSE_MAGIC, head.getInt());
        int type = head.getInt();
        return new Received(type, new String(peer.read(head.getInt()), StandardCharsets.UTF_8).split("\0", -1));
    }

    /** The packet type number of a protocol name. */
    public static int type(String name) throws ReflectiveOperationException {
        return Packet.class.getDeclaredField(name).getInt(null);
    }

    /** The protocol name of a packet type number; {@link Packet} declares the types before its other int constants. */
    public static String name(int type) throws ReflectiveOperationException {
        for (Field field : Packet.class.getDeclaredFields()) {
            if (field.getType() == int.class && field.getInt(null) == type) {
                return field.getName();
            }
        }
        return "packet " + type;
    }

    /** Connects a worker with these functions that has sent PRE_SLEEP. */
    public static Peer worker(SchedulerHarness harness, String... functions) throws IOException {
        Peer worker = harness.gearman();
        for (String function : functions) {
            send(worker, Packet.CAN_DO, function);
        }
        send(worker, Packet.PRE_SLEEP);
        return worker;
    }

    /** Waits for NOOP and grabs a job: handle, function, unique id, reducer, data. */
    public static String[] grab(Peer worker) throws IOException {
        expect(worker, Packet.NOOP);
        send(worker, Packet.GRAB_JOB_ALL);
        return expect(worker, Packet.JOB_ASSIGN_ALL);
    }

    /** The packet by which a worker withdraws all its abilities. */
    public static byte[] resetAbilities() {
        return Packet.encode(Packet.REQUEST_MAGIC, Packet.RESET_ABILITIES);
    }

    public static void preSleep(Peer worker) throws IOException {
        send(worker, Packet.PRE_SLEEP);
    }

    /** Submits a background job and returns its handle. */
    public static String submitBackground(Peer client, String function, String unique, String body) throws IOException {
        send(client, Packet.SUBMIT_JOB_BG, function, unique, body);
        return expect(client, Packet.JOB_CREATED)[0];
    }
}
