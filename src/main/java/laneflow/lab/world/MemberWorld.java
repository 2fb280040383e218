package laneflow.lab.world;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import laneflow.membership.decision.MemberInstance;
import laneflow.membership.decision.MemberMetadata;
import laneflow.membership.decision.Message;
import laneflow.membership.decision.MessageCodec;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.State;
import laneflow.membership.decision.Swim;
import laneflow.membership.decision.Times;
import laneflow.membership.decision.Update;

/**
 * A fleet in virtual time: the members' own classes, and a network in memory that loses, delays, doubles and
 * cuts. Nothing waits: a minute of a thousand members takes seconds. The same seed gives the same day.
 */
public final class MemberWorld {
    private static final long START = 1_000_000;
    private static final int BUFFER = 512;
    private static final int PORT = 7000;
    private static final long FIRST_GENERATION = 1_700_000_000_000L;

    /** Something to happen; a wake-up where there is no message. */
    private record Event(long at, long order, int to, int life, InetSocketAddress from, Message message) {}

    private final class Node implements Swim.Environment {
        private final int number;
        private final int life;
        private final Swim swim;
        private final ArrayDeque<Event> buffer = new ArrayDeque<>();
        private boolean stalled;
        private long wakeAt = Long.MAX_VALUE;
        private final Map<String, Integer> counts = new HashMap<>();

        private Node(int number, int life, String name, List<InetSocketAddress> seeds) {
            this.number = number;
            this.life = life;
            swim = new Swim(
                    MemberInstance.of(name, FIRST_GENERATION + clockWrong + now / 1000 + life, address(number)),
                    facts(number),
                    seeds,
                    times,
                    wire,
                    random.nextLong(),
                    now,
                    this);
        }

        @Override
        public void send(InetSocketAddress to, Message message) {
            transmit(number, to, message);
        }

        @Override
        public boolean sendRecords(String name, List<Update.MemberRecord> records) {
            return false;
        }

        @Override
        public void memberChanged(Update.MemberRecord before, Update.MemberRecord after) {
            changes.changed(number, before, after);
        }

        @Override
        public void count(String what) {
            counts.merge(what, 1, Integer::sum);
        }
    }

    /** Told of each change of a member's view. */
    public interface ChangeListener {
        void changed(int by, Update.MemberRecord before, Update.MemberRecord now);
    }

    private final Times times;
    private final MessageCodec wire = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Node[] nodes;
    private final int[] lives;
    private final Map<InetSocketAddress, Integer> at = new HashMap<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private long now = START;
    private long order;
    private long clockWrong;
    private long sent;
    private long bytes;
    private int most;
    private double lost;
    private double doubled;
    private long delay = 200;
    private long jitter = 300;
    private Partition cut = (from, to) -> false;
    private ChangeListener changes = (by, before, after) -> {};

    /** Whether nothing gets from one to the other. */
    public interface Partition {
        boolean holds(int from, int to);
    }

    /** A world of so many places, at none of which anybody lives yet. */
    public MemberWorld(int places, Times times, long seed) {
        this.times = times;
        random = new SplittableRandom(seed);
        nodes = new Node[places];
        lives = new int[places];
        for (int i = 0; i < places; i++) {
            try {
                addresses.add(new InetSocketAddress(
                        InetAddress.getByAddress(new byte[] {10, (byte) (i >> 16), (byte) (i >> 8), (byte) i}), PORT));
            } catch (UnknownHostException e) {
                throw new IllegalStateException("four bytes are an address", e);
            }
            at.put(addresses.get(i), i);
        }
    }

    private static MemberMetadata facts(int number) {
        return new MemberMetadata("zone-" + number % 3, "1.0", null, 7, MemberMetadata.Condition.READY, 3, 5, false);
    }

    public InetSocketAddress address(int i) {
        return addresses.get(i);
    }

    public long now() {
        return now;
    }

    public int size() {
        return nodes.length;
    }

    // ---- what happens to members ----

    /** Starts a member at that place, which knows these places; the same name at the same place. */
    public void start(int i, int... seeds) {
        startAs(i, "n" + i, seeds);
    }

    /** The same by a clock that goes wrong by so much. */
    public void startWithClock(int i, long wrongMs, int... seeds) {
        clockWrong = wrongMs;
        start(i, seeds);
        clockWrong = 0;
    }

    /** The same by another name. */
    public void startAs(int i, String name, int... seeds) {
        List<InetSocketAddress> known = new ArrayList<>();
        for (int seed : seeds) {
            known.add(addresses.get(seed));
        }
        nodes[i] = new Node(i, ++lives[i], name, known);
        wake(nodes[i]);
    }

    /** It is gone, and says nothing. */
    public void crash(int i) {
        nodes[i] = null;
    }

    /** It says that it goes, and is gone a little later. */
    public void leave(int i) {
        Node node = nodes[i];
        node.swim.leave(now);
        wake(node);
        run(now + 4 * times.gossipInterval());
        nodes[i] = null;
    }

    /** It stands still; what comes waits, up to a bound. */
    public void stall(int i) {
        nodes[i].stalled = true;
    }

