package laneflow.lab.measure;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import laneflow.membership.decision.MemberInstance;
import laneflow.membership.decision.MemberMetadata;
import laneflow.membership.decision.Message;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.MessageCodec;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.State;
import laneflow.membership.decision.Swim;
import laneflow.membership.decision.SwimTimings;
import laneflow.membership.decision.Update;
import laneflow.membership.decision.Update.MemberRecord;

/**
 * A member of the fleet, with the ordinary membership protocol, that on request announces thousands of
 * members that do not exist. Each of them is gossiped on, probed, suspected and declared dead, which loads
 * the schedulers that receive the announcements.
 */
final class ControlStorm implements Swim.Environment, AutoCloseable {
    private static final int FICTITIOUS_MEMBERS = 5000;
    private static final int RECORDS_PER_MESSAGE = 2;
    private static final int RECEIVE_TIMEOUT_MS = 1;
    private static final long MICROS_PER_MS = 1000;

    private final DatagramSocket socket;
    private final InetSocketAddress target;
    private final Seal seal;
    private final MessageCodec codec = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private final SplittableRandom random;
    private final Swim swim;
    private final Thread thread;
    private final int messagesPerSecond;
    private int incarnation;
    private volatile boolean announcing;
    private volatile boolean closed;
    private volatile long messagesSent;

    /**
     * Opens the member's socket.
     *
     * @param target the scheduler that gets the announcements
     * @param messagesPerSecond announcements per second while they are enabled
     */
    ControlStorm(InetSocketAddress target, String key, long periodUs, int messagesPerSecond, long seed)
            throws IOException {
        this.target = target;
        this.messagesPerSecond = messagesPerSecond;
        socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(RECEIVE_TIMEOUT_MS);
        random = new SplittableRandom(seed);
        seal = new Seal(List.of(key), (int) seed);
        MemberInstance self = MemberInstance.of(
                "storm",
                System.currentTimeMillis(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()));
        swim = new Swim(self, metadata(), List.of(target), new SwimTimings(periodUs), codec, seed, nowMicros(), this);
        thread = new Thread(this::run, "storm");
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Enables or disables the announcements. */
    void announce(boolean enabled) {
        announcing = enabled;
    }

    /** Returns the number of announcements sent so far. */
    long messagesSent() {
        return messagesSent;
    }

    private static MemberMetadata metadata() {
        return new MemberMetadata("z", "", null, 0, MemberMetadata.Condition.READY, 0, 0, false);
    }

    private static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    private void run() {
        byte[] buffer = new byte[Seal.MAX_DATAGRAM_BYTES];
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        double dueMessages = 0;
        long lastMicros = nowMicros();
        while (!closed) {
            packet.setLength(buffer.length);
            if (receiveDatagram(packet) && seal.isAuthentic(buffer, packet.getLength())) {
                handleDatagram(packet);
            }
            if (swim.nextTick() <= nowMicros()) {
                swim.tick(nowMicros());
            }
            long elapsedMicros = Math.min(nowMicros() - lastMicros, RECEIVE_TIMEOUT_MS * MICROS_PER_MS);
            lastMicros = nowMicros();
            dueMessages = announcing ? dueMessages + elapsedMicros * messagesPerSecond / 1e6 : 0;
            for (; dueMessages >= 1; dueMessages--) {
                send(target, announcement());
                messagesSent++;
            }
        }
    }

    private boolean receiveDatagram(DatagramPacket packet) {
        try {
            socket.receive(packet);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            closed = true;
            return false;
        }
    }

    private void handleDatagram(DatagramPacket packet) {
        try {
            swim.receive(
                    nowMicros(),
                    (InetSocketAddress) packet.getSocketAddress(),
                    codec.read(packet.getData(), Seal.OVERHEAD_BYTES, packet.getLength() - Seal.OVERHEAD_BYTES));
        } catch (IOException e) {
            closed = true;
        }
    }

    private Message announcement() {
        List<Update> updates = new ArrayList<>();
        for (int i = 0; i < RECORDS_PER_MESSAGE; i++) {
            int index = random.nextInt(FICTITIOUS_MEMBERS);
            MemberInstance member =
                    MemberInstance.of("made-up-" + index, index, new InetSocketAddress(target.getAddress(), 1 + index));
            updates.add(new MemberRecord(member, incarnation++, State.ALIVE, metadata()));
        }
        return new Message(Kind.GOSSIP, swim.self().instance().id(), 0, 0, 0, null, updates);
    }

    @Override
    public void send(InetSocketAddress receiver, Message message) {
        byte[] datagram = seal.wrap(codec.write(message));
        try {
            socket.send(new DatagramPacket(datagram, datagram.length, receiver));
        } catch (IOException e) {
            // The same as a lost datagram: the protocol copes with it.
            return;
        }
    }

    @Override
    public boolean sendRecords(String name, List<MemberRecord> records) {
        return false;
    }

    @Override
    public void memberChanged(MemberRecord before, MemberRecord now) {
        // The view of this member is not measured.
    }

    @Override
    public void count(String what) {
        // The counters of this member are not measured.
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.join();
        socket.close();
    }
}
