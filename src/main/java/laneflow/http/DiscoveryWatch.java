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
 * Watches discovery's list: one watch at a time, begun anew when it ends, falls silent or makes no sense.
 * When discovery moves, the former watch is still heard until the new address has spoken.
 *
 * <p>What a silent watch misses counts as told 6 s after it fell silent at the latest, and at once where an
 * agent on this machine holds it. So silence is noticed half a second behind the beat that is missing, the
 * next watch begins in the same turn, and drains in its first word count from the last sign of life.
 */
public final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final int RING_BYTES = 256 * 1024;
    private static final int MAX_LIST_BYTES = 4 << 20;
    /** An empty line comes every 2 s: that one is missing is silence, half a second behind its time. */
    static final long SILENCE_TIMEOUT_US = 2_500_000;
    /**
     * A watch begun behind one that has fallen silent owes what that one missed. An agent on this machine begins its
     * answer at once: where it has not by then, that watch may be silent too, and a further one is begun beside it,
     * while 6 s behind the first one's last word are not over, even if both connections come up late.
     */
    static final long HEAD_TIMEOUT_AFTER_SILENCE_US = 1_000_000;
    /** Where lists are asked for, a call may wait for its turn at discovery: so long, for its head. */
    static final long SHARED_SERVICE_HEAD_TIMEOUT_US = 4_500_000;
    /**
     * An agent on this machine answers at once, or has nothing: so long a start waits for its word before it
     * asks for clients, since what the agent holds counts as told from the process's first moment.
     */
    private static final long STARTUP_WAIT_US = 300_000;
    /** The agent is on this machine: a connection that is not up within that time never will be. */
    static final long CONNECT_TIMEOUT_US = 1_000_000;
    /**
     * The wait before the next watch: doubled with each one that tells nothing, and half to one and a half
     * times as long by chance. When many schedulers start at one moment, or discovery is short of room, they
     * must not come back all at once, nor again and again.
     */
    private static final long FIRST_BACKOFF_US = 200_000;
    /** With the time for a connection it stays well within the 6 s after which news counts as told. */
    private static final long MAX_BACKOFF_US = 1_600_000;
    /** What an agent on this machine gets counts at once, and asking it costs nothing. */
    private static final long MAX_AGENT_BACKOFF_US = FIRST_BACKOFF_US;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Connector connector;
    private final Config config;
    private final Deadline timer;
    private final SplittableRandom random;
    /** Lists are asked for at a service that all schedulers share, not at an agent on this machine. */
    private final boolean sharedService;
    /** Watches in a row that have told nothing. */
    private int emptyWatches;

    private String address;
    /** The list's version as this address counts; another may count differently. */
    private long seq;

    private Watch current;
    /** The watch at the address before, until the present one has spoken; else null. */
    private Watch formerWatch;
    /** The watch that fell silent at this address, heard until the present one has asked; else null. */
    private Watch silentWatch;

    private final AnnouncementTimes announcementTimes = new AnnouncementTimes();
    /** From then on clients may be asked for. */
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

    /** True once it has spoken, or would have if there were anything to hear: clients may be asked for. */
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

    /** The wait before the next watch. */
    private long nextBackoff() {
        if (!sharedService && emptyWatches == 0 && loop.micros() - current.startedAt > SILENCE_TIMEOUT_US) {
            // It went on for a while and broke: what its agent holds counts whether or not one listens.
            return 0;
        }
        return backoff(sharedService, emptyWatches++, random.nextDouble());
    }

    /**
     * How long to wait, in microseconds, after so many watches in a row that told nothing.
     *
     * @param chance from 0 to 1
     */
    static long backoff(boolean sharedService, int emptyWatches, double chance) {
        long backoff = Math.min(
                sharedService ? MAX_BACKOFF_US : MAX_AGENT_BACKOFF_US, FIRST_BACKOFF_US << Math.min(emptyWatches, 10));
        return (long) (backoff * (0.5 + chance));
    }

    /** Begins a watch, in place of the one there is. */
    public void startWatch() {
        if (current != null && current != formerWatch && current != silentWatch) {
            current.link.close();
        }
        scheduler.counters().add("discovery.watches");
        loop.deadlines().set(timer, loop.micros() + CONNECT_TIMEOUT_US);
        current = new Watch();
        current.link = loop.connect(Loop.address(address), RING_BYTES, RING_BYTES, current);
    }

    /** Discovery is elsewhere now. The new address owes its whole list, whatever the old one told last. */
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
        /** Its head has come. */
        private boolean headReceived;

        /** It is over: what has been replaced already is not begun again. */
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

        /** Its time has run out: unless a word lies there unread, the next watch begins. */
        private void onTimeout() {
            if (connected) {
                link.look();
            }
            if (timer.isSet()) {
                return;
            }
            if (connected) {
                scheduler.counters().add("discovery.silent");
                LOG.info("discovery at {} is silent", address);
                // It had its time: waiting on top of it, news would come in unheard. Until the next watch has
                // asked this one is listened to: what its agent says just now must not go unheard.
                if (silentWatch == null) {
                    silentWatch = this;
                }
                startWatch();
            } else {
                finish();
            }
        }

        /** No byte extends it but a whole line's last: neither a head nor an object may trickle for ever. */
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
        public void notOpened(Link failedLink) {
            finish();
        }

        @Override
        public void received(Link source) {
            try {
                reader.read(link.in);
                if (reader.isDone()) {
                    finish();
                }
            } catch (HttpException e) {
                LOG.warn("discovery: {}", e.getMessage());
                finish();
            }
        }

        @Override
        public void broken(Link brokenLink) {
            finish();
        }

        @Override
        public void head(HttpHead head) throws HttpException {
            if (head.status() != 200) {
                throw new HttpException(head.status(), "watch answered " + head.status());
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
                    // Changes that can't be read leave the list held unsure: the whole one is asked for, with
                    // longer and longer waits where that goes on.
                    seq = 0;
                    emptyWatches = emptyWatchesBefore;
                }
                throw e;
            }
        }

        @Override
        public void end() {
            // Begun again once the reader has returned.
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

        /** A sign of life: the next watch need not wait long. */
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
