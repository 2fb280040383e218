package laneflow.http;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import laneflow.core.Connector;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import laneflow.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches discovery's endpoint list. One watch is open at a time; a new one is started when it ends, falls
 * silent or sends malformed data. When discovery moves, the watch at the former address is still read until the
 * new address has sent a list.
 *
 * <p>A change that a silent watch misses counts as announced at the latest 6 s after the watch fell silent, and
 * at once where an agent on this machine has it. Silence is therefore detected half a second after a missing
 * heartbeat, the next watch starts in the same turn of the loop, and drains in its first list count from the
 * last sign of life.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final int RING_BYTES = 256 * 1024;
    private static final int MAX_LIST_BYTES = 4 << 20;
    /** Heartbeats (empty lines) come every 2 s; a watch is silent half a second after one is missing. */
    static final long SILENCE_TIMEOUT_US = 2_500_000;
    /**
     * Time-out for the head of a watch that follows a silent one and must deliver what that one missed. An agent on
     * this machine answers at once; if it has not by then, this watch may be silent too, and a third one is started
     * within 6 s after the first one's last sign of life, even if both connections are slow to open.
     */
    static final long HEAD_TIMEOUT_AFTER_SILENCE_US = 1_000_000;
    /** Time-out for the head from a shared discovery service, where a watch may be queued. */
    static final long SHARED_SERVICE_HEAD_TIMEOUT_US = 4_500_000;
    /**
     * Time for which start-up waits for an agent's first list before the process reports ready: what the agent has
     * counts as announced from the process's start. An agent on this machine answers at once, or has no list.
     */
    private static final long STARTUP_WAIT_US = 300_000;
    /** Connect time-out: a connection to the agent on this machine opens within this time, or never. */
    static final long CONNECT_TIMEOUT_US = 1_000_000;
    /**
     * Wait before the next watch, doubled after each watch that received nothing, and multiplied by a random factor
     * from 0.5 to 1.5. Schedulers that start together, or find discovery overloaded, must not retry all at once.
     */
    private static final long FIRST_BACKOFF_US = 200_000;
    /** With the connect time-out this stays well below the 6 s after which changes count as announced. */
    private static final long MAX_BACKOFF_US = 1_600_000;
    /** Shorter for an agent on this machine: its changes count at once, and connecting to it costs little. */
    private static final long MAX_AGENT_BACKOFF_US = FIRST_BACKOFF_US;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Connector connector;
    private final Config config;
    private final Deadline timer;
    private final SplittableRandom random;
    /** Lists come from a service that all schedulers share, not from an agent on this machine. */
    private final boolean sharedService;
    /** Consecutive watches that received nothing. */
    private int emptyWatches;

    private String address;
    /** Sequence number of the last list; each address counts by itself. */
    private long seq;

    private Watch current;
    /** The watch at the former address, until the current one has received a list; else null. */
    private Watch formerWatch;
    /** A watch at this address that fell silent, read until the current one has sent its request; else null. */
    private Watch silentWatch;

    private final AnnouncementTimes announcementTimes = new AnnouncementTimes();
    /** When the wait at start-up ends. */
    private long startupWaitEnd = Long.MAX_VALUE;

    public DiscoveryWatch(Loop loop, Scheduler scheduler, Connector connector, Config config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.connector = connector;
        this.config = config;
        address = config.discoveryAddress;
        seq = config.lastKnown.seq;
        random = new SplittableRandom(config.seed);
        sharedService = config.settings.listNeedsSubscription;
        timer = loop.deadlines().create(this::onTimer);
    }

    /** True once discovery has sent something, or has had the time to: the process may report ready. */
    public boolean isStartupWaitOver() {
        return sharedService || loop.micros() >= startupWaitEnd;
    }

    private void endStartupWait(long instant) {
        startupWaitEnd = Math.min(startupWaitEnd, instant);
    }

    private void onTimer() {
        if (current.link.isClosed()) {
            startWatch();
        } else {
            current.onTimeout();
        }
    }

    /** The wait before the next watch, in microseconds. */
    private long nextBackoff() {
        if (!sharedService && emptyWatches == 0 && loop.micros() - current.startedAt > SILENCE_TIMEOUT_US) {
            // The watch worked for a while and broke. The agent's changes count even while no watch is open.
            return 0;
        }
        return backoff(sharedService, emptyWatches++, random.nextDouble());
    }

    /**
     * The wait, in microseconds, after a number of consecutive watches that received nothing.
     *
     * @param chance random number from 0 to 1
     */
    static long backoff(boolean sharedService, int emptyWatches, double chance) {
        long backoff = Math.min(
                sharedService ? MAX_BACKOFF_US : MAX_AGENT_BACKOFF_US, FIRST_BACKOFF_US << Math.min(emptyWatches, 10));
        return (long) (backoff * (0.5 + chance));
    }

    /** Starts a watch in place of the current one. */
    public void startWatch() {
        if (current != null && current != formerWatch && current != silentWatch) {
            current.link.close();
        }
        scheduler.counters().add("discovery.watches");
        loop.deadlines().set(timer, loop.micros() + CONNECT_TIMEOUT_US);
        current = new Watch();
        current.link = loop.connect(Loop.parseAddress(address), RING_BYTES, RING_BYTES, current);
    }

    /** Moves to a new address of discovery, which must send its complete list, whatever the old one sent. */
    public void moveTo(String newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        scheduler.counters().add("discovery.moves");
        LOG.info("discovery moves from {} to {}", address, newAddress);
        closeSilentWatch();
        if (formerWatch == null && !current.link.isClosed()) {
            formerWatch = current;
        }
        address = newAddress;
        seq = 0;
        emptyWatches = 0;
        startWatch();
    }

    private void closeFormerWatch() {
        if (formerWatch != null) {
            formerWatch.link.close();
            formerWatch = null;
        }
    }

    private void closeSilentWatch() {
        if (silentWatch != null) {
            silentWatch.link.close();
            silentWatch = null;
        }
    }

    /** One connection to discovery. */
    private final class Watch implements LinkHandler, HttpReader.Sink, JsonObjectSplitter.Sink {
        private final HttpReader reader = new HttpReader(true, this);
        private final JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_LIST_BYTES, this);
        private final long startedAt = loop.micros();
        private final AnnouncementTimes.PerWatch times = announcementTimes.new PerWatch();
        private final int emptyWatchesBefore = emptyWatches;
        private final boolean mayHaveMissedChanges =
                !sharedService && current != null && current.headReceived && current == silentWatch;
        private Link link;
        private boolean connected;
        /** The response head has arrived. */
        private boolean headReceived;

        /** Ends the watch; schedules the next one unless this one has been replaced already. */
        private void finish() {
            link.close();
            if (this == current) {
                endStartupWait(loop.micros());
                loop.deadlines().set(timer, loop.micros() + nextBackoff());
            } else if (this == formerWatch) {
                formerWatch = null;
            } else if (this == silentWatch) {
                silentWatch = null;
            }
        }

        /** Handles the time-out: reads pending input, and starts the next watch if there was none. */
        private void onTimeout() {
            if (connected) {
                link.readNow();
            }
            if (timer.isSet()) {
                return;
            }
            if (connected) {
                scheduler.counters().add("discovery.silent");
                LOG.info("discovery at {} is silent", address);
                // The next watch starts without a wait, in which changes would be missed. This one is read until
                // the next has sent its request, for changes that the agent sends at this moment.
                if (silentWatch == null) {
                    silentWatch = this;
                }
                startWatch();
            } else {
                finish();
            }
        }

        /**
         * Restarts the time-out of the current watch. Not called on each byte: a head or an object that trickles in
         * must time out.
         */
        private void restartTimer(long timeout) {
            if (this == current) {
                loop.deadlines().set(timer, loop.micros() + timeout);
            }
        }

        @Override
        public void opened(Link openedLink) {
            connected = true;
            endStartupWait(loop.micros() + STARTUP_WAIT_US);
            restartTimer(
                    sharedService
                            ? SHARED_SERVICE_HEAD_TIMEOUT_US
                            : mayHaveMissedChanges ? HEAD_TIMEOUT_AFTER_SILENCE_US : SILENCE_TIMEOUT_US);
            String request =
                    "GET /registry/instances?watch=1&after=" + seq + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
            link.out.put(request.getBytes(StandardCharsets.US_ASCII));
            link.flush();
            if (this == current) {
                closeSilentWatch();
            }
        }

        @Override
        public void connectFailed(Link failedLink) {
            finish();
        }

        @Override
        public void received(Link source) {
            try {
                reader.read(link.in, link);
                if (reader.isDone()) {
                    finish();
                }
            } catch (HttpException e) {
                LOG.warn("discovery watch failed: {}", e.getMessage());
                finish();
            }
        }

        @Override
        public void disconnected(Link brokenLink) {
            finish();
        }

        @Override
        public void head(HttpHead head) throws HttpException {
            if (head.status() != 200) {
                throw new HttpException(head.status(), "unexpected status " + head.status());
            }
            times.head(loop.micros());
            headReceived = true;
            restartTimer(SILENCE_TIMEOUT_US);
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            try {
                splitter.accept(bytes);
            } catch (HttpException e) {
                if (this == current) {
                    // After unreadable changes the list may be wrong: the complete list is requested, with
                    // growing waits if that fails too.
                    seq = 0;
                    emptyWatches = emptyWatchesBefore;
                }
                throw e;
            }
        }

        @Override
        public void end() {
            // Handled once the reader has returned.
        }

        @Override
        public void objectBegun() {
            restartTimer(SILENCE_TIMEOUT_US);
        }

        @Override
        public void emptyLine() {
            onSignOfLife();
            times.emptyLine(loop.micros(), this == current);
        }

        /** Handles an object or empty line: resets the backoff and the time-out. */
        private void onSignOfLife() {
            if (this == current) {
                emptyWatches = 0;
                endStartupWait(loop.micros());
                restartTimer(SILENCE_TIMEOUT_US);
            }
        }

        @Override
        public void object(String text) throws HttpException {
            long earliest = times.earliest(loop.micros(), this == silentWatch);
            onSignOfLife();
            try {
                Config.Listing listing = config.parseListing(text);
                times.listRead(loop.micros(), this == current);
                if (this == current || this == silentWatch) {
                    if (!listing.complete && listing.seq <= seq) {
                        return;
                    }
                    seq = listing.seq;
                    closeFormerWatch();
                } else if (this != formerWatch) {
                    return;
                }
                scheduler.counters().add("discovery.lists");
                scheduler.list(connector, listing.complete, listing.entries, earliest);
            } catch (WireException e) {
                throw new HttpException(400, e.getMessage());
            }
        }
    }
}
