package laneflow.gearman;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import laneflow.core.Deadlines.Deadline;
import laneflow.gearman.decision.Schedule;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection of the Gearman front: a client, a worker, an operator at the text protocol, or all. */
final class Peer implements LinkHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Peer.class);
    private static final int MOST_LINE = 1024;
    /** Answers that wait for the disk, at one connection. */
    private static final int MOST_OWED = 4096;
    /**
     * From the connection's coming up to its first whole packet, and from any later one's first byte to its
     * last: no byte extends it. Between packets a worker may be silent for as long as it likes.
     */
    private static final long MESSAGE = 2_000_000;
    /** Longer packets may take longer, at so many bytes a second. */
    private static final int PLAIN = 64 * 1024;

    private static final int LEAST_RATE = 256 * 1024;

    private final GearmanFront front;
    private Link link;
    private long slot;
    private String clientId = "-";
    private final Deadline timer;
    private boolean begun = true;
    private boolean allowed;
    private long since;
    /** Its place among those that came in one turn, and so at one instant. */
    private final long order;
    /** Answers in the order of what was asked, as long as the first one is not known yet. */
    private final ArrayDeque<Owed> owed = new ArrayDeque<>();

    Worker worker;
    /** Foreground jobs that it waits for. */
    final Set<Job> waiting = new LinkedHashSet<>();

    boolean wantsExceptions;

    Peer(GearmanFront front, long order) {
        this.front = front;
        this.order = order;
        timer = front.loop.deadlines().create(this::late);
    }

    @Override
    public void opened(Link up) {
        link = up;
        slot = front.add(this);
        worker = new Worker(front, this, "gearman-" + Long.toHexString(slot));
        expect();
    }

    private void expect() {
        begun = true;
        since = front.loop.micros();
        front.loop.deadlines().set(timer, since + MESSAGE);
    }

    /** A large packet has the time that its announced length takes at the least rate. */
    private void allow(long bytes) {
        if (bytes > PLAIN && !allowed && link.in.at(0) == 0) {
            allowed = true;
            front.loop.deadlines().set(timer, since + MESSAGE + bytes * 1_000_000 / LEAST_RATE);
        }
    }

    private void whole() {
        allowed = false;
        begun = false;
        front.loop.deadlines().cancel(timer);
    }

    private void late() {
        front.scheduler.counters().add("gearman.slow_packet");
        leave();
    }

    /** True while a packet has begun, or the first one is awaited. */
    boolean isBegun() {
        return begun;
    }

    boolean before(Peer other) {
        return since != other.since ? since < other.since : order < other.order;
    }

    void leave() {
        link.close();
        broken(link);
    }

    boolean isWritten() {
        return link.out.isEmpty() && owed.isEmpty();
    }

    void send(int type, Object... arguments) {
        put(Packet.response(type, arguments));
    }

    /** A packet of which the words come later; what is sent meanwhile waits behind it, in order. */
    final class Owed {
        private byte[] packet;

        void is(int type, Object... arguments) {
            packet = Packet.response(type, arguments);
            while (!owed.isEmpty() && owed.peek().packet != null) {
                write(owed.poll().packet);
            }
            if (owed.size() < MOST_OWED / 2) {
                link.resumeReads();
            }
            link.flush();
        }
    }

    /** Keeps a place for a packet. A client that asks on and on meanwhile is not read further for a while. */
    Owed owe() {
        Owed place = new Owed();
        owed.add(place);
        if (owed.size() >= MOST_OWED) {
            link.holdReads();
        }
        return place;
    }

    private void put(byte[] packet) {
        if (!owed.isEmpty()) {
            Owed place = new Owed();
            place.packet = packet;
            owed.add(place);
            return;
        }
        write(packet);
        if (!link.isClosed()) {
            link.flush();
        }
    }

    private void write(byte[] packet) {
        if (link.isClosed()) {
            return;
        }
        if (!link.out.put(packet)) {
            // It does not read what it asked for: its answers must not fill the memory.
            LOG.warn("{} does not read its answers", clientId);
            front.scheduler.counters().add("gearman.slow_reader");
            link.close();
            front.loop.later(() -> broken(link));
        }
    }

    void error(String code, String text) {
        send(Packet.ERROR, code, text);
    }

    /** Its line in the answer to 'workers', where stock servers list every connection. */
    String describe() {
        return link.handle() + " " + link.peer() + " " + clientId + " :" + worker.functions() + "\n";
    }

    @Override
    public void received(Link from) {
        try {
            while (!link.in.isEmpty() && !link.isClosed()) {
                if (link.in.at(0) != 0) {
                    if (!line()) {
                        break;
                    }
                    whole();
                    continue;
                }
                Packet packet = Packet.read(link.in, front.config.maxBodyBytes + Packet.NAMES);
                if (packet == null) {
                    break;
                }
                whole();
                take(packet);
            }
            if (!link.in.isEmpty() && !link.isClosed()) {
                if (!begun) {
                    expect();
                }
                allow(Packet.announced(link.in));
            }
        } catch (Packet.Malformed e) {
            // Where the next packet begins is not known any more.
            front.scheduler.counters().add("gearman.malformed");
            LOG.debug("{}: {}", clientId, e.getMessage());
            error("MALFORMED", e.getMessage());
            link.endWhenFlushed();
            front.loop.later(() -> broken(link));
        }
    }

    private boolean line() throws Packet.Malformed {
        int end = link.in.find((byte) '\n', 0);
        if (end < 0) {
            if (link.in.size() > MOST_LINE) {
                throw new Packet.Malformed("neither a packet nor a line");
            }
            return false;
        }
        byte[] line = new byte[end + 1];
        link.in.take(line, 0, line.length);
        String answer = front.text.answer(new String(line, StandardCharsets.UTF_8));
        put(answer.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private void take(Packet packet) throws Packet.Malformed {
        if (!servesClient(packet) && !servesWorker(packet)) {
            front.scheduler.counters().add("gearman.unsupported");
            error("UNSUPPORTED", "packet type " + packet.type + " is not served here");
        }
    }

    /** Serves a packet that a client or an administrator sends; false if it is none. */
    private boolean servesClient(Packet packet) throws Packet.Malformed {
        byte[][] args;
        switch (packet.type) {
            case Packet.SUBMIT_JOB:
            case Packet.SUBMIT_JOB_BG:
            case Packet.SUBMIT_JOB_HIGH:
            case Packet.SUBMIT_JOB_HIGH_BG:
            case Packet.SUBMIT_JOB_LOW:
            case Packet.SUBMIT_JOB_LOW_BG:
                args = packet.arguments(3);
                front.submit(this, packet.type, Packet.text(args[0]), Packet.text(args[1]), "", args[2]);
                break;
            case Packet.SUBMIT_REDUCE_JOB:
            case Packet.SUBMIT_REDUCE_JOB_BG:
                args = packet.arguments(4);
                front.submit(
                        this, packet.type, Packet.text(args[0]), Packet.text(args[1]), Packet.text(args[2]), args[3]);
                break;
            case Packet.SUBMIT_JOB_EPOCH:
                args = packet.arguments(4);
                String seconds = Packet.text(args[2]);
                front.submitLater(
                        this, Packet.text(args[0]), Packet.text(args[1]), args[3], () -> Schedule.epoch(seconds));
                break;
            case Packet.SUBMIT_JOB_SCHED:
                args = packet.arguments(8);
                byte[][] fields = args;
                front.submitLater(
                        this,
                        Packet.text(args[0]),
                        Packet.text(args[1]),
                        args[7],
                        () -> Schedule.next(
                                Packet.text(fields[2]),
                                Packet.text(fields[3]),
                                Packet.text(fields[4]),
                                Packet.text(fields[5]),
                                Packet.text(fields[6]),
                                System.currentTimeMillis()));
                break;
            case Packet.GET_STATUS_UNIQUE:
                front.statusOf(this, Packet.text(packet.data()));
                break;
            case Packet.GET_STATUS:
                front.status(this, Packet.text(packet.data()));
                break;
            case Packet.ECHO_REQ:
                send(Packet.ECHO_RES, (Object) packet.data());
                break;
            case Packet.OPTION_REQ:
                option(Packet.text(packet.data()));
                break;
            case Packet.SET_CLIENT_ID:
                clientId = Packet.text(packet.data()).replaceAll("\\s", "_");
                break;
            default:
                return false;
        }
        return true;
    }

    /** Serves a packet that a worker sends; false if it is none. */
    private boolean servesWorker(Packet packet) throws Packet.Malformed {
        byte[][] args;
        switch (packet.type) {
            case Packet.ALL_YOURS:
                // A worker that serves this server alone: nothing follows from it here.
                break;
            case Packet.CAN_DO:
                worker.canDo(Packet.text(packet.data()), 0);
                break;
            case Packet.CAN_DO_TIMEOUT:
                args = packet.arguments(2);
                if (!Packet.text(args[1]).matches("[0-9]{1,6}")) {
                    throw new Packet.Malformed("a time-out that is no number of seconds");
                }
                worker.canDo(Packet.text(args[0]), Integer.parseInt(Packet.text(args[1])));
                break;
            case Packet.CANT_DO:
                worker.cantDo(Packet.text(packet.data()));
                break;
            case Packet.RESET_ABILITIES:
                worker.reset();
                break;
            case Packet.PRE_SLEEP:
                worker.preSleep();
                break;
            case Packet.GRAB_JOB:
                worker.grab(Packet.JOB_ASSIGN);
                break;
            case Packet.GRAB_JOB_UNIQ:
                worker.grab(Packet.JOB_ASSIGN_UNIQ);
                break;
            case Packet.GRAB_JOB_ALL:
                // What libgearman's workers ask with, from their first word on.
                worker.grab(Packet.JOB_ASSIGN_ALL);
                break;
            case Packet.WORK_STATUS:
            case Packet.WORK_DATA:
            case Packet.WORK_WARNING:
            case Packet.WORK_COMPLETE:
            case Packet.WORK_EXCEPTION:
                args = packet.arguments(2);
                work(packet.type, args[0], args[1]);
                break;
            case Packet.WORK_FAIL:
                work(packet.type, packet.data(), new byte[0]);
                break;
            default:
                return false;
        }
        return true;
    }

    private void option(String name) {
        if (name.equals("exceptions")) {
            wantsExceptions = true;
            send(Packet.OPTION_RES, name);
        } else {
            error("UNKNOWN_OPTION", "option '" + name + "' is unknown");
        }
    }

    private void work(int type, byte[] handle, byte[] said) throws Packet.Malformed {
        if (!worker.work(type, Packet.text(handle), said)) {
            error("JOB_NOT_FOUND", "this worker has no such job");
        }
    }

    @Override
    public void broken(Link gone) {
        whole();
        worker.gone();
        front.remove(this, slot);
    }
}
