package laneflow.gearman;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import laneflow.core.Deadlines.Deadline;
import laneflow.gearman.decision.Schedule;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.PeerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection to the Gearman front, which may act as client, worker and text protocol session alike. */
final class Peer implements LinkHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Peer.class);
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_CLIENT_ID_LENGTH = 128;
    /** Replies per connection that may wait for the store before reads are held. */
    private static final int MAX_PENDING_REPLIES = 4096;
    /**
     * Time from connect to the first complete packet, and from the first to the last byte of any later one,
     * not restarted by received bytes. There is no limit between packets, where a worker may be silent.
     */
    private static final long PACKET_TIMEOUT_MICROS = 2_000_000;
    /** How long a time-out waits for packets that are handled in a later turn. */
    private static final long DEFERRED_RETRY_MICROS = 20_000;
    /** Packets above this size get more time, at {@link #MIN_BYTES_PER_SECOND}. */
    private static final int UNEXTENDED_BYTES = 64 * 1024;

    private static final int MIN_BYTES_PER_SECOND = 256 * 1024;

    private final GearmanFront front;
    private Link link;
    private long slot;
    private String clientId = "-";
    private final Deadline packetTimer;
    private boolean packetIncomplete = true;
    private boolean timeoutExtended;
    private long packetStartMicros;
    /** Orders connections accepted in the same loop turn, which share a timestamp. */
    private final long sequence;
    /** Replies in request order, held while the first is not complete. */
    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();

    private long pendingReplyBytes;

    Worker worker;
    /** Foreground jobs whose results this client waits for. */
    final Set<Job> awaitedJobs = new LinkedHashSet<>();

    boolean wantsExceptions;

    Peer(GearmanFront front, long sequence) {
        this.front = front;
        this.sequence = sequence;
        packetTimer = front.loop.deadlines().create(this::packetTimedOut);
    }

    @Override
    public void opened(Link opened) {
        link = opened;
        slot = front.add(this);
        worker = new Worker(front, this, "gearman-" + Long.toHexString(slot));
        startPacketTimer();
    }

    private void startPacketTimer() {
        packetIncomplete = true;
        packetStartMicros = front.loop.micros();
        front.loop.deadlines().set(packetTimer, packetStartMicros + PACKET_TIMEOUT_MICROS);
    }

    /** Extends the timeout of a large packet by the time its size takes at the minimum rate. */
    private void extendTimeout(long bytes) {
        if (bytes > UNEXTENDED_BYTES && !timeoutExtended && link.in.byteAt(0) == 0) {
            timeoutExtended = true;
            front.loop
                    .deadlines()
                    .set(
                            packetTimer,
                            packetStartMicros + PACKET_TIMEOUT_MICROS + bytes * 1_000_000 / MIN_BYTES_PER_SECOND);
        }
    }

    private void packetComplete() {
        timeoutExtended = false;
        packetIncomplete = false;
        front.loop.deadlines().cancel(packetTimer);
    }

    private void packetTimedOut() {
        if (link.isInputWaiting()) {
            // A whole packet may have come, which is to be handled.
            front.loop.deadlines().set(packetTimer, front.loop.micros() + DEFERRED_RETRY_MICROS);
            return;
        }
        front.scheduler.counters().add("gearman.slow_packet");
        disconnect();
    }

    /** True while a packet is partly received or the first one is awaited. */
    boolean isPacketIncomplete() {
        return packetIncomplete;
    }

    boolean startedBefore(Peer other) {
        return packetStartMicros != other.packetStartMicros
                ? packetStartMicros < other.packetStartMicros
                : sequence < other.sequence;
    }

    void disconnect() {
        link.close();
        disconnected(link);
    }

    /** Whether the peer is still there; packets that are read to find out are handled after the current event. */
    PeerState peerState() {
        long before = link.in.size();
        PeerState state = link.peerState();
        if (link.in.size() > before) {
            front.loop.later(() -> received(link));
        }
        return state;
    }

    boolean isFlushed() {
        return link.out.isEmpty() && pendingReplies.isEmpty();
    }

    void send(int type, Object... arguments) {
        enqueue(Packet.response(type, arguments));
    }

    /** A reply that is completed later; replies sent meanwhile wait behind it, in order. */
    final class PendingReply {
        private byte[] packet;

        private void setPacket(byte[] complete) {
            packet = complete;
            pendingReplyBytes += complete.length;
        }

        void complete(int type, Object... arguments) {
            setPacket(Packet.response(type, arguments));
            while (!pendingReplies.isEmpty() && pendingReplies.peek().packet != null) {
                byte[] next = pendingReplies.poll().packet;
                pendingReplyBytes -= next.length;
                write(next);
            }
            updateHeldBytes();
            if (pendingReplies.size() < MAX_PENDING_REPLIES / 2) {
                link.resumeReads();
            }
            link.flush();
        }
    }

    /** Reserves the place of a reply. Reads are held while too many replies are pending. */
    PendingReply reserveReply() {
        PendingReply reply = new PendingReply();
        pendingReplies.add(reply);
        if (pendingReplies.size() >= MAX_PENDING_REPLIES) {
            link.suspendReads();
        }
        return reply;
    }

    private void enqueue(byte[] packet) {
        if (!pendingReplies.isEmpty()) {
            PendingReply reply = new PendingReply();
            reply.setPacket(packet);
            pendingReplies.add(reply);
            updateHeldBytes();
            return;
        }
        write(packet);
        if (!link.isClosed()) {
            link.flush();
        }
    }

    /** Counts what is held for this connection beside the rings: replies, and what its worker holds. */
    void updateHeldBytes() {
        link.setHandlerBytes(pendingReplyBytes + worker.heldBytes());
    }

    /** Ends the connection: its peer reads no replies, or sends a packet or a result that there is no memory for. */
    @Override
    public void giveWay(Link source) {
        front.scheduler.counters().add("gearman.gave_way_memory");
        if (link.out.isEmpty()) {
            closeAfterError("OUT_OF_MEMORY", "no memory is left for what this connection sends");
        } else {
            disconnect();
        }
    }

    /** Ends a connection of which nothing more can be read. */
    private void closeAfterError(String code, String text) {
        error(code, text);
        link.endOutputWhenFlushed();
        front.loop.later(() -> disconnected(link));
    }

    private void write(byte[] packet) {
        if (link.isClosed()) {
            return;
        }
        if (!link.out.put(packet)) {
            // A peer that does not read its replies is disconnected, so that they do not fill the memory.
            LOG.warn("closing Gearman connection of {}: output buffer full, peer does not read its replies", clientId);
            front.scheduler.counters().add("gearman.slow_reader");
            link.close();
            front.loop.later(() -> disconnected(link));
        }
    }

    void error(String code, String text) {
        send(Packet.ERROR, code, text);
    }

    /** The connection's line in the reply to 'workers', which lists every connection as gearmand does. */
    String describe() {
        return link.handle() + " " + link.peerHost() + " " + clientId + " :" + worker.describeFunctions() + "\n";
    }

    @Override
    public void received(Link from) {
        try {
            while (!link.in.isEmpty() && !link.isClosed() && link.mayHandleNext()) {
                if (link.in.byteAt(0) != 0) {
                    if (!handleLine()) {
                        break;
                    }
                    packetComplete();
                    continue;
                }
                Packet packet = Packet.read(link.in, front.config.maxBodyBytes + Packet.MAX_NAMES_BYTES);
                if (packet == null) {
                    break;
                }
                packetComplete();
                handlePacket(packet);
            }
            if (!link.in.isEmpty() && !link.isClosed()) {
                if (!packetIncomplete) {
                    startPacketTimer();
                }
                extendTimeout(Packet.announcedBytes(link.in));
            }
        } catch (Packet.MalformedPacket e) {
            // The start of the next packet is unknown.
            front.scheduler.counters().add("gearman.malformed");
            LOG.debug("{}: {}", clientId, e.getMessage());
            closeAfterError("MALFORMED", e.getMessage());
        }
    }

    private boolean handleLine() throws Packet.MalformedPacket {
        int end = link.in.indexOf((byte) '\n', 0);
        if (end < 0) {
            if (link.in.size() > MAX_LINE_BYTES) {
                throw new Packet.MalformedPacket("neither a packet nor a line");
            }
            return false;
        }
        byte[] line = new byte[end + 1];
        link.in.take(line, 0, line.length);
        String reply = front.adminCommands.execute(new String(line, StandardCharsets.UTF_8));
        enqueue(reply.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private void handlePacket(Packet packet) throws Packet.MalformedPacket {
        if (!handleClientPacket(packet) && !handleWorkerPacket(packet)) {
            front.scheduler.counters().add("gearman.unsupported");
            error("UNSUPPORTED", "packet type " + packet.type + " is not served here");
        }
    }

    /** Handles a packet that a client sends; false for other types. */
    private boolean handleClientPacket(Packet packet) throws Packet.MalformedPacket {
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
                front.submitScheduled(
                        this,
                        Packet.text(args[0]),
                        Packet.text(args[1]),
                        args[3],
                        () -> Schedule.parseEpochSeconds(seconds));
                break;
            case Packet.SUBMIT_JOB_SCHED:
                args = packet.arguments(8);
                byte[][] fields = args;
                front.submitScheduled(
                        this,
                        Packet.text(args[0]),
                        Packet.text(args[1]),
                        args[7],
                        () -> Schedule.nextRun(
                                Packet.text(fields[2]),
                                Packet.text(fields[3]),
                                Packet.text(fields[4]),
                                Packet.text(fields[5]),
                                Packet.text(fields[6]),
                                System.currentTimeMillis()));
                break;
            case Packet.GET_STATUS_UNIQUE:
                front.statusByUnique(this, Packet.text(packet.data()));
                break;
            case Packet.GET_STATUS:
                front.status(this, Packet.text(packet.data()));
                break;
            case Packet.ECHO_REQ:
                send(Packet.ECHO_RES, (Object) packet.data());
                break;
            case Packet.OPTION_REQ:
                setOption(Packet.text(packet.data()));
                break;
            case Packet.SET_CLIENT_ID:
                String id = Packet.text(packet.data()).replaceAll("\\s", "_");
                clientId = id.substring(0, Math.min(id.length(), MAX_CLIENT_ID_LENGTH));
                break;
            default:
                return false;
        }
        return true;
    }

    /** Handles a packet that a worker sends; false for other types. */
    private boolean handleWorkerPacket(Packet packet) throws Packet.MalformedPacket {
        byte[][] args;
        switch (packet.type) {
            case Packet.ALL_YOURS:
                // The worker uses this server only; ignored.
                break;
            case Packet.CAN_DO:
                worker.canDo(Packet.text(packet.data()), 0);
                break;
            case Packet.CAN_DO_TIMEOUT:
                args = packet.arguments(2);
                if (!Packet.text(args[1]).matches("[0-9]{1,6}")) {
                    throw new Packet.MalformedPacket("a time-out that is no number of seconds");
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
                // The only grab that libgearman's workers send.
                worker.grab(Packet.JOB_ASSIGN_ALL);
                break;
            case Packet.WORK_STATUS:
            case Packet.WORK_DATA:
            case Packet.WORK_WARNING:
            case Packet.WORK_COMPLETE:
            case Packet.WORK_EXCEPTION:
                args = packet.arguments(2);
                handleWork(packet.type, args[0], args[1]);
                break;
            case Packet.WORK_FAIL:
                handleWork(packet.type, packet.data(), new byte[0]);
                break;
            default:
                return false;
        }
        return true;
    }

    private void setOption(String name) {
        if (name.equals("exceptions")) {
            wantsExceptions = true;
            send(Packet.OPTION_RES, name);
        } else {
            error("UNKNOWN_OPTION", "option '" + name + "' is unknown");
        }
    }

    private void handleWork(int type, byte[] handle, byte[] payload) throws Packet.MalformedPacket {
        if (!worker.handleWork(type, Packet.text(handle), payload)) {
            error("JOB_NOT_FOUND", "this worker has no such job");
        }
    }

    @Override
    public void disconnected(Link closed) {
        packetComplete();
        worker.disconnected();
        front.remove(this, slot);
    }
}
