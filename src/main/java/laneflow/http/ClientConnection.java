package laneflow.http;

import java.nio.charset.StandardCharsets;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Request;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.MessageBuffer;
import laneflow.net.PeerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A client's connection to the HTTP front. Requests are handled one at a time, in order. */
final class ClientConnection implements LinkHandler, HttpReader.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /**
     * Time from accepting a connection to the end of its first message, and from the first byte of a later
     * message to its end. Further bytes do not extend it: clients that send slowly would use up the clients'
     * share of the descriptors.
     */
    private static final long MESSAGE_TIMEOUT_US = 2_000_000;
    /** Age by which a typical client has sent its request. */
    private static final long NEW_CONNECTION_US = 200_000;
    /** Maximum idle time between messages. */
    private static final long IDLE_TIMEOUT_US = 120_000_000;
    /** How long a time-out waits for input that is handled in a later turn. */
    private static final long DEFERRED_RETRY_US = 20_000;
    /** Responses in a row that reject a message; the connection closes once what it has sent by then is answered. */
    private static final int MAX_REJECTED = 16;
    /** A response this long after the request's deadline counts as lost, an earlier one as late. */
    private static final long LOST_AFTER_US = 500_000;
    /** Time within which the client must read a response. */
    private static final long WRITE_TIMEOUT_US = 10_000_000;

    private static final String TOO_MUCH_SENT = "too much sent before an answer";

    private final HttpFront front;
    private final HttpReader reader = new HttpReader(false, this);
    private final MessageBuffer body = new MessageBuffer();
    private final Deadline timer;
    private Link link;
    private long slot;
    /** The head of the message until it has been handled, else null. */
    private HttpHead head;
    /** Whether the connection stays open after the current message. */
    private boolean keepsAlive;

    private Request request;
    /** A message has begun; also true on a new connection, whose first message is due. */
    private boolean messageBegun = true;
    /** True from the end of a message to its response, also where the front answers without the scheduler. */
    private boolean responsePending;

    private boolean reading;
    /** Input was dropped while a response was pending: nothing after the ring's content can be parsed. */
    private boolean inputDropped;
    /** When the last byte of the current message arrived. */
    private long arrivedAt;
    /**
     * While the connection is to close: offset of the end of the input that had arrived when that was first seen.
     * Messages that begin before it are still answered. Otherwise negative.
     */
    private long drainOffset = -1;
    /** A response has been sent on this connection. */
    private boolean answered;

    /** Responses in a row that rejected their messages. */
    private int rejected;

    private long waitingSince;
    /** Orders connections that were accepted at the same instant, in one turn of the loop. */
    private final long acceptOrder;

    ClientConnection(HttpFront front, long acceptOrder) {
        this.front = front;
        this.acceptOrder = acceptOrder;
        timer = front.loop.deadlines().create(this::onTimeout);
    }

    @Override
    public void opened(Link openedLink) {
        link = openedLink;
        slot = front.add(this);
        startTimer(MESSAGE_TIMEOUT_US);
    }

    private void startTimer(long timeout) {
        waitingSince = front.loop.micros();
        front.loop.deadlines().set(timer, waitingSince + timeout);
    }

    /**
     * Reads input that has just arrived; without a complete message in it, answers 408 to a partial one, else
     * closes the connection.
     */
    private void onTimeout() {
        if (isCostlyToParse()) {
            rejectCostly();
            return;
        }
        boolean wasPending = responsePending;
        if (!link.hasMessagesWaiting()) {
            link.readNow();
        }
        if (link.isClosed() || link.isOutputEnded() || timer.isSet() || responsePending && !wasPending) {
            return;
        }
        if (link.isInputWaiting()) {
            // A whole message may have come, which is to be answered.
            front.loop.deadlines().set(timer, front.loop.micros() + DEFERRED_RETRY_US);
            return;
        }
        if (messageBegun && reader.isInsideMessage(link.in)) {
            front.count("http.slow_request");
            rejectAndClose(408, "Request Timeout", "message not ended in time");
            return;
        }
        front.count(messageBegun ? "http.silent" : link.out.isEmpty() ? "http.idle_closed" : "http.slow_reader");
        closeGracefully();
    }

    /** True while a message is being read whose body takes more of the processor's time than a connection gets. */
    private boolean isCostlyToParse() {
        return link.hasMessagesWaiting() && link.isExcessive() && reader.isInsideBody();
    }

    private void rejectCostly() {
        front.count("http.costly_request");
        rejectAndClose(503, "Service Unavailable", front.retryAfterHeader(), "the body takes too long to parse");
    }

    // ---- called by the front ----

    /** True while a request is arriving, or a response is pending or not fully written. */
    boolean isBusy() {
        return !link.isOutputEnded() && (responsePending || !link.out.isEmpty() || reader.isInsideMessage(link.in));
    }

    boolean isIdle() {
        return !messageBegun && !isBusy();
    }

    /**
     * Order of eviction when there is no room for new clients, lowest first: connections whose last response
     * is sent, those without a complete message for a while, idle ones, new ones. Integer.MAX_VALUE is never
     * evicted. New connections come last because in a flood their requests are mostly on the way.
     */
    int evictionRank() {
        if (link.isOutputEnded()) {
            return 0;
        }
        if (responsePending || !link.out.isEmpty() || link.isInputWaiting() && !isCostlyToParse()) {
            return Integer.MAX_VALUE;
        }
        return !messageBegun ? 2 : front.loop.micros() - waitingSince > NEW_CONNECTION_US ? 1 : 3;
    }

    /** True if this is evicted before the other: by rank, then by the time spent waiting. */
    boolean isEvictedBefore(ClientConnection other) {
        int comparison = Integer.compare(evictionRank(), other.evictionRank());
        comparison = comparison != 0 ? comparison : Long.compare(waitingSince, other.waitingSince);
        return comparison != 0 ? comparison < 0 : acceptOrder < other.acceptOrder;
    }

    /** Closes at once without a response: the descriptor is needed, or the client reads nothing. */
    void closeNow() {
        countUnanswered();
        unregister();
        link.close();
    }

    private void countUnanswered() {
        if (link.isOutputEnded()) {
            return;
        }
        if (request != null || !link.out.isEmpty()) {
            front.count("clients.lost");
        } else if (!answered) {
            front.count("clients.closed_unanswered");
        }
    }

    /**
     * Closes between two messages: shuts down output, and discards input until the client closes too or a
     * short time is over. Closing with unread input would reset the connection, and a response still on the
     * way to the client could be lost.
     */
    private void closeGracefully() {
        if (responsePending || !link.out.isEmpty()) {
            closeNow();
            return;
        }
        countUnanswered();
        front.loop.deadlines().cancel(timer);
        link.endOutputWhenFlushed();
    }

    /**
     * Closes unless a request is pending, arriving or unread, or the connection is too recent.
     *
     * @param maxNewAge microseconds that a begun message, or a new connection, is spared
     * @param maxIdle microseconds that an idle connection is spared
     */
    void closeUnlessBusy(long maxNewAge, long maxIdle) {
        if (link.isOutputEnded() || front.loop.micros() - waitingSince < (messageBegun ? maxNewAge : maxIdle)) {
            return;
        }
        if (!isBusy()) {
            link.readNow();
        }
        if (!link.isClosed() && !link.isOutputEnded() && !isBusy() && !link.isInputWaiting()) {
            front.count("http.closed_for_drain");
            closeGracefully();
        }
    }

    /** Closes to make room for another client, unless a request has just arrived; true if closed. */
    boolean evict() {
        if (isCostlyToParse()) {
            rejectCostly();
            closeNow();
            return true;
        }
        link.readNow();
        readPending();
        if (link.isClosed()) {
            return true;
        }
        if (evictionRank() == Integer.MAX_VALUE) {
            return false;
        }
        front.count(isIdle() ? "http.idle_closed" : "http.gave_way");
        closeNow();
        return true;
    }

    /**
     * Ends what holds memory here: responses that the client does not read, requests sent ahead of a response, or a
     * message that is still arriving, which is refused. The request that is being processed holds none here.
     */
    @Override
    public void giveWay(Link source) {
        if (link.isOutputEnded()) {
            return;
        }
        front.count("http.gave_way_memory");
        if (!link.out.isEmpty()) {
            front.count("http.slow_reader");
            countUnanswered();
            link.close();
            disconnected(link);
        } else if (responsePending) {
            link.dropRing();
        } else {
            rejectAndClose(503, "Service Unavailable", front.retryAfterHeader(), "no memory left for this request");
        }
    }

    private void unregister() {
        front.remove(slot);
        front.loop.deadlines().cancel(timer);
    }

    // ---- messages ----

    @Override
    public void received(Link source) {
        // Reentrant call: a response sent while reading must not start another read.
        if (reading) {
            return;
        }
        reading = true;
        try {
            while (!responsePending
                    && !link.in.isEmpty()
                    && !link.isClosed()
                    && !link.isOutputEnded()
                    && link.mayHandleNext()) {
                reader.read(link.in, link);
                if (!reader.isDone()) {
                    break;
                }
                handleMessage();
                releaseHead();
            }
        } catch (HttpException e) {
            // The end of a malformed message is unknown, so nothing after it can be parsed.
            front.count("http.malformed");
            LOG.debug("{}: {}", e.status, e.getMessage());
            rejectAndClose(e.status, e.reason(), e.getMessage());
        } finally {
            reading = false;
        }
        if (link.hasDroppedInput() && !inputDropped) {
            inputDropped = true;
            front.count("http.too_much_at_once");
        }
        if (inputDropped && !responsePending && !link.hasMessagesWaiting() && !link.isClosed()) {
            // The remainder of the message in the ring was discarded.
            rejectAndClose(429, "Too Many Requests", TOO_MUCH_SENT);
        }
        if (!messageBegun && !responsePending && reader.isInsideMessage(link.in)) {
            messageBegun = true;
            startTimer(MESSAGE_TIMEOUT_US);
        }
    }

    /** The end of the connection must be noticed even when more requests are sent than fit in the ring. */
    @Override
    public boolean dropsInputBeyondRing() {
        return true;
    }

    /** Reads input that arrived while a response was pending. */
    private void readPending() {
        if (!link.isClosed() && !link.isOutputEnded()) {
            received(link);
        }
    }

    @Override
    public void head(HttpHead received) throws HttpException {
        head = received;
        keepsAlive = received.isKeepAlive();
        body.reset();
        updateHandlerBytes();
        String contentLength = head.header("content-length");
        if (contentLength != null && Long.parseLong(contentLength) > HttpFront.MAX_BODY_BYTES) {
            throw new HttpException(413, "body too long");
        }
        if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
            link.out.put(ascii("HTTP/1.1 100 Continue\r\n\r\n"));
            link.flush();
        }
    }

    @Override
    public void body(byte[] bytes) throws HttpException {
        if (body.size() + bytes.length > HttpFront.MAX_BODY_BYTES) {
            throw new HttpException(413, "body too long");
        }
        body.writeBytes(bytes);
        updateHandlerBytes();
    }

    private void updateHandlerBytes() {
        link.setHandlerBytes(body.capacity() + (head == null ? 0 : head.memoryBytes()));
    }

    /** The head has been handled: it is not held until the response. */
    private void releaseHead() {
        head = null;
        updateHandlerBytes();
    }

    /** Takes the body of the message, which the request holds from here on. */
    private byte[] takeBody() {
        byte[] content = body.take();
        updateHandlerBytes();
        return content;
    }

    @Override
    public void end() {
        responsePending = true;
        arrivedAt = link.lastConsumedArrival();
        // From here on the request's deadline applies.
        front.loop.deadlines().cancel(timer);
    }

    private void handleMessage() {
        if (head.methodOrVersion.equals("GET")) {
            int query = head.targetOrStatus.indexOf('?');
            front.handleGet(this, query < 0 ? head.targetOrStatus : head.targetOrStatus.substring(0, query));
        } else if (head.methodOrVersion.equals("DELETE")
                && front.durableJobs() != null
                && DurableJobHandler.isJobPath(head.targetOrStatus)) {
            front.durableJobs().handleDelete(this, head.targetOrStatus);
        } else if (!head.methodOrVersion.equals("POST")) {
            respond(405, "Method Not Allowed", "", new byte[0]);
        } else {
            byte[] content = takeBody();
            try {
                if (front.submitDurable(this, slot, head, content, arrivedAt)) {
                    return;
                }
                PeerState peer = link.peerState();
                if (peer == PeerState.ENDED) {
                    // The client has closed; disconnected() follows.
                    front.count("http.left_before_turn");
                    return;
                }
                if (peer == PeerState.UNSEEN) {
                    front.count("http.refused_unseen");
                    rejectAndClose(429, "Too Many Requests", TOO_MUCH_SENT);
                    return;
                }
                request = front.openRequest(slot, head, content, arrivedAt);
            } catch (HttpException e) {
                front.count("http.bad_request");
                String headers = e.status == 503 ? front.retryAfterHeader() : "";
                respond(e.status, e.reason(), headers, ascii(e.getMessage() + "\n"));
                return;
            }
            front.submit(request);
        }
    }

    PeerState peerState() {
        return link.peerState();
    }

    /** The settings epoch of the pending request; 0 without one. */
    int epoch() {
        return request == null ? 0 : request.epoch();
    }

    // ---- responses ----

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends the last response on a connection whose further input can't be parsed. */
    private void rejectAndClose(int status, String reason, String message) {
        rejectAndClose(status, reason, "", message);
    }

    private void rejectAndClose(int status, String reason, String headers, String message) {
        keepsAlive = false;
        body.reset();
        releaseHead();
        respond(status, reason, headers, ascii(message + "\n"));
    }

    /** Sends the response to the current message. */
    void respond(int status, String reason, String headers, byte[] content) {
        if (link.isClosed()) {
            // The client closed while a durable job was being written to disk.
            return;
        }
        answered = true;
        if (request != null) {
            long lateness = front.loop.micros() - request.deadline;
            if (lateness > 0) {
                front.count(lateness > LOST_AFTER_US ? "clients.lost" : "clients.late");
            }
            request = null;
        }
        rejected = status >= 400 && status < 500 ? rejected + 1 : 0;
        if (rejected == MAX_REJECTED) {
            front.count("http.rejected_too_often");
        }
        boolean isClosing = rejected >= MAX_REJECTED || front.closesAfterResponse();
        if (!isClosing) {
            drainOffset = -1;
        }
        boolean closes = !keepsAlive || isClosing && isDrained();
        String responseHead = "HTTP/1.1 " + status + " " + reason + "\r\n" + headers
                + "Content-Length: " + content.length + "\r\n"
                + (closes ? "Connection: close\r\n\r\n" : "\r\n");
        if (!link.out.put(ascii(responseHead)) || !link.out.put(content)) {
            // The client sends requests but reads no responses, which would accumulate in memory.
            front.count("http.slow_reader");
            closeNow();
            return;
        }
        if (closes) {
            countClose();
            // Busy until the response is written, so that the process does not exit before.
            responsePending = true;
            startTimer(WRITE_TIMEOUT_US);
            link.endOutputWhenFlushed();
            return;
        }
        responsePending = false;
        messageBegun = false;
        reader.nextMessage();
        startTimer(WRITE_TIMEOUT_US);
        link.flush();
        link.resumeReads();
        if ((!link.in.isEmpty() || link.hasDroppedInput()) && !reading) {
            // Deferred: within the call that delivers the response the scheduler has not yet recorded the end of
            // the attempt, and the endpoint would appear busy to the next request.
            front.loop.later(this::readPending);
        }
    }

    /** Counts why a response closes a connection that its client would keep, unless its messages are rejected. */
    private void countClose() {
        if (keepsAlive && rejected < MAX_REJECTED) {
            front.count(front.isFull() ? "http.closed_when_full" : "http.closed_for_drain");
        }
    }

    /** True if all input that had arrived when the connection was first to close is answered. */
    private boolean isDrained() {
        if (drainOffset < 0) {
            link.peerState();
            drainOffset = link.in.consumedBytes() + link.in.size();
        }
        while (!link.in.isEmpty() && (link.in.byteAt(0) == '\r' || link.in.byteAt(0) == '\n')) {
            // Empty lines between messages are ignored.
            link.in.skip(1);
        }
        return link.in.consumedBytes() >= drainOffset;
    }

    @Override
    public void flushed(Link flushedLink) {
        if (flushedLink.isOutputEnded()) {
            // The link has its own time-out for closing.
            front.loop.deadlines().cancel(timer);
        } else if (!responsePending && !messageBegun) {
            startTimer(IDLE_TIMEOUT_US);
        }
    }

    @Override
    public void disconnected(Link brokenLink) {
        unregister();
        if (request != null) {
            front.count("http.left_waiting");
            Request withdrawn = request;
            request = null;
            front.withdraw(withdrawn);
        }
    }
}