    public void resume(int i) {
        Node node = nodes[i];
        if (node == null || !node.stalled) {
            return;
        }
        node.stalled = false;
        // Its timers are overdue and its socket is full: either may be seen to first.
        if (random.nextBoolean()) {
            node.swim.tick(now);
        }
        while (!node.buffer.isEmpty()) {
            Event one = node.buffer.poll();
            node.swim.receive(now, one.from, one.message);
        }
        node.swim.tick(now);
        wake(node);
    }

    public void updateMetadata(int i, MemberMetadata facts) {
        nodes[i].swim.updateMetadata(now, facts);
        wake(nodes[i]);
    }

    public boolean isUp(int i) {
        return nodes[i] != null;
    }

    public boolean isRunning(int i) {
        return nodes[i] != null && !nodes[i].stalled;
    }

    public Swim swim(int i) {
        return nodes[i].swim;
    }

    public int count(int i, String what) {
        return nodes[i] == null ? 0 : nodes[i].counts.getOrDefault(what, 0);
    }

    // ---- the network ----

    /** Shares of datagrams, and microseconds. */
    public void network(double lostShare, double doubledShare, long delayUs, long jitterUs) {
        lost = lostShare;
        doubled = doubledShare;
        delay = delayUs;
        jitter = jitterUs;
    }

    public void cut(Partition between) {
        cut = between;
    }

    public void onChange(ChangeListener listener) {
        changes = listener;
    }

    /** Whose place that is. */
    public int indexOf(MemberInstance life) {
        return at.get(life.address());
    }

    /** Puts a datagram's content in, as if it came from that address. */
    public void inject(int to, InetSocketAddress from, Message message) {
        nodes[to].swim.receive(now, from, message);
        wake(nodes[to]);
    }

    private void transmit(int from, InetSocketAddress to, Message message) {
        sent++;
        int size = wire.maxSize(message) + Seal.OVERHEAD_BYTES;
        bytes += size;
        most = Math.max(most, size);
        Integer target = at.get(to);
        if (target == null || random.nextDouble() < lost || cut.holds(from, target)) {
            return;
        }
        int copies = random.nextDouble() < doubled ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long takes = delay + (jitter == 0 ? 0 : random.nextLong(jitter));
            events.add(new Event(now + takes, order++, target, -1, addresses.get(from), message));
        }
    }

    // ---- running ----

    private void wake(Node node) {
        long next = Math.max(now, node.swim.nextTick());
        if (next < node.wakeAt || node.wakeAt <= now) {
            node.wakeAt = next;
            events.add(new Event(next, order++, node.number, node.life, null, null));
        }
    }

    /** Runs until that instant. */
    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            step(events.poll());
        }
        now = Math.max(now, until);
    }

    /** Runs for so many microseconds. */
    public void runFor(long span) {
        run(now + span);
    }

    /** Runs until it holds, looked at so often; how long that took, or -1 if not within the span. */
    public long runUntil(BooleanSupplier holds, long within, long every) {
        long from = now;
        while (now - from <= within) {
            if (holds.getAsBoolean()) {
                return now - from;
            }
            run(now + every);
        }
        return -1;
    }

    private void step(Event event) {
        now = Math.max(now, event.at);
        Node node = nodes[event.to];
        if (node == null || event.life >= 0 && node.life != event.life) {
            return;
        }
        if (event.message == null) {
            if (event.at != node.wakeAt) {
                return;
            }
            node.wakeAt = Long.MAX_VALUE;
            if (node.stalled) {
                return;
            }
            if (node.swim.nextTick() <= now) {
                node.swim.tick(now);
            }
        } else if (node.stalled) {
            if (node.buffer.size() < BUFFER) {
                node.buffer.add(event);
            }
            return;
        } else {
            node.swim.receive(now, event.from, event.message);
            if (node.swim.earliestTick() <= now) {
                // As a process does: it is awake anyway.
                node.swim.tick(now);
            }
        }
        wake(node);
    }

    // ---- what holds ----

    /** True if all running members that the condition picks hold the same view, of exactly these. */
    public boolean agree(IntPredicate among) {
        int members = 0;
        for (int i = 0; i < nodes.length; i++) {
            members += among.test(i) && isRunning(i) ? 1 : 0;
        }
        int digest = 0;
        boolean first = true;
        for (int i = 0; i < nodes.length; i++) {
            if (!among.test(i) || !isRunning(i)) {
                continue;
            }
            Swim swim = nodes[i].swim;
            if (swim.size() != members || !first && swim.digest() != digest) {
                return false;
            }
            digest = swim.digest();
            first = false;
        }
        return true;
    }

    /** True if all running members agree and nobody suspects anybody. */
    public boolean isSettled() {
        if (!agree(i -> true)) {
            return false;
        }
        for (Node node : nodes) {
            if (node != null && !node.stalled) {
                for (Update.MemberRecord one : node.swim.others()) {
                    if (one.state() == State.SUSPECT) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    /** Datagrams sent so far. */
    public long datagramsSent() {
        return sent;
    }

    /** Bytes of them, without the headers of IP and UDP. */
    public long bytesSent() {
        return bytes;
    }

    /** The longest. */
    public int largestDatagramBytes() {
        return most;
    }
}
