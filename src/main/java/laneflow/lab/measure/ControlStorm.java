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
 * A member, by the same protocol as all, that at times tells of thousands of others that nobody can reach:
 * each is news, is told on, probed, suspected and buried. What that costs whoever hears it is measured.
 */
final class ControlStorm implements Swim.Environment, AutoCloseable {
    private static final int OTHERS = 5000;
    private static final int RECORDS = 2;
    private static final int WAIT_MS = 1;
    private static final long TURNS_A_SECOND = 1000;

    private final DatagramSocket socket;
    private final InetSocketAddress to;
    private final Seal seal;
    private final MessageCodec wire = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private final SplittableRandom random;
    private final Swim swim;
    private final Thread thread;
    private final int perSecond;
    private int told;
    private volatile boolean blows;
    private volatile boolean over;
    private volatile long sent;

    /** One that tells the scheduler there of so much a second, while it is told to. */
    ControlStorm(InetSocketAddress to, String key, long periodUs, int perSecond, long seed) throws IOException {
        this.to = to;
        this.perSecond = perSecond;
        socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(WAIT_MS);
        random = new SplittableRandom(seed);
        seal = new Seal(List.of(key), (int) seed);
        MemberInstance life = MemberInstance.of(
                "storm",
                System.currentTimeMillis(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()));
        swim = new Swim(life, facts(), List.of(to), new SwimTimings(periodUs), wire, seed, now(), this);
        thread = new Thread(this::run, "storm");
        thread.setDaemon(true);
    }

    void begin() {
        thread.start();
    }

    /** Whether it tells of others from now on. */
    void blow(boolean now) {
        blows = now;
    }

    /** News that it has told so far. */
    long sent() {
        return sent;
    }

    private static MemberMetadata facts() {
        return new MemberMetadata("z", "", null, 0, MemberMetadata.Condition.READY, 0, 0, false);
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    private void run() {
        byte[] bytes = new byte[Seal.MAX_DATAGRAM_BYTES];
        DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
        double owed = 0;
        long last = now();
        while (!over) {
            packet.setLength(bytes.length);
            if (comes(packet) && seal.isAuthentic(bytes, packet.getLength())) {
                heard(packet);
            }
            if (swim.nextTick() <= now()) {
                swim.tick(now());
            }
            long passed = Math.min(now() - last, WAIT_MS * TURNS_A_SECOND);
            last = now();
            owed = blows ? owed + passed * perSecond / 1e6 : 0;
            for (; owed >= 1; owed--) {
                send(to, news());
                sent++;
            }
        }
    }

    private boolean comes(DatagramPacket packet) {
        try {
            socket.receive(packet);
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            over = true;
            return false;
        }
    }

    private void heard(DatagramPacket packet) {
        try {
            swim.receive(
                    now(),
                    (InetSocketAddress) packet.getSocketAddress(),
                    wire.read(packet.getData(), Seal.OVERHEAD_BYTES, packet.getLength() - Seal.OVERHEAD_BYTES));
        } catch (IOException e) {
            over = true;
        }
    }

    private Message news() {
        List<Update> some = new ArrayList<>();
        for (int i = 0; i < RECORDS; i++) {
            int one = random.nextInt(OTHERS);
            MemberInstance life =
                    MemberInstance.of("made-up-" + one, one, new InetSocketAddress(to.getAddress(), 1 + one));
            some.add(new MemberRecord(life, told++, State.ALIVE, facts()));
        }
        return new Message(Kind.GOSSIP, swim.self().instance().id(), 0, 0, 0, null, some);
    }

    @Override
    public void send(InetSocketAddress whom, Message message) {
        byte[] datagram = seal.wrap(wire.write(message));
        try {
            socket.send(new DatagramPacket(datagram, datagram.length, whom));
        } catch (IOException e) {
            // As where nobody listens there any more: a datagram that is lost.
            return;
        }
    }

    @Override
    public boolean sendRecords(String name, List<MemberRecord> records) {
        return false;
    }

    @Override
    public void memberChanged(MemberRecord before, MemberRecord now) {
        // Its own view matters to nobody.
    }

    @Override
    public void count(String what) {
        // As before.
    }

    @Override
    public void close() throws InterruptedException {
        over = true;
        thread.join();
        socket.close();
    }
}
