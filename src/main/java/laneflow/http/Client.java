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
final class Client implements LinkHandler, HttpReader.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(Client.class);
    /**
     * From a connection's coming up to its first whole message, and from any later message's first byte to
     * its last. No byte extends it: heads without end and bodies in drops would fill the clients' part.
     */
    private static final long MESSAGE = 2_000_000;
    /** A usual client has asked by then. */
    private static final long NEW = 200_000;
    /** How long a kept connection may be idle between messages. */
    private static final long IDLE = 120_000_000;
    /** Behind a request's time its answer earns nothing; later than so long behind it, it is lost. */
    private static final long LOST = 500_000;
    /** How long a client may leave an answer unread. */
    private static final long UNREAD = 10_000_000;

    private final HttpFront front;
    private final HttpReader reader = new HttpReader(false, this);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Deadline timer;
    private Link link;
    private long slot;
    private HttpHead head;
    private Request request;
    /** A message has begun; at first one is awaited as if it had. */
    private boolean begun = true;
    /** From a message's end to its answer, also where the core is not asked. */
    private boolean owes;

    private boolean reading;
    /** More than is kept came while an answer was owed: nothing can be read behind what is in the ring. */
    private boolean sentTooMuch;
    /** When the present message's last byte came. */
    private long arrived;
    /**
     * Once its clients are sent away: the running number of the byte behind what had come in then. What
     * begins before it is still answered; negative before that.
     */
    private long servesUpTo = -1;
    /** Something has been answered on it. */
    private boolean answered;

    private long since;
    /** Its place among those that came in one turn, and so at one instant. */
    private final long order;

    Client(HttpFront front, long order) {
        this.front = front;
        this.order = order;
        timer = front.loop.deadlines().create(this::late);
    }

    @Override
    public void opened(Link up) {
        link = up;
        slot = front.add(this);
        expect(MESSAGE);
    }

    private void expect(long within) {
        since = front.loop.micros();
        front.loop.deadlines().set(timer, since + within);
    }

    /** Its time is over: with something to answer it hears so, else it ends; what came just now is read. */
    private void late() {
        boolean owed = owes;
        link.readNow();
        if (link.isClosed() || link.isOutputEnded() || timer.isSet() || owes && !owed) {
            return;
        }
        if (begun && reader.isInside(link.in)) {
            front.count("http.slow_request");
            refuse(408, "Request Timeout", "message not ended in time");
            return;
        }
        front.count(begun ? "http.silent" : link.out.isEmpty() ? "http.idle_closed" : "http.slow_reader");
        endConnection();
    }

    // ---- what the front may do with it ----

    /** The connection holds a request whose answer is not wholly written, or one that is coming in. */
    boolean isBusy() {
        return !link.isOutputEnded() && (owes || !link.out.isEmpty() || reader.isInside(link.in));
    }

    boolean isIdle() {
        return !begun && !isBusy();
    }

    /**
     * How soon it gives way when there is no room, the lowest first: what has its answer, what has said
     * nothing whole for a while, what is kept idle, what has only just come. Above that it does not. In a
     * flood the newest are mostly clients whose request is on its way.
     */
    int rank() {
        if (link.isOutputEnded()) {
            return 0;
        }
        if (owes || !link.out.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        return !begun ? 2 : front.loop.micros() - since > NEW ? 1 : 3;
    }

    /** True if it gives way before the other one: by rank, and in a rank who is in it for longer. */
    boolean before(Client other) {
        int by = Integer.compare(rank(), other.rank());
        by = by != 0 ? by : Long.compare(since, other.since);
        return by != 0 ? by < 0 : order < other.order;
    }

    /** Closes it at once, with nothing more said: where its descriptor is needed, or it reads nothing. */
    void leave() {
        countUnanswered();
        drop();
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
     * Ends it between two messages: stops sending, and passes over what still comes, until the other side has
     * ended too or a short time is over. Closed over unread bytes, it would be reset, and what is on its way
     * to the client might be lost.
     */
    private void endConnection() {
        if (owes || !link.out.isEmpty()) {
            leave();
            return;
        }
        countUnanswered();
        front.loop.deadlines().cancel(timer);
        link.endOutputWhenFlushed();
    }

    /** Ends it unless a request is there, or about to be read, or it has come or been used only just. */
    void endUnlessBusy(long young, long unused) {
        if (link.isOutputEnded() || front.loop.micros() - since < (begun ? young : unused)) {
            return;
        }
        if (!isBusy()) {
            link.readNow();
        }
        if (!link.isClosed() && !link.isOutputEnded() && !isBusy()) {
            endConnection();
        }
    }

    /** Makes room for another client, unless a request has come on it just now; true if there is room. */
    boolean giveWay() {
        link.readNow();
        readOn();
        if (link.isClosed()) {
            return true;
        }
        if (rank() == Integer.MAX_VALUE) {
            return false;
        }
        front.count(isIdle() ? "http.idle_closed" : "http.gave_way");
        leave();
        return true;
    }

    private void drop() {
        front.remove(slot);
        front.loop.deadlines().cancel(timer);
    }

    // ---- messages ----

    @Override
    public void received(Link from) {
        // An answer given while reading must not read on from within itself.
        if (reading) {
            return;
        }
        reading = true;
        try {
            while (!owes && !link.in.isEmpty() && !link.isClosed() && !link.isOutputEnded()) {
                reader.read(link.in);
                if (!reader.isDone()) {
                    break;
                }
                finishMessage();
            }
        } catch (HttpException e) {
            // Where a message that can't be read ends is not known: nothing behind it can be read either.
            front.count("http.malformed");
            LOG.debug("{}: {}", e.status, e.getMessage());
            refuse(e.status, e.reason(), e.getMessage());
        } finally {
            reading = false;
        }
        if (link.hasDroppedInput() && !sentTooMuch) {
            sentTooMuch = true;
            front.count("http.too_much_at_once");
        }
        if (sentTooMuch && !owes && !link.isClosed()) {
            // The rest of what is in the ring has not been kept.
            refuse(429, "Too Many Requests", "too much sent before an answer");
        }
        if (!begun && !owes && reader.isInside(link.in)) {
            begun = true;
            expect(MESSAGE);
        }
    }

    /** Behind more requests than are kept the end of the connection must still be seen. */
    @Override
    public boolean dropsInputBeyondRing() {
        return true;
    }

    /** Reads what came in while an answer was owed. */
    private void readOn() {
        if (!link.isClosed() && !link.isOutputEnded()) {
            received(link);
        }
    }

    @Override
    public void head(HttpHead received) throws HttpException {
        head = received;
        body.reset();
        String length = head.header("content-length");
        if (length != null && Long.parseLong(length) > HttpFront.MOST_BODY) {
            throw new HttpException(413, "body too long");
        }
        if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
            link.out.put(ascii("HTTP/1.1 100 Continue\r\n\r\n"));
            link.flush();
        }
    }

    @Override
    public void body(byte[] bytes) throws HttpException {
        if (body.size() + bytes.length > HttpFront.MOST_BODY) {
            throw new HttpException(413, "body too long");
        }
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        owes = true;
        arrived = link.lastConsumedArrival();
        // From here on the request's own deadline runs.
        front.loop.deadlines().cancel(timer);
    }

    private void finishMessage() {
        if (head.first.equals("GET")) {
            int query = head.second.indexOf('?');
            front.get(this, query < 0 ? head.second : head.second.substring(0, query));
        } else if (head.first.equals("DELETE") && front.kept() != null && KeptJobs.isPath(head.second)) {
            front.kept().delete(this, head.second);
        } else if (!head.first.equals("POST")) {
            answer(405, "Method Not Allowed", "", new byte[0]);
        } else {
            try {
                if (front.keeps(this, slot, head, body.toByteArray(), arrived)) {
                    return;
                }
                if (link.hasPeerEnded()) {
                    // Its client has gone and waits for nothing: the link tells so in a moment.
                    front.count("http.left_before_turn");
                    return;
                }
                request = front.take(slot, head, body.toByteArray(), arrived);
            } catch (HttpException e) {
                front.count("http.bad_request");
                answer(e.status, e.reason(), "", ascii(e.getMessage() + "\n"));
                return;
            }
            front.submit(request);
        }
    }

    boolean hasLeft() {
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
    private void refuse(int status, String reason, String why) {
        head = null;
        answer(status, reason, "", ascii(why + "\n"));
    }

    /** The request's answer. */
    void answer(int status, String reason, String headers, byte[] content) {
        if (link.isClosed()) {
            // It left before the disk had spoken.
            return;
        }
        answered = true;
        if (request != null) {
            long late = front.loop.micros() - request.deadline;
            if (late > 0) {
                front.count(late > LOST ? "clients.lost" : "clients.late");
            }
            front.close(request);
            request = null;
        }
        if (!front.isLeaving()) {
            servesUpTo = -1;
        }
        boolean last = head == null || !head.keepsAlive() || front.isLeaving() && isServedUp();
        String text = "HTTP/1.1 " + status + " " + reason + "\r\n" + headers
                + "Content-Length: " + content.length + "\r\n"
                + (last ? "Connection: close\r\n\r\n" : "\r\n");
        if (!link.out.put(ascii(text)) || !link.out.put(content)) {
            // It asks on and on and reads nothing: its answers must not fill the memory.
            front.count("http.slow_reader");
            leave();
            return;
        }
        if (last) {
            // Until it is written out it stays owed: the program must not end before.
            owes = true;
            expect(UNREAD);
            link.endOutputWhenFlushed();
            return;
        }
        owes = false;
        begun = false;
        reader.next();
        expect(UNREAD);
        link.flush();
        link.resumeReads();
        if (!link.in.isEmpty() && !reading) {
            // Not from within the call that brought the answer: the core has yet to hear of its end, and the
            // endpoint that has just become free would look taken to the next request.
            front.loop.later(this::readOn);
        }
    }

    /** While its clients are sent away: nothing is left that had come in when that began. */
    private boolean isServedUp() {
        if (servesUpTo < 0) {
            link.hasPeerEnded();
            servesUpTo = link.in.consumedBytes() + link.in.size();
        }
        while (!link.in.isEmpty() && (link.in.byteAt(0) == '\r' || link.in.byteAt(0) == '\n')) {
            // Empty lines between messages are none.
            link.in.skip(1);
        }
        return link.in.consumedBytes() >= servesUpTo;
    }

    @Override
    public void flushed(Link on) {
        if (on.isOutputEnded()) {
            // The link closes it within its own time.
            front.loop.deadlines().cancel(timer);
        } else if (!owes && !begun) {
            expect(IDLE);
        }
    }

    @Override
    public void disconnected(Link gone) {
        drop();
        if (request != null) {
            Request left = request;
            request = null;
            front.withdraw(left);
        }
    }
}
