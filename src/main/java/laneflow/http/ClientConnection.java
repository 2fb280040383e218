package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Request;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One client's connection to the platform's front: its messages one after the other, and their answers. */
final class ClientConnection implements LinkHandler, HttpReader.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    /**
     * From a connection's coming up to its first whole message, and from any later message's first byte to
     * its last. No byte extends it: heads without end and bodies in drops would fill the clients' part.
     */
    private static final long MESSAGE_TIMEOUT_US = 2_000_000;
    /** A usual client has asked by then. */
    private static final long NEW_CONNECTION_US = 200_000;
    /** How long a kept connection may be idle between messages. */
    private static final long IDLE_TIMEOUT_US = 120_000_000;
    /** Behind a request's time its answer earns nothing; later than so long behind it, it is lost. */
    private static final long LOST_AFTER_US = 500_000;
    /** How long a client may leave an answer unread. */
    private static final long WRITE_TIMEOUT_US = 10_000_000;

    private final HttpFront front;
    private final HttpReader reader = new HttpReader(false, this);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Deadline timer;
    private Link link;
    private long slot;
    private HttpHead head;
    private Request request;
    /** A message has begun; at first one is awaited as if it had. */
    private boolean messageBegun = true;
    /** From a message's end to its answer, also where the core is not asked. */
    private boolean responsePending;

    private boolean reading;
    /** More than is kept came while an answer was owed: nothing can be read behind what is in the ring. */
    private boolean inputDropped;
    /** When the present message's last byte came. */
    private long arrivedAt;
    /**
     * Once its clients are sent away: the running number of the byte behind what had come in then. What
     * begins before it is still answered; negative before that.
     */
    private long drainOffset = -1;
    /** Something has been answered on it. */
    private boolean answered;

    private long waitingSince;
    /** Its place among those that came in one turn, and so at one instant. */
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

    /** Its time is over: with something to answer it hears so, else it ends; what came just now is read. */
    private void onTimeout() {
        boolean wasPending = responsePending;
        link.look();
        if (link.isClosed() || link.isEnded() || timer.isSet() || responsePending && !wasPending) {
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

    // ---- what the front may do with it ----

    /** The connection holds a request whose answer is not wholly written, or one that is coming in. */
    boolean isBusy() {
        return !link.isEnded() && (responsePending || !link.out.isEmpty() || reader.isInsideMessage(link.in));
    }

    boolean isIdle() {
        return !messageBegun && !isBusy();
    }

    /**
     * How soon it gives way when there is no room, the lowest first: what has its answer, what has said
     * nothing whole for a while, what is kept idle, what has only just come. Above that it does not. In a
     * flood the newest are mostly clients whose request is on its way.
     */
    int evictionRank() {
        if (link.isEnded()) {
            return 0;
        }
        if (responsePending || !link.out.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        return !messageBegun ? 2 : front.loop.micros() - waitingSince > NEW_CONNECTION_US ? 1 : 3;
    }

    /** True if it gives way before the other one: by rank, and in a rank who is in it for longer. */
    boolean isEvictedBefore(ClientConnection other) {
        int comparison = Integer.compare(evictionRank(), other.evictionRank());
        comparison = comparison != 0 ? comparison : Long.compare(waitingSince, other.waitingSince);
        return comparison != 0 ? comparison < 0 : acceptOrder < other.acceptOrder;
    }

    /** Closes it at once, with nothing more said: where its descriptor is needed, or it reads nothing. */
    void closeNow() {
        countUnanswered();
        unregister();
        link.close();
    }

    private void countUnanswered() {
        if (link.isEnded()) {
            return;
        }
        if (request != null || !link.out.isEmpty()) {
            front.count("clients.lost");
        } else if (!answered) {
            front.count("clients.closed_unanswered");
        }
    }

    /**
     * Ends it between two messages: stops sending, and passes over what still comes, until the other side has
     * ended too or a short time is over. Closed over unread bytes, it would be reset, and what is on its way
     * to the client might be lost.
     */
    private void closeGracefully() {
        if (responsePending || !link.out.isEmpty()) {
            closeNow();
            return;
        }
        countUnanswered();
        front.loop.deadlines().cancel(timer);
        link.endWhenFlushed();
    }

    /** Ends it unless a request is there, or about to be read, or it has come or been used only just. */
    void closeUnlessBusy(long maxNewAge, long maxIdle) {
        if (link.isEnded() || front.loop.micros() - waitingSince < (messageBegun ? maxNewAge : maxIdle)) {
            return;
        }
        if (!isBusy()) {
            link.look();
        }
        if (!link.isClosed() && !link.isEnded() && !isBusy()) {
            closeGracefully();
        }
    }

    /** Makes room for another client, unless a request has come on it just now; true if there is room. */
    boolean evict() {
        link.look();
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

    private void unregister() {
        front.remove(slot);
        front.loop.deadlines().cancel(timer);
    }

    // ---- messages ----

    @Override
    public void received(Link source) {
        // An answer given while reading must not read on from within itself.
        if (reading) {
            return;
        }
        reading = true;
        try {
            while (!responsePending && !link.in.isEmpty() && !link.isClosed() && !link.isEnded()) {
                reader.read(link.in);
                if (!reader.isDone()) {
                    break;
                }
                handleMessage();
            }
        } catch (HttpException e) {
            // Where a message that can't be read ends is not known: nothing behind it can be read either.
            front.count("http.malformed");
            LOG.debug("{}: {}", e.status, e.getMessage());
            rejectAndClose(e.status, e.reason(), e.getMessage());
        } finally {
            reading = false;
        }
        if (link.hasDropped() && !inputDropped) {
            inputDropped = true;
            front.count("http.too_much_at_once");
        }
        if (inputDropped && !responsePending && !link.isClosed()) {
            // The rest of what is in the ring has not been kept.
            rejectAndClose(429, "Too Many Requests", "too much sent before an answer");
        }
        if (!messageBegun && !responsePending && reader.isInsideMessage(link.in)) {
            messageBegun = true;
            startTimer(MESSAGE_TIMEOUT_US);
        }
    }

    /** Behind more requests than are kept the end of the connection must still be seen. */
    @Override
    public boolean dropsBeyondRing() {
        return true;
    }

    /** Reads what came in while an answer was owed. */
    private void readPending() {
        if (!link.isClosed() && !link.isEnded()) {
            received(link);
        }
    }

    @Override
    public void head(HttpHead received) throws HttpException {
        head = received;
        body.reset();
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
    }

    @Override
    public void end() {
        responsePending = true;
        arrivedAt = link.arrivalOfLastTaken();
        // From here on the request's own deadline runs.
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
            try {
                if (front.submitDurable(this, slot, head, body.toByteArray(), arrivedAt)) {
                    return;
                }
                if (link.hasPeerEnded()) {
                    // Its client has gone and waits for nothing: the link tells so in a moment.
                    front.count("http.left_before_turn");
                    return;
                }
                request = front.openRequest(slot, head, body.toByteArray(), arrivedAt);
            } catch (HttpException e) {
                front.count("http.bad_request");
                respond(e.status, e.reason(), "", ascii(e.getMessage() + "\n"));
                return;
            }
            front.submit(request);
        }
    }

    boolean hasPeerEnded() {
        return link.hasPeerEnded();
    }

    /** Which state of the settings its request came under. */
    int epoch() {
        return request == null ? 0 : request.epoch();
    }

    // ---- answers ----

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** The last answer on a connection on which nothing further can be read. */
    private void rejectAndClose(int status, String reason, String message) {
        head = null;
        respond(status, reason, "", ascii(message + "\n"));
    }

    /** The request's answer. */
    void respond(int status, String reason, String headers, byte[] content) {
        if (link.isClosed()) {
            // It left before the disk had spoken.
            return;
        }
        answered = true;
        if (request != null) {
            long lateness = front.loop.micros() - request.deadline;
            if (lateness > 0) {
                front.count(lateness > LOST_AFTER_US ? "clients.lost" : "clients.late");
            }
            front.releaseId(request);
            request = null;
        }
        if (!front.closesAfterResponse()) {
            drainOffset = -1;
        }
        boolean closes = head == null || !head.isKeepAlive() || front.closesAfterResponse() && isDrained();
        String responseHead = "HTTP/1.1 " + status + " " + reason + "\r\n" + headers
                + "Content-Length: " + content.length + "\r\n"
                + (closes ? "Connection: close\r\n\r\n" : "\r\n");
        if (!link.out.put(ascii(responseHead)) || !link.out.put(content)) {
            // It asks on and on and reads nothing: its answers must not fill the memory.
            front.count("http.slow_reader");
            closeNow();
            return;
        }
        if (closes) {
            // Until it is written out it stays owed: the program must not end before.
            responsePending = true;
            startTimer(WRITE_TIMEOUT_US);
            link.endWhenFlushed();
            return;
        }
        responsePending = false;
        messageBegun = false;
        reader.nextMessage();
        startTimer(WRITE_TIMEOUT_US);
        link.flush();
        link.resumeReads();
        if (!link.in.isEmpty() && !reading) {
            // Not from within the call that brought the answer: the core has yet to hear of its end, and the
            // endpoint that has just become free would look taken to the next request.
            front.loop.later(this::readPending);
        }
    }

    /** While its clients are sent away: nothing is left that had come in when that began. */
    private boolean isDrained() {
        if (drainOffset < 0) {
            link.hasPeerEnded();
            drainOffset = link.in.taken() + link.in.size();
        }
        while (!link.in.isEmpty() && (link.in.at(0) == '\r' || link.in.at(0) == '\n')) {
            // Empty lines between messages are none.
            link.in.skip(1);
        }
        return link.in.taken() >= drainOffset;
    }

    @Override
    public void flushed(Link flushedLink) {
        if (flushedLink.isEnded()) {
            // The link closes it within its own time.
            front.loop.deadlines().cancel(timer);
        } else if (!responsePending && !messageBegun) {
            startTimer(IDLE_TIMEOUT_US);
        }
    }

    @Override
    public void broken(Link brokenLink) {
        unregister();
        if (request != null) {
            Request withdrawn = request;
            request = null;
            front.withdraw(withdrawn);
        }
    }
}
