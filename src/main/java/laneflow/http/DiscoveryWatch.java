package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import laneflow.core.Carrier;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import laneflow.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches discovery's list: one watch at a time, begun anew when it ends, falls silent or makes no sense. */
public final class DiscoveryWatch implements LinkHandler, HttpReader.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final int RING = 256 * 1024;
    private static final int MOST_LINE = 4 << 20;
    /** An empty line comes every 2 s: two of them missing is silence. */
    private static final long SILENCE = 4_500_000;
    private static final long AGAIN = 200_000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Carrier carrier;
    private final Config config;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Deadline timer;
    private HttpReader reader = new HttpReader(true, this);
    private Link link;
    private long seq;

    public DiscoveryWatch(Loop loop, Scheduler scheduler, Carrier carrier, Config config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.carrier = carrier;
        this.config = config;
        seq = config.known.seq;
        timer = loop.deadlines().create(this::begin);
    }

    /** Begins a watch, in place of the one there is. */
    public void begin() {
        if (link != null) {
            link.close();
        }
        scheduler.counters().add("discovery.watches");
        reader = new HttpReader(true, this);
        line.reset();
        loop.deadlines().set(timer, loop.micros() + SILENCE);
        link = loop.connect(Loop.address(config.discovery), RING, RING, this);
    }

    private void again() {
        link.close();
        loop.deadlines().set(timer, loop.micros() + AGAIN);
    }

    @Override
    public void opened(Link opened) {
        String request = "GET /registry/instances?watch=1&after=" + seq + " HTTP/1.1\r\nHost: "
                + config.discovery + "\r\n\r\n";
        link.out.put(request.getBytes(StandardCharsets.US_ASCII));
        link.flush();
    }

    @Override
    public void notOpened(Link gone) {
        again();
    }

    @Override
    public void received(Link from) {
        loop.deadlines().set(timer, loop.micros() + SILENCE);
        try {
            reader.read(link.in);
            if (reader.isDone()) {
                again();
            }
        } catch (HttpException e) {
            LOG.warn("discovery: {}", e.getMessage());
            again();
        }
    }

    @Override
    public void broken(Link gone) {
        again();
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
        if (text.isEmpty()) {
            return;
        }
        try {
            Config.Listing listing = config.listing(text);
            if (!listing.whole && listing.seq <= seq) {
                return;
            }
            seq = listing.seq;
            scheduler.counters().add("discovery.lists");
            scheduler.list(carrier, listing.whole, listing.entries);
        } catch (WireException e) {
            // Changes that can't be read leave the list held unsure: the whole one is asked for.
            seq = 0;
            throw new HttpException(400, e.getMessage());
        }
    }
}
