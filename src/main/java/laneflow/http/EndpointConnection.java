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

/** A connection to an endpoint. It carries one attempt or probe at a time, and is idle in between. */
final class EndpointConnection implements LinkHandler {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnection.class);
    private static final int IN_RING_BYTES = 64 * 1024;
    private static final long MICROS_PER_MS = 1000;
    /** Time within which the rest of a response, an empty chunk, must follow the line with the outcome. */
    private static final long TAIL_TIMEOUT_US = 1_000_000;

    private static final int MAX_TAIL_BYTES = 64 * 1024;
    /** Maximum length of a response, plus {@link #MAX_RESPONSE_BYTES_PER_SECOND} for each second that it lasts. */
    private static final long MAX_RESPONSE_BYTES = 1 << 20;

    private static final long MAX_RESPONSE_BYTES_PER_SECOND = 64 * 1024;
    /**
     * Minimum time for which the last byte of a request is held back, if its connection may be stale or its job
     * must not run twice. Endpoints start a job only after that byte. If the endpoint has closed the connection,
     * it answers the earlier bytes with a reset, and the job has not run. A reset takes one round trip, which
     * is estimated by the time that the connection took to open.
     */
    private static final long MIN_HOLD_US = 2_000;
    /** Maximum hold, as a share of the connect time-out: a slower connect does not measure the round trip. */
    private static final double MAX_HOLD_SHARE = 0.1;
    /** A connection idle for no longer than this is unlikely to have been closed by its endpoint. */
    private static final long FRESH_US = 50_000;
    /** Number of earlier job ids remembered; a repeated answer arrives within some milliseconds. */
    private static final int MAX_PREVIOUS_IDS = 8;
    /** Time-out of a probe: without it, unanswered probes would hold descriptors that attempts need. */
    private static final long PROBE_TIMEOUT_US = 2_000_000;

    private final HttpConnector connector;
    final Endpoint endpoint;
    final String address;
    private final Deadline timer;
    private Link link;
    private boolean connected;
    private long connectStartedAt;
    /** Time that the connection took to open. */
    private long connectMicros;
    /** When the last response was complete; 0 before the first. */
    private long idleSince;

    private Attempt attempt;
    private long probeStartedAt;
    /** The last byte of the request while it is held back, else null. */
    private byte[] heldByte;

    private EndpointResponse response;
    private HttpReader reader;
    /** Ids of the jobs sent last, earliest first: a repeated answer to one of them may still arrive. */
    private final ArrayDeque<String> previousIds = new ArrayDeque<>();
    /** A repeated answer has arrived: the connection is not used again. */
    private boolean duplicateReceived;

    private long writtenAt;
    private long responseBytes;
    private long tailBytes;
    /** The last attempt that ended here, if its outcome proves that it never ran, else null. */
    private Attempt lastUnrunAttempt;

    EndpointConnection(HttpConnector connector, Endpoint endpoint) {
        this.connector = connector;
        this.endpoint = endpoint;
        this.address = endpoint.dial;
        timer = connector.loop.deadlines().create(this::onTimeout);
    }

    // ---- called by the connector ----

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
     * Cancels the attempt; true if it can't have run. A response that has arrived but is unread is in time: it
     * is read and reported first.
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

    /** Cancels the attempt only if the request's last byte has not been sent; true if cancelled. */
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
            link.readNow();
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
     * True if the connection has been idle long enough for its endpoint to have closed it. Half of such closes
     * were noticed only after the last byte was sent, so jobs that must not run twice avoid such connections.
     */
    boolean mayBeStale() {
        return idleSince > 0 && connector.loop.micros() - idleSince > FRESH_US;
    }

    /** Reads pending input, then returns true if the connection is open: unexpected bytes close it. */
    boolean isUsable() {
        link.readNow();
        return !link.isClosed();
    }

    private boolean isIdle() {
        return attempt == null && probeStartedAt == 0;
    }

    // ---- connecting ----

    private void connectAndWrite() {
        if (connected) {
            write();
            return;
        }
        connector.count("endpoint.connects");
        connectStartedAt = connector.loop.micros();
        try {
            if (!connector.loop.hasRoom()) {
                // Nothing was sent, and the endpoint did not fail.
                connector.count("endpoint.no_room");
                connector.loop.later(() -> finish(Outcome.MOOT));
                return;
            }
            link = connector.loop.connect(Loop.parseAddress(address), IN_RING_BYTES, connector.outRingBytes(), this);
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
    public void connectFailed(Link failedLink) {
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

    /** True if a response or a close that arrived in the same turn as the time-out, still unread, settles it. */
    private boolean isSettledByUnreadInput() {
        readAvailable();
        return isIdle() || timer.isSet() || attempt != null && response.hasHead();
    }

    // ---- request ----

    private void write() {
        connector.loop.deadlines().cancel(timer);
        response = new EndpointResponse(connector.scheduler, attempt, previousIds);
        reader = new HttpReader(true, response);
        writtenAt = connector.loop.micros();
        responseBytes = 0;
        tailBytes = 0;
        heldByte = null;
        if (connector.scheduler.isDown(endpoint) || attempt != null && !connector.scheduler.maySend(attempt)) {
            // No longer allowed since the attempt was decided: nothing was sent, and the endpoint did not fail.
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

    /** Writes the request to the outgoing ring; false, with nothing written, if its deadline has passed. */
    private boolean putRequest(Payload payload) {
        String idempotencyKey = payload.repeatKey();
        int heldBytes = mayBeStale() || !connector.mayRepeat(attempt) ? 1 : 0;
        // The time left when the last byte is sent; by the current time, since a turn of the loop may be long.
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

    /** Sends the held byte after a hold without a reset, unless the attempt is no longer allowed. */
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

    /** Limits the wait for the head, except for jobs that must not run twice: they wait until the deadline. */
    private void startHeadTimer() {
        if (attempt == null) {
            startTimer(PROBE_TIMEOUT_US);
        } else if (connector.mayRepeat(attempt)) {
            // The settings' time-out for an unreachable endpoint.
            startTimer(connector.connectTimeoutMicros);
        }
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- response ----

    @Override
    public void received(Link source) {
        if (link.in.isEmpty()) {
            return;
        }
        if (isIdle() && reader.isDone()) {
            // Unexpected bytes, which could be mistaken for the next response.
            close();
            return;
        }
        try {
            readResponse();
        } catch (HttpException | IllegalArgumentException e) {
            LOG.debug("malformed response from {}: {}", endpoint, e.getMessage());
            connector.count("endpoint.malformed");
            endUnread();
            return;
        }
        link.setHandlerBytes(response.bufferedBytes());
        if (isIdle()) {
            if (reader.isDone()) {
                keepOrClose();
            }
        } else if (heldByte != null && response.hasHead()) {
            // A response before the request was complete does not belong to it.
            connector.count("endpoint.malformed");
            finish(Outcome.MOOT);
        } else if (response.outcome() != null) {
            finish(response.outcome());
        } else if (response.hasHead() && attempt != null) {
            connector.loop.deadlines().cancel(timer);
        }
    }

    /**
     * Ends the attempt without reading further. What follows a complete outcome does not change it, and an endpoint
     * that answers an incomplete request has not run it. Both must hold however the bytes are split.
     */
    private void endUnread() {
        Outcome outcome =
                heldByte != null ? Outcome.MOOT : response.outcome() != null ? response.outcome() : Outcome.ERROR;
        link.close();
        finish(outcome);
    }

    /** Ends an attempt whose request is not read by its endpoint, or whose response goes on for too long. */
    @Override
    public void giveWay(Link source) {
        connector.count("endpoint.gave_way_memory");
        if (isIdle()) {
            close();
        } else if (!link.out.isEmpty()) {
            link.close();
            finish(Outcome.MOOT);
        } else {
            endUnread();
        }
    }

    private void readResponse() throws HttpException {
        boolean afterOutcome = response.outcome() != null;
        int available = link.in.size();
        reader.read(link.in, link);
        if (reader.isDone() && response.isDuplicate()) {
            // Taken for this attempt's response, it would end a running job with the outcome of another.
            connector.count("endpoint.second_answer");
            duplicateReceived = true;
            response = new EndpointResponse(connector.scheduler, attempt, List.of());
            reader = new HttpReader(true, response);
            if (heldByte == null) {
                startHeadTimer();
            }
            reader.read(link.in, link);
        }
        responseBytes += available - link.in.size();
        tailBytes += afterOutcome ? available - link.in.size() : 0;
        double seconds = (connector.loop.micros() - writtenAt) / 1e6;
        if (responseBytes > MAX_RESPONSE_BYTES + seconds * MAX_RESPONSE_BYTES_PER_SECOND
                || tailBytes > MAX_TAIL_BYTES) {
            throw new HttpException(400, "response too long");
        }
    }

    @Override
    public void disconnected(Link brokenLink) {
        if (isIdle()) {
            close();
        } else if (isEndOfResponse() && response.outcome() != null) {
            finish(response.outcome());
        } else if (heldByte == null && link.out.isEmpty()) {
            // The whole request was sent, so the endpoint may have started the job.
            finish(Outcome.RESET);
        } else {
            // Without the last byte no endpoint starts. A stale pooled connection is no failure of its endpoint.
            connector.count("endpoint.stale");
            finish(idleSince > 0 ? Outcome.MOOT : Outcome.CONNECT_FAILED);
        }
    }

    /** True if the end of the connection is the end of the response. */
    private boolean isEndOfResponse() {
        try {
            return reader != null && reader.endOfInput();
        } catch (HttpException e) {
            return false;
        }
    }

    /** Reports the outcome after releasing the connection, which the next attempt may use. */
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

    /** Keeps the connection for reuse if its response is complete, waits for the rest of one, or closes it. */
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
