package laneflow.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import laneflow.core.Attempt;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Endpoint;
import laneflow.core.Payload;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to an endpoint: a call or a probe at a time, with rests between. */
final class EndpointConnection implements LinkHandler {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnection.class);
    private static final int IN_RING = 64 * 1024;
    /** Microseconds. */
    private static final long MS = 1000;
    /** What may come behind the last line, an empty chunk, comes within this time or not at all. */
    private static final long TAIL = 1_000_000;

    private static final int MOST_TAIL = 64 * 1024;
    /** Bytes of an answer that are read: so many, and so many more for each second that it lasts. */
    private static final long MOST_ANSWER = 1 << 20;

    private static final long MOST_EACH_SECOND = 64 * 1024;
    /**
     * How long a request's last byte is held back at least, in microseconds, where its connection may have
     * gone stale, or where it must not run twice. No endpoint starts before that byte, and one that has
     * closed the connection answers the bytes before it with a reset: then the job never ran. A reset takes
     * the way there and back, which is told by what the connection took to come up.
     */
    private static final long SHORTEST_HOLD = 2_000;
    /** Part of the time-out for a connection beyond which a slow start of it says nothing of the way. */
    private static final double LONGEST_HOLD_PART = 0.1;
    /** A connection used that lately has hardly been closed by its endpoint. */
    private static final long FRESH = 50_000;
    /** Ids remembered of jobs sent on a connection: a second answer comes some milliseconds late. */
    private static final int MOST_REMEMBERED = 8;
    /** A probe has ended by then: unanswered for ever, each would keep a descriptor that calls need. */
    private static final long PROBE = 2_000_000;

    private final HttpConnector connector;
    final Endpoint endpoint;
    final String dial;
    private final Deadline timer;
    private Link link;
    private boolean up;
    private long begunAt;
    /** Microseconds that it took to come up. */
    private long cameUpIn;
    /** When its last answer was whole; 0 before the first. */
    private long restedAt;

    private Attempt call;
    private long probeAt;
    /** The request's last byte, while it is held back. */
    private byte[] held;

    private Answer answer;
    private HttpReader reader;
    /** The ids of the jobs sent on it last, the earliest first: a second answer to one may still come. */
    private final ArrayDeque<String> before = new ArrayDeque<>();
    /** A second answer has come on it: it is used no more. */
    private boolean strayed;

    private long writtenAt;
    private long taken;
    private long tail;
    /** The call that ended on it last, if its end proves that it never ran, or null. */
    private Attempt endedUnrun;

    EndpointConnection(HttpConnector connector, Endpoint endpoint) {
        this.connector = connector;
        this.endpoint = endpoint;
        this.dial = endpoint.dial;
        timer = connector.loop.deadlines().create(this::timeOut);
    }

    // ---- what the connector asks of it ----

    void begin(Attempt given) {
        call = given;
        call.attachment = this;
        begin();
    }

    void probe() {
        probeAt = connector.loop.micros();
        begin();
    }

    /**
     * Nobody is to wait for the call any more; true if it can't have run. An answer that is there, unread, is
     * read first, and told: it was in time.
     */
    boolean giveUp(Attempt given) {
        if (call == given) {
            readWhatIsThere();
        }
        if (call != given) {
            return endedUnrun == given;
        }
        boolean unsent = isUnsent();
        call = null;
        shut();
        return unsent;
    }

    /** The same for a call whose endpoint has not got the request's last byte; another goes on. */
    boolean giveUpUnsent(Attempt given) {
        boolean unsent = call == given && isUnsent();
        if (unsent) {
            call = null;
            shut();
        }
        return unsent;
    }

    private long hold() {
        long longest = (long) (LONGEST_HOLD_PART * connector.connectTimeout);
        return Math.max(SHORTEST_HOLD, Math.min(longest, cameUpIn));
    }

    private boolean isUnsent() {
        return !up || held != null || !link.out.isEmpty();
    }

    private void readWhatIsThere() {
        if (up) {
            link.readNow();
        }
    }

    void shut() {
        connector.loop.deadlines().cancel(timer);
        connector.forget(this);
        if (link != null) {
            link.close();
        }
    }

    /**
     * Idle for a while: its endpoint may have closed it unheard. Half of those that had been closed broke
     * only behind the last byte, so what must not run twice is sent on no such connection.
     */
    boolean mayBeStale() {
        return restedAt > 0 && connector.loop.micros() - restedAt > FRESH;
    }

    /** True if it is still up, with nothing there that nobody asked for: what came unread is read first. */
    boolean isSound() {
        link.readNow();
        return !link.isClosed();
    }

    private boolean isResting() {
        return call == null && probeAt == 0;
    }

    // ---- coming up ----

    private void begin() {
        if (up) {
            write();
            return;
        }
        connector.count("endpoint.connects");
        begunAt = connector.loop.micros();
        try {
            if (!connector.loop.hasRoom()) {
                // Nothing was sent, and the endpoint is not to blame.
                connector.count("endpoint.no_room");
                connector.loop.later(() -> finish(Outcome.MOOT));
                return;
            }
            link = connector.loop.connect(Loop.parseAddress(dial), IN_RING, connector.outRing(), this);
            expect(connector.connectTimeout);
        } catch (IllegalArgumentException e) {
            LOG.warn("{}: {}", endpoint, e.getMessage());
            connector.loop.later(() -> finish(Outcome.CONNECT_FAILED));
        }
    }

    private void expect(long within) {
        connector.loop.deadlines().set(timer, connector.loop.micros() + within);
    }

    @Override
    public void opened(Link opened) {
        up = true;
        cameUpIn = connector.loop.micros() - begunAt;
        write();
    }

    @Override
    public void connectFailed(Link gone) {
        finish(Outcome.CONNECT_FAILED);
    }

    private void timeOut() {
        if (isResting()) {
            shut();
        } else if (!up) {
            finish(Outcome.CONNECT_FAILED);
        } else if (!isSettledByWhatIsThere()) {
            if (held != null) {
                release();
            } else {
                connector.count("endpoint.silent");
                finish(Outcome.TIMEOUT);
            }
        }
    }

    /** In one turn with the time-out an answer or a close may have come: unread, it still was the first. */
    private boolean isSettledByWhatIsThere() {
        readWhatIsThere();
        return isResting() || timer.isSet() || call != null && answer.hasHead();
    }

    // ---- a request ----

    private void write() {
        connector.loop.deadlines().cancel(timer);
        answer = new Answer(connector.scheduler, call, before);
        reader = new HttpReader(true, answer);
        writtenAt = connector.loop.micros();
        taken = 0;
        tail = 0;
        held = null;
        if (connector.scheduler.isDown(endpoint) || call != null && !connector.scheduler.maySend(call)) {
            // Forbidden since it was decided: nothing has been written, and the endpoint is not to blame.
            finish(Outcome.MOOT);
            return;
        }
        if (call == null) {
            link.out.put(ascii("GET /stats HTTP/1.1\r\nHost: " + dial + "\r\n\r\n"));
        } else if (!request(call.request.payload)) {
            connector.count("endpoint.no_time");
            finish(Outcome.MOOT);
            return;
        }
        link.flush();
        if (held != null) {
            expect(hold());
        } else {
            expectHead();
        }
    }

    /** Puts the request in the outgoing ring; false, with nothing put, if its client's time is over. */
    private boolean request(Payload payload) {
        String key = payload.repeatKey();
        int hold = mayBeStale() || !connector.mayRepeat(call) ? 1 : 0;
        // Counted anew, since a turn may last, and from when the last byte goes out.
        long left = (call.request.deadline - connector.loop.currentMicros() - hold * hold()) / MS;
        if (left <= 0) {
            return false;
        }
        byte[] head = ascii(payload.verb() + " " + payload.target() + " HTTP/1.1\r\nHost: " + dial
                + "\r\nReq-Id: " + payload.requestId() + "\r\nReq-Deadline-Ms: " + left + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + "Content-Length: " + payload.body().length + "\r\n\r\n");
        byte[] last = payload.body().length > 0 ? payload.body() : head;
        if (last != head) {
            link.out.put(head);
        }
        link.out.put(last, 0, last.length - hold);
        held = hold == 0 ? null : Arrays.copyOfRange(last, last.length - 1, last.length);
        return true;
    }

    /** Nothing speaks against the connection: the request's last byte goes out, unless it must not now. */
    private void release() {
        if (!connector.scheduler.maySend(call)) {
            finish(Outcome.MOOT);
            return;
        }
        byte[] last = held;
        held = null;
        link.out.put(last);
        link.flush();
        expectHead();
    }

    /** A job that must not run twice waits as long as its client: it may be at work however silent it is. */
    private void expectHead() {
        if (call == null) {
            expect(PROBE);
        } else if (connector.mayRepeat(call)) {
            // The settings' word on when a path is dead.
            expect(connector.connectTimeout);
        }
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- its answer ----

    @Override
    public void received(Link from) {
        if (isResting() && reader.isDone()) {
            // Bytes nobody asked for: what would come next could not be told from them.
            shut();
            return;
        }
        try {
            read();
        } catch (HttpException | IllegalArgumentException e) {
            LOG.debug("{} sent what can't be read: {}", endpoint, e.getMessage());
            connector.count("endpoint.malformed");
            // What comes behind a whole last word takes nothing from it, and what answers a request that it
            // has not had has not run it: how the bytes were split must not decide.
            Outcome how = held != null ? Outcome.MOOT : answer.outcome() != null ? answer.outcome() : Outcome.ERROR;
            link.close();
            finish(how);
            return;
        }
        if (isResting()) {
            if (reader.isDone()) {
                rest();
            }
        } else if (held != null && answer.hasHead()) {
            // It answers what it has not had: whatever it says is not about this request.
            connector.count("endpoint.malformed");
            finish(Outcome.MOOT);
        } else if (answer.outcome() != null) {
            finish(answer.outcome());
        } else if (answer.hasHead() && call != null) {
            connector.loop.deadlines().cancel(timer);
        }
    }

    private void read() throws HttpException {
        boolean behind = answer.outcome() != null;
        int there = link.in.size();
        reader.read(link.in);
        if (reader.isDone() && answer.isStray()) {
            // Taken for this call's, it would end a job that is at work with another one's verdict.
            connector.count("endpoint.second_answer");
            strayed = true;
            answer = new Answer(connector.scheduler, call, List.of());
            reader = new HttpReader(true, answer);
            if (held == null) {
                expectHead();
            }
            reader.read(link.in);
        }
        taken += there - link.in.size();
        tail += behind ? there - link.in.size() : 0;
        double seconds = (connector.loop.micros() - writtenAt) / 1e6;
        if (taken > MOST_ANSWER + seconds * MOST_EACH_SECOND || tail > MOST_TAIL) {
            throw new HttpException(400, "an answer without end");
        }
    }

    @Override
    public void disconnected(Link gone) {
        if (isResting()) {
            shut();
        } else if (ended() && answer.outcome() != null) {
            finish(answer.outcome());
        } else if (held == null && link.out.isEmpty()) {
            // The request's last byte decides: with it the endpoint may have started.
            finish(Outcome.RESET);
        } else {
            // Without it none starts. A kept connection that has gone stale says nothing of its endpoint.
            connector.count("endpoint.stale");
            finish(restedAt > 0 ? Outcome.MOOT : Outcome.CONNECT_FAILED);
        }
    }

    /** True if the connection's end is the answer's. */
    private boolean ended() {
        try {
            return reader != null && reader.ended();
        } catch (HttpException e) {
            return false;
        }
    }

    /** Tells how the call ended, with the connection already put away: the next call may want it. */
    private void finish(Outcome how) {
        Attempt ended = call;
        long probed = probeAt;
        if (ended != null) {
            remember(ended.request.payload.requestId());
        }
        endedUnrun = connector.scheduler.mayHaveRun(how) ? null : ended;
        call = null;
        probeAt = 0;
        rest();
        if (ended != null) {
            connector.scheduler.ended(
                    ended, how, answer == null ? null : answer.result(), answer == null ? null : answer.report());
        } else if (probed > 0) {
            connector.scheduler.probed(
                    endpoint, (connector.loop.micros() - probed) / 1e6, how, answer == null ? null : answer.report());
        }
    }

    private void remember(String id) {
        before.add(id);
        if (before.size() > MOST_REMEMBERED) {
            before.remove();
        }
    }

    /** Keeps the connection for the next call if its answer is whole, else closes it. */
    private void rest() {
        if (link == null
                || link.isClosed()
                || !up
                || answer == null
                || answer.outcome() == null
                || !answer.keepsAlive()
                || strayed
                || held != null
                || !link.out.isEmpty()
                || reader.isDone()
                        && (!link.in.isEmpty()
                                || endpoint.state() != State.READY
                                || connector.scheduler.isDown(endpoint))) {
            shut();
        } else if (reader.isDone()) {
            restedAt = connector.loop.micros();
            connector.keep(this);
            expect(connector.idleLimit);
        } else {
            expect(TAIL);
        }
    }
}
