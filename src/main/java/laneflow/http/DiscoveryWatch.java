package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import laneflow.core.Carrier;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import laneflow.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches discovery's list: one watch at a time, begun anew when it ends, falls silent or makes no sense.
 * When discovery moves, the former watch is still heard until the new address has spoken.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final int RING = 256 * 1024;
    private static final int MOST_LINE = 4 << 20;
    /** An empty line comes every 2 s: two of them missing is silence. */
    private static final long SILENCE = 4_500_000;
    /** The agent is on this machine: a connection that is not up within that time never will be. */
    private static final long CONNECT = 500_000;
    /**
     * The wait before the next watch: doubled with each one that tells nothing, and half to one and a half
     * times as long by chance. When many schedulers start at one moment, or discovery is short of room, they
     * must not come back all at once, nor again and again.
     */
    private static final long AGAIN = 200_000;
    /** With the time for a connection it stays well within the 6 s after which news counts as told. */
    private static final long LONGEST_AGAIN = 1_600_000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Carrier carrier;
    private final Config config;
    private final Deadline timer;
    private final SplittableRandom random;
    /** Watches in a row that have told nothing. */
    private int vain;
    private String address;
    /** The list's version as this address counts; another may count differently. */
    private long seq;
    private Watch current;
    /** The watch at the address before, until the present one has spoken; else null. */
    private Watch former;

    public DiscoveryWatch(Loop loop, Scheduler scheduler, Carrier carrier, Config config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.carrier = carrier;
        this.config = config;
        address = config.discovery;
        seq = config.known.seq;
        random = new SplittableRandom(config.seed);
        timer = loop.deadlines().create(this::due);
    }

    private void due() {
        if (current.link.isClosed()) {
            begin();
        } else {
            // Not up in time, or silent.
            current.over();
        }
    }

    /** The wait before the next watch. */
    private long pause() {
        long wait = Math.min(LONGEST_AGAIN, AGAIN << Math.min(vain, 10));
        vain++;
        return (long) (wait * (0.5 + random.nextDouble()));
    }

    /** Begins a watch, in place of the one there is. */
    public void begin() {
        if (current != null) {
            current.link.close();
        }
        scheduler.counters().add("discovery.watches");
        loop.deadlines().set(timer, loop.micros() + CONNECT);
        current = new Watch();
        current.link = loop.connect(Loop.address(address), RING, RING, current);
    }

    /** Discovery is elsewhere now. The new address owes its whole list, whatever the old one told last. */
    public void follow(String to) {
        if (to.equals(address)) {
            return;
        }
        scheduler.counters().add("discovery.moves");
        LOG.info("discovery moves from {} to {}", address, to);
        if (former == null && !current.link.isClosed()) {
            former = current;
            current = null;
        }
        address = to;
        seq = 0;
        vain = 0;
        begin();
    }

    private void dropFormer() {
        if (former != null) {
            former.link.close();
            former = null;
        }
    }

    /** One connection to discovery. */
    private final class Watch implements LinkHandler, HttpReader.Sink {
        private final HttpReader reader = new HttpReader(true, this);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Link link;

        /** It is over: what has been replaced already is not begun again. */
        private void over() {
            link.close();
            if (this == current) {
                loop.deadlines().set(timer, loop.micros() + pause());
            } else if (this == former) {
                former = null;
            }
        }

        private void alive() {
            if (this == current) {
                loop.deadlines().set(timer, loop.micros() + SILENCE);
            }
        }

        /** It speaks: the next watch need not wait long. */
        private void speaks() {
            if (this == current) {
                vain = 0;
            }
        }

        @Override
        public void opened(Link opened) {
            alive();
            String request = "GET /registry/instances?watch=1&after=" + seq + " HTTP/1.1\r\nHost: " + address
                    + "\r\n\r\n";
            link.out.put(request.getBytes(StandardCharsets.US_ASCII));
            link.flush();
        }

        @Override
        public void notOpened(Link gone) {
            over();
        }

        @Override
        public void received(Link from) {
            alive();
            try {
                reader.read(link.in);
                if (reader.isDone()) {
                    over();
                }
            } catch (HttpException e) {
                LOG.warn("discovery: {}", e.getMessage());
                over();
            }
        }

        @Override
        public void broken(Link gone) {
            over();
        }

        @Override
        public void head(HttpHead head) throws HttpException {
            if (head.status() != 200) {
                throw new HttpException(head.status(), "watch answered " + head.status());
            }
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            for (byte b : bytes) {
                if (b == '\n') {
                    endLine();
                } else {
                    line.write(b);
                }
            }
            if (line.size() > MOST_LINE) {
                throw new HttpException(400, "line too long");
            }
        }

        @Override
        public void end() {
            // Begun again once the reader has returned.
        }

        private void endLine() throws HttpException {
            String text = line.toString(StandardCharsets.UTF_8).strip();
            line.reset();
            speaks();
            if (text.isEmpty()) {
                return;
            }
            try {
                Config.Listing listing = config.listing(text);
                if (this == current) {
                    if (!listing.whole && listing.seq <= seq) {
                        return;
                    }
                    seq = listing.seq;
                    dropFormer();
                } else if (this != former) {
                    return;
                }
                scheduler.counters().add("discovery.lists");
                scheduler.list(carrier, listing.whole, listing.entries);
            } catch (WireException e) {
                // Changes that can't be read leave the list held unsure: the whole one is asked for.
                seq = this == current ? 0 : seq;
                throw new HttpException(400, e.getMessage());
            }
        }
    }
}
