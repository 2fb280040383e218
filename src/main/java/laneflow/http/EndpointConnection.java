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
    private static final int IN_RING_BYTES = 64 * 1024;
    /** Microseconds. */
    private static final long MICROS_PER_MS = 1000;
    /** What may come behind the last line, an empty chunk, comes within this time or not at all. */
    private static final long TAIL_TIMEOUT_US = 1_000_000;

    private static final int MAX_TAIL_BYTES = 64 * 1024;
    /** Bytes of an answer that are read: so many, and so many more for each second that it lasts. */
    private static final long MAX_RESPONSE_BYTES = 1 << 20;

    private static final long MAX_RESPONSE_BYTES_PER_SECOND = 64 * 1024;
    /**
     * How long a request's last byte is held back at least, in microseconds, where its connection may have
     * gone stale, or where it must not run twice. No endpoint starts before that byte, and one that has
     * closed the connection answers the bytes before it with a reset: then the job never ran. A reset takes
     * the way there and back, which is told by what the connection took to come up.
     */
    private static final long MIN_HOLD_US = 2_000;
    /** Part of the time-out for a connection beyond which a slow start of it says nothing of the way. */
    private static final double MAX_HOLD_SHARE = 0.1;
    /** A connection used that lately has hardly been closed by its endpoint. */
    private static final long FRESH_US = 50_000;
    /** Ids remembered of jobs sent on a connection: a second answer comes some milliseconds late. */
    private static final int MAX_PREVIOUS_IDS = 8;
    /** A probe has ended by then: unanswered for ever, each would keep a descriptor that calls need. */
    private static final long PROBE_TIMEOUT_US = 2_000_000;

    private final HttpConnector connector;
    final Endpoint endpoint;
    final String address;
    private final Deadline timer;
    private Link link;
    private boolean connected;
    private long connectStartedAt;
    /** Microseconds that it took to come up. */
    private long connectMicros;
    /** When its last answer was whole; 0 before the first. */
    private long idleSince;

    private Attempt attempt;
    private long probeStartedAt;
    /** The request's last byte, while it is held back. */
    private byte[] heldByte;

    private EndpointResponse response;
    private HttpReader reader;
    /** The ids of the jobs sent on it last, the earliest first: a second answer to one may still come. */
    private final ArrayDeque<String> previousIds = new ArrayDeque<>();
    /** A second answer has come on it: it is used no more. */
    private boolean duplicateReceived;

    private long writtenAt;
    private long responseBytes;
    private long tailBytes;
    /** The call that ended on it last, if its end proves that it never ran, or null. */
    private Attempt lastUnrunAttempt;

    EndpointConnection(HttpConnector connector, Endpoint endpoint) {
        this.connector = connector;
        this.endpoint = endpoint;
        this.address = endpoint.dial;
        timer = connector.loop.deadlines().create(this::onTimeout);
    }

    // ---- what the connector asks of it ----

    void send(Attempt newAttempt) {
        attempt = newAttempt;
        attempt.attachment = this;
        connectAndWrite();
    }

    void probe() {
        probeStartedAt = connector.loop.micros();
        connectAndWrite();
    }

    /**
     * Nobody is to wait for the call any more; true if it can't have run. An answer that is there, unread, is
     * read first, and told: it was in time.
     */
    boolean cancel(Attempt cancelled) {
        if (attempt == cancelled) {
            readAvailable();
        }
        if (attempt != cancelled) {
            return lastUnrunAttempt == cancelled;
        }
        boolean unsent = isUnsent();
        attempt = null;
        close();
        return unsent;
    }

    /** The same for a call whose endpoint has not got the request's last byte; another goes on. */
    boolean cancelUnsent(Attempt cancelled) {
        boolean unsent = attempt == cancelled && isUnsent();
        if (unsent) {
            attempt = null;
            close();
        }
        return unsent;
    }

    private long holdMicros() {
        long longest = (long) (MAX_HOLD_SHARE * connector.connectTimeoutMicros);
        return Math.max(MIN_HOLD_US, Math.min(longest, connectMicros));
    }

    private boolean isUnsent() {
        return !connected || heldByte != null || !link.out.isEmpty();
    }

    private void readAvailable() {
        if (connected) {
            link.look();
        }
    }

    void close() {
        connector.loop.deadlines().cancel(timer);
        connector.removeIdle(this);
        if (link != null) {
            link.close();
        }
    }

    /**
     * Idle for a while: its endpoint may have closed it unheard. Half of those that had been closed broke
     * only behind the last byte, so what must not run twice is sent on no such connection.
     */
    boolean mayBeStale() {
        return idleSince > 0 && connector.loop.micros() - idleSince > FRESH_US;
    }

    /** True if it is still up, with nothing there that nobody asked for: what came unread is read first. */
    boolean isUsable() {
        link.look();
        return !link.isClosed();
    }

    private boolean isIdle() {
        return attempt == null && probeStartedAt == 0;
    }

    // ---- coming up ----

    private void connectAndWrite() {
        if (connected) {
            write();
            return;
        }
        connector.count("endpoint.connects");
        connectStartedAt = connector.loop.micros();
        try {
            if (!connector.loop.hasRoom()) {
                // Nothing was sent, and the endpoint is not to blame.
                connector.count("endpoint.no_room");
                connector.loop.later(() -> finish(Outcome.MOOT));
                return;
            }
            link = connector.loop.connect(Loop.address(address), IN_RING_BYTES, connector.outRingBytes(), this);
            startTimer(connector.connectTimeoutMicros);
        } catch (IllegalArgumentException e) {
            LOG.warn("{}: {}", endpoint, e.getMessage());
            connector.loop.later(() -> finish(Outcome.CONNECT_FAILED));
        }
    }

    private void startTimer(long timeout) {
        connector.loop.deadlines().set(timer, connector.loop.micros() + timeout);
    }

    @Override
    public void opened(Link openedLink) {
        connected = true;
        connectMicros = connector.loop.micros() - connectStartedAt;
        write();
    }

    @Override
    public void notOpened(Link failedLink) {
        finish(Outcome.CONNECT_FAILED);
    }

    private void onTimeout() {
        if (isIdle()) {
            close();
        } else if (!connected) {
            finish(Outcome.CONNECT_FAILED);
        } else if (!isSettledByUnreadInput()) {
            if (heldByte != null) {
                releaseHeldByte();
            } else {
                connector.count("endpoint.silent");
                finish(Outcome.TIMEOUT);
            }
        }
    }

    /** In one turn with the time-out an answer or a close may have come: unread, it still was the first. */
    private boolean isSettledByUnreadInput() {
        readAvailable();
        return isIdle() || timer.isSet() || attempt != null && response.hasHead();
    }

    // ---- a request ----

    private void write() {
        connector.loop.deadlines().cancel(timer);
        response = new EndpointResponse(connector.scheduler, attempt, previousIds);
        reader = new HttpReader(true, response);
        writtenAt = connector.loop.micros();
        responseBytes = 0;
        tailBytes = 0;
        heldByte = null;
        if (connector.scheduler.isDown(endpoint) || attempt != null && !connector.scheduler.maySend(attempt)) {
            // Forbidden since it was decided: nothing has been written, and the endpoint is not to blame.
            finish(Outcome.MOOT);
            return;
        }
        if (attempt == null) {
            link.out.put(latin1("GET /stats HTTP/1.1\r\nHost: " + address + "\r\n\r\n"));
        } else if (!putRequest(attempt.request.payload)) {
            connector.count("endpoint.no_time");
            finish(Outcome.MOOT);
            return;
        }
        link.flush();
        if (heldByte != null) {
            startTimer(holdMicros());
        } else {
            startHeadTimer();
        }
    }

    /** Puts the request in the outgoing ring; false, with nothing put, if its client's time is over. */
    private boolean putRequest(Payload payload) {
        String idempotencyKey = payload.repeatKey();
        int heldBytes = mayBeStale() || !connector.mayRepeat(attempt) ? 1 : 0;
        // Counted anew, since a turn may last, and from when the last byte goes out.
        long remainingMs =
                (attempt.request.deadline - connector.loop.currentMicros() - heldBytes * holdMicros()) / MICROS_PER_MS;
        if (remainingMs <= 0) {
            return false;
        }
        byte[] head = latin1(payload.verb() + " " + payload.target() + " HTTP/1.1\r\nHost: " + address
                + "\r\nReq-Id: " + payload.requestId() + "\r\nReq-Deadline-Ms: " + remainingMs + "\r\n"
                + (idempotencyKey == null ? "" : "Idempotency-Key: " + idempotencyKey + "\r\n")
                + "Content-Length: " + payload.body().length + "\r\n\r\n");
        byte[] lastPart = payload.body().length > 0 ? payload.body() : head;
        if (lastPart != head) {
            link.out.put(head);
        }
        link.out.put(lastPart, 0, lastPart.length - heldBytes);
        heldByte = heldBytes == 0 ? null : Arrays.copyOfRange(lastPart, lastPart.length - 1, lastPart.length);
        return true;
    }

    /** Nothing speaks against the connection: the request's last byte goes out, unless it must not now. */
    private void releaseHeldByte() {
        if (!connector.scheduler.maySend(attempt)) {
            finish(Outcome.MOOT);
            return;
        }
        byte[] lastByte = heldByte;
        heldByte = null;
        link.out.put(lastByte);
        link.flush();
        startHeadTimer();
    }

    /** A job that must not run twice waits as long as its client: it may be at work however silent it is. */
    private void startHeadTimer() {
        if (attempt == null) {
            startTimer(PROBE_TIMEOUT_US);
        } else if (connector.mayRepeat(attempt)) {
            // The settings' word on when a path is dead.
            startTimer(connector.connectTimeoutMicros);
        }
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- its answer ----

    @Override
    public void received(Link source) {
        if (isIdle() && reader.isDone()) {
            // Bytes nobody asked for: what would come next could not be told from them.
            close();
            return;
        }
        try {
            readResponse();
        } catch (HttpException | IllegalArgumentException e) {
            LOG.debug("{} sent what can't be read: {}", endpoint, e.getMessage());
            connector.count("endpoint.malformed");
            // What comes behind a whole last word takes nothing from it, and what answers a request that it
            // has not had has not run it: how the bytes were split must not decide.
            Outcome outcome =
                    heldByte != null ? Outcome.MOOT : response.outcome() != null ? response.outcome() : Outcome.ERROR;
            link.close();
            finish(outcome);
            return;
        }
        if (isIdle()) {
            if (reader.isDone()) {
                keepOrClose();
            }
        } else if (heldByte != null && response.hasHead()) {
            // It answers what it has not had: whatever it says is not about this request.
            connector.count("endpoint.malformed");
            finish(Outcome.MOOT);
        } else if (response.outcome() != null) {
            finish(response.outcome());
        } else if (response.hasHead() && attempt != null) {
            connector.loop.deadlines().cancel(timer);
        }
    }

    private void readResponse() throws HttpException {
        boolean afterOutcome = response.outcome() != null;
        int available = link.in.size();
        reader.read(link.in);
        if (reader.isDone() && response.isDuplicate()) {
            // Taken for this call's, it would end a job that is at work with another one's verdict.
            connector.count("endpoint.second_answer");
            duplicateReceived = true;
            response = new EndpointResponse(connector.scheduler, attempt, List.of());
            reader = new HttpReader(true, response);
            if (heldByte == null) {
                startHeadTimer();
            }
            reader.read(link.in);
        }
        responseBytes += available - link.in.size();
        tailBytes += afterOutcome ? available - link.in.size() : 0;
        double seconds = (connector.loop.micros() - writtenAt) / 1e6;
        if (responseBytes > MAX_RESPONSE_BYTES + seconds * MAX_RESPONSE_BYTES_PER_SECOND
                || tailBytes > MAX_TAIL_BYTES) {
            throw new HttpException(400, "an answer without end");
        }
    }

    @Override
    public void broken(Link brokenLink) {
        if (isIdle()) {
            close();
        } else if (isEndOfResponse() && response.outcome() != null) {
            finish(response.outcome());
        } else if (heldByte == null && link.out.isEmpty()) {
            // The request's last byte decides: with it the endpoint may have started.
            finish(Outcome.RESET);
        } else {
            // Without it none starts. A kept connection that has gone stale says nothing of its endpoint.
            connector.count("endpoint.stale");
            finish(idleSince > 0 ? Outcome.MOOT : Outcome.CONNECT_FAILED);
        }
    }

    /** True if the connection's end is the answer's. */
    private boolean isEndOfResponse() {
        try {
            return reader != null && reader.endOfInput();
        } catch (HttpException e) {
            return false;
        }
    }

    /** Tells how the call ended, with the connection already put away: the next call may want it. */
    private void finish(Outcome outcome) {
        Attempt finished = attempt;
        long probeStart = probeStartedAt;
        if (finished != null) {
            rememberId(finished.request.payload.requestId());
        }
        lastUnrunAttempt = connector.scheduler.mayHaveRun(outcome) ? null : finished;
        attempt = null;
        probeStartedAt = 0;
        keepOrClose();
        if (finished != null) {
            connector.scheduler.ended(
                    finished,
                    outcome,
                    response == null ? null : response.result(),
                    response == null ? null : response.loadReport());
        } else if (probeStart > 0) {
            connector.scheduler.probed(
                    endpoint,
                    (connector.loop.micros() - probeStart) / 1e6,
                    outcome,
                    response == null ? null : response.loadReport());
        }
    }

    private void rememberId(String id) {
        previousIds.add(id);
        if (previousIds.size() > MAX_PREVIOUS_IDS) {
            previousIds.remove();
        }
    }

    /** Keeps the connection for the next call if its answer is whole, else closes it. */
    private void keepOrClose() {
        if (link == null
                || link.isClosed()
                || !connected
                || response == null
                || response.outcome() == null
                || !response.isKeepAlive()
                || duplicateReceived
                || heldByte != null
                || !link.out.isEmpty()
                || reader.isDone()
                        && (!link.in.isEmpty()
                                || endpoint.state() != State.READY
                                || connector.scheduler.isDown(endpoint))) {
            close();
        } else if (reader.isDone()) {
            idleSince = connector.loop.micros();
            connector.addIdle(this);
            startTimer(connector.idleLimitMicros);
        } else {
            startTimer(TAIL_TIMEOUT_US);
        }
    }
}
