package laneflow.lab.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import laneflow.lab.standin.GearmanConnection.Packet;

/**
 * Many stand-in Gearman workers on one thread, each with two functions of a set: they sleep, grab when they
 * are woken, run for a drawn time and complete; now and then one fails, or vanishes with its job and comes
 * back. Each run is written to the ledger before anything is answered. Now and then a part of them vanishes
 * at once. The codec is the stand-ins' own, over non-blocking channels.
 */
public final class StandInWorkerGroup {
    private static final int REQUEST = 0x00524551;
    private static final int JOB_ASSIGN_ALL = GearmanConnection.JOB_ASSIGN_ALL;
    private static final int BACK_MS = 300;
    private static final int UNREAD_MS = 100;

    private final SplittableRandom random;
    private final RunLog ledger;
    private final int port;
    private final int functions;
    private final int runMs;
    private final double failing;
    private final double vanishing;
    private final Selector selector = Selector.open();
    private final PriorityQueue<TimedAction> due = new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos, b.dueNanos));
    private long noops;

    /** What a worker does at an instant. */
    private record TimedAction(long dueNanos, Runnable what) {}

    private StandInWorkerGroup(
            int port, String ledger, long seed, int functions, int runMs, double failing, double vanishing)
            throws IOException {
        this.port = port;
        this.ledger = new RunLog(Path.of(ledger));
        random = new SplittableRandom(seed);
        this.functions = functions;
        this.runMs = runMs;
        this.failing = failing;
        this.vanishing = vanishing;
    }

    /** PORT LEDGER SEED WORKERS FUNCTIONS RUN_MS FAILING VANISHING SECONDS AT_ONCE_MS. */
    public static void main(String[] args) throws IOException {
        StandInWorkerGroup crowd = new StandInWorkerGroup(
                Integer.parseInt(args[0]),
                args[1],
                Long.parseLong(args[2]),
                Integer.parseInt(args[4]),
                Integer.parseInt(args[5]),
                Double.parseDouble(args[6]),
                Double.parseDouble(args[7]));
        crowd.run(Integer.parseInt(args[3]), Long.parseLong(args[8]) * 1000, Long.parseLong(args[9]));
        System.out.println("noops=" + crowd.noops);
        System.exit(0);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void run(int workers, long forMs, long atOnceMs) throws IOException {
        List<One> all = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            all.add(new One(i));
        }
        long end = now() + forMs;
        if (atOnceMs > 0) {
            // Half of them, with what they have.
            due.add(new TimedAction(
                    now() + atOnceMs, () -> all.subList(0, workers / 2).forEach(One::vanish)));
        }
        while (now() < end) {
            while (!due.isEmpty() && due.peek().dueNanos <= now()) {
                due.poll().what.run();
            }
            long wait = due.isEmpty() ? 20 : Math.max(1, Math.min(20, due.peek().dueNanos - now()));
            selector.select(wait);
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    ((One) key.attachment()).readable();
                }
            }
            selector.selectedKeys().clear();
        }
    }

    /** One worker. */
    private final class One {
        private final int number;
        private SocketChannel channel;
        private ByteBuffer in = ByteBuffer.allocate(4096);
        private boolean alive;
        private int life;
        private String lastDone;
        private long lastDoneAt;

        One(int number) {
            this.number = number;
            connect();
        }

        private void connect() {
            if (alive) {
                return;
            }
            alive = true;
            life++;
            try {
                channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                channel.socket().setTcpNoDelay(true);
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_READ, this);
                in.clear();
                send(GearmanConnection.CAN_DO, "f" + number % functions);
                send(GearmanConnection.CAN_DO, "f" + (number * 7 + 1) % functions);
                send(GearmanConnection.PRE_SLEEP);
            } catch (IOException e) {
                vanish();
            }
        }

        private void vanish() {
            // What it still had to say is said by nobody: a second leaving would bring two back.
            if (!alive) {
                return;
            }
            alive = false;
            life++;
            try {
                if (lastDone != null && now() - lastDoneAt < UNREAD_MS) {
                    // Closed with input unread the connection is reset, and its last word may go with it.
                    ledger.write("cut", lastDone);
                }
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // It is gone either way.
                lastDone = null;
            }
            due.add(new TimedAction(now() + BACK_MS + random.nextInt(BACK_MS), this::connect));
        }

        private void readable() {
            try {
                if (!alive) {
                    return;
                }
                if (channel.read(in) < 0) {
                    vanish();
                    return;
                }
                in.flip();
                while (in.remaining() >= 12 && in.remaining() >= 12 + in.getInt(in.position() + 8)) {
                    in.getInt();
                    int type = in.getInt();
                    byte[] data = new byte[in.getInt()];
                    in.get(data);
                    take(new Packet(type, new String(data, StandardCharsets.UTF_8).split("\0", -1)));
                }
                in.compact();
            } catch (IOException e) {
                vanish();
            }
        }

        private void take(Packet packet) throws IOException {
            if (packet.type() == GearmanConnection.NOOP) {
                noops++;
                send(GearmanConnection.GRAB_JOB_ALL);
            } else if (packet.type() == GearmanConnection.NO_JOB) {
                send(GearmanConnection.PRE_SLEEP);
            } else if (packet.type() == JOB_ASSIGN_ALL) {
                String name = packet.args()[4].split(" ", 2)[0];
                ledger.write("start", name);
                int of = life;
                double draw = random.nextDouble();
                due.add(new TimedAction(now() + 1 + random.nextInt(2 * runMs), () -> end(of, packet, name, draw)));
            }
        }

        private void end(int of, Packet job, String name, double draw) {
            if (of != life) {
                return;
            }
            try {
                if (draw < vanishing) {
                    vanish();
                } else if (draw < vanishing + failing) {
                    ledger.write("failed", name);
                    send(GearmanConnection.WORK_FAIL, job.args()[0]);
                    send(GearmanConnection.GRAB_JOB_ALL);
                } else {
                    ledger.write("done", name);
                    lastDone = name;
                    lastDoneAt = now();
                    send(GearmanConnection.WORK_COMPLETE, job.args()[0], "ran " + name);
                    send(GearmanConnection.GRAB_JOB_ALL);
                }
            } catch (IOException e) {
                vanish();
            }
        }

        private void send(int type, String... args) throws IOException {
            byte[] data = String.join("\0", args).getBytes(StandardCharsets.UTF_8);
            ByteBuffer out = ByteBuffer.allocate(12 + data.length)
                    .putInt(REQUEST)
                    .putInt(type)
                    .putInt(data.length)
                    .put(data)
                    .flip();
            while (out.hasRemaining()) {
                channel.write(out);
            }
        }
    }
}
