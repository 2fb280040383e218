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
 * Runs many stand-in Gearman workers on one thread, each with two functions of a set. A worker sleeps, grabs
 * jobs when a NOOP wakes it, runs each for a random time and completes it; a share of the jobs fails, and on
 * another share the worker disconnects without an answer and reconnects later. Each run is written to the run
 * log before the answer is sent. Optionally half of the workers disconnect at the same time. Packets are
 * encoded here, for non-blocking channels, independently of the front's codec.
 */
public final class StandInWorkerGroup {
    private static final int REQUEST_MAGIC = 0x00524551;
    private static final int JOB_ASSIGN_ALL = GearmanConnection.JOB_ASSIGN_ALL;
    private static final int RECONNECT_MS = 300;
    private static final int POSSIBLY_UNREAD_MS = 100;

    private final SplittableRandom random;
    private final RunLog runLog;
    private final int port;
    private final int functions;
    private final int runMs;
    private final double failureShare;
    private final double disconnectShare;
    private final Selector selector = Selector.open();
    private final PriorityQueue<TimedAction> timedActions =
            new PriorityQueue<>((a, b) -> Long.compare(a.dueMs, b.dueMs));
    private long noops;

    /** An action that is due at a time, in milliseconds of the monotonic clock. */
    private record TimedAction(long dueMs, Runnable action) {}

    private StandInWorkerGroup(
            int port,
            String runLogPath,
            long seed,
            int functions,
            int runMs,
            double failureShare,
            double disconnectShare)
            throws IOException {
        this.port = port;
        this.runLog = new RunLog(Path.of(runLogPath));
        random = new SplittableRandom(seed);
        this.functions = functions;
        this.runMs = runMs;
        this.failureShare = failureShare;
        this.disconnectShare = disconnectShare;
    }

    /** Arguments: PORT RUN_LOG SEED WORKERS FUNCTIONS RUN_MS FAILING VANISHING SECONDS AT_ONCE_MS. */
    public static void main(String[] args) throws IOException {
        StandInWorkerGroup group = new StandInWorkerGroup(
                Integer.parseInt(args[0]),
                args[1],
                Long.parseLong(args[2]),
                Integer.parseInt(args[4]),
                Integer.parseInt(args[5]),
                Double.parseDouble(args[6]),
                Double.parseDouble(args[7]));
        group.run(Integer.parseInt(args[3]), Long.parseLong(args[8]) * 1000, Long.parseLong(args[9]));
        System.out.println("noops=" + group.noops);
        System.exit(0);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void run(int workerCount, long durationMs, long massDisconnectMs) throws IOException {
        List<Worker> workerList = new ArrayList<>();
        for (int i = 0; i < workerCount; i++) {
            workerList.add(new Worker(i));
        }
        long endMs = nowMs() + durationMs;
        if (massDisconnectMs > 0) {
            // Half of the workers disconnect, together with the jobs that they hold.
            timedActions.add(new TimedAction(
                    nowMs() + massDisconnectMs,
                    () -> workerList.subList(0, workerCount / 2).forEach(Worker::disconnect)));
        }
        while (nowMs() < endMs) {
            while (!timedActions.isEmpty() && timedActions.peek().dueMs <= nowMs()) {
                timedActions.poll().action.run();
            }
            long timeoutMs =
                    timedActions.isEmpty() ? 20 : Math.max(1, Math.min(20, timedActions.peek().dueMs - nowMs()));
            selector.select(timeoutMs);
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid()) {
                    ((Worker) key.attachment()).read();
                }
            }
            selector.selectedKeys().clear();
        }
    }

    /** A worker with a connection of its own. */
    private final class Worker {
        private final int number;
        private SocketChannel channel;
        private ByteBuffer in = ByteBuffer.allocate(4096);
        private boolean connected;
        private int connectionNumber;
        private String lastDone;
        private long lastDoneMs;

        Worker(int number) {
            this.number = number;
            connect();
        }

        private void connect() {
            if (connected) {
                return;
            }
            connected = true;
            connectionNumber++;
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
                disconnect();
            }
        }

        private void disconnect() {
            // Already disconnected: scheduling a second reconnect would open two connections.
            if (!connected) {
                return;
            }
            connected = false;
            connectionNumber++;
            try {
                if (lastDone != null && nowMs() - lastDoneMs < POSSIBLY_UNREAD_MS) {
                    // Closing a socket with unread input resets it, and the last completion may be lost.
                    runLog.write("cut", lastDone);
                }
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // The connection counts as closed all the same.
                lastDone = null;
            }
            timedActions.add(new TimedAction(nowMs() + RECONNECT_MS + random.nextInt(RECONNECT_MS), this::connect));
        }

        private void read() {
            try {
                if (!connected) {
                    return;
                }
                if (channel.read(in) < 0) {
                    disconnect();
                    return;
                }
                in.flip();
                while (in.remaining() >= 12 && in.remaining() >= 12 + in.getInt(in.position() + 8)) {
                    in.getInt();
                    int type = in.getInt();
                    byte[] data = new byte[in.getInt()];
                    in.get(data);
                    handle(new Packet(type, new String(data, StandardCharsets.UTF_8).split("\0", -1)));
                }
                in.compact();
            } catch (IOException e) {
                disconnect();
            }
        }

        private void handle(Packet packet) throws IOException {
            if (packet.type() == GearmanConnection.NOOP) {
                noops++;
                send(GearmanConnection.GRAB_JOB_ALL);
            } else if (packet.type() == GearmanConnection.NO_JOB) {
                send(GearmanConnection.PRE_SLEEP);
            } else if (packet.type() == JOB_ASSIGN_ALL) {
                String name = packet.args()[4].split(" ", 2)[0];
                runLog.write("start", name);
                int startedOnConnection = connectionNumber;
                double outcomeDraw = random.nextDouble();
                timedActions.add(new TimedAction(
                        nowMs() + 1 + random.nextInt(2 * runMs),
                        () -> finishJob(startedOnConnection, packet, name, outcomeDraw)));
            }
        }

        private void finishJob(int startedOnConnection, Packet job, String name, double outcomeDraw) {
            if (startedOnConnection != connectionNumber) {
                return;
            }
            try {
                if (outcomeDraw < disconnectShare) {
                    disconnect();
                } else if (outcomeDraw < disconnectShare + failureShare) {
                    runLog.write("failed", name);
                    send(GearmanConnection.WORK_FAIL, job.args()[0]);
                    send(GearmanConnection.GRAB_JOB_ALL);
                } else {
                    runLog.write("done", name);
                    lastDone = name;
                    lastDoneMs = nowMs();
                    send(GearmanConnection.WORK_COMPLETE, job.args()[0], "ran " + name);
                    send(GearmanConnection.GRAB_JOB_ALL);
                }
            } catch (IOException e) {
                disconnect();
            }
        }

        private void send(int type, String... args) throws IOException {
            byte[] data = String.join("\0", args).getBytes(StandardCharsets.UTF_8);
            ByteBuffer out = ByteBuffer.allocate(12 + data.length)
                    .putInt(REQUEST_MAGIC)
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
