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
    private static final int RING = 256 * 1024;
    private static final int MOST_LIST = 4 << 20;
    /** An empty line comes every 2 s: that one is missing is silence, half a second behind its time. */
    static final long SILENCE = 2_500_000;
    /**
     * A watch begun behind one that has fallen silent owes what that one missed. An agent on this machine begins its
     * answer at once: where it has not by then, that watch may be silent too, and a further one is begun beside it,
     * while 6 s behind the first one's last word are not over, even if both connections come up late.
     */
    static final long HEAD_SOON = 1_000_000;
    /** Where lists are asked for, a call may wait for its turn at discovery: so long, for its head. */
    static final long TURN = 4_500_000;
    /**
     * An agent on this machine answers at once, or has nothing: so long a start waits for its word before it
     * asks for clients, since what the agent holds counts as told from the process's first moment.
     */
    private static final long FIRST_WORD = 300_000;
    /** The agent is on this machine: a connection that is not up within that time never will be. */
    static final long CONNECT = 1_000_000;
    /**
     * The wait before the next watch: doubled with each one that tells nothing, and half to one and a half
     * times as long by chance. When many schedulers start at one moment, or discovery is short of room, they
     * must not come back all at once, nor again and again.
     */
    private static final long AGAIN = 200_000;
    /** With the time for a connection it stays well within the 6 s after which news counts as told. */
    private static final long LONGEST_AGAIN = 1_600_000;
    /** What an agent on this machine gets counts at once, and asking it costs nothing. */
    private static final long LONGEST_AGAIN_AT_AGENT = AGAIN;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Connector connector;
    private final Config config;
    private final Deadline timer;
    private final SplittableRandom random;
    /** Lists are asked for at a service that all schedulers share, not at an agent on this machine. */
    private final boolean asked;
    /** Watches in a row that have told nothing. */
    private int vain;

    private String address;
    /** The list's version as this address counts; another may count differently. */
    private long seq;

    private Watch current;
    /** The watch at the address before, until the present one has spoken; else null. */
    private Watch former;
    /** The watch that fell silent at this address, heard until the present one has asked; else null. */
    private Watch silent;

    private final ToldSince toldSince = new ToldSince();
    /** From then on clients may be asked for. */
    private long lookedAt = Long.MAX_VALUE;

    public DiscoveryWatch(Loop loop, Scheduler scheduler, Connector connector, Config config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.connector = connector;
        this.config = config;
        address = config.discoveryAddress;
        seq = config.lastKnown.seq;
        random = new SplittableRandom(config.seed);
        asked = config.settings.listNeedsSubscription;
        timer = loop.deadlines().create(this::due);
    }

    /** True once it has spoken, or would have if there were anything to hear: clients may be asked for. */
    public boolean isStartupWaitOver() {
        return asked || loop.micros() >= lookedAt;
    }

    private void looked(long at) {
        lookedAt = Math.min(lookedAt, at);
    }

    private void due() {
        if (current.link.isClosed()) {
            startWatch();
        } else {
            current.late();
        }
    }

    /** The wait before the next watch. */
    private long pause() {
        if (!asked && vain == 0 && loop.micros() - current.begunAt > SILENCE) {
            // It went on for a while and broke: what its agent holds counts whether or not one listens.
            return 0;
        }
        return backOff(asked, vain++, random.nextDouble());
    }

    /**
     * How long to wait, in microseconds, after so many watches in a row that told nothing.
     *
     * @param chance from 0 to 1
     */
    static long backOff(boolean asked, int vain, double chance) {
        long wait = Math.min(asked ? LONGEST_AGAIN : LONGEST_AGAIN_AT_AGENT, AGAIN << Math.min(vain, 10));
        return (long) (wait * (0.5 + chance));
    }

    /** Begins a watch, in place of the one there is. */
    public void startWatch() {
        if (current != null && current != former && current != silent) {
            current.link.close();
        }
        scheduler.counters().add("discovery.watches");
        loop.deadlines().set(timer, loop.micros() + CONNECT);
        current = new Watch();
        current.link = loop.connect(Loop.address(address), RING, RING, current);
    }

    /** Discovery is elsewhere now. The new address owes its whole list, whatever the old one told last. */
    public void moveTo(String to) {
        if (to.equals(address)) {
            return;
        }
        scheduler.counters().add("discovery.moves");
        LOG.info("discovery moves from {} to {}", address, to);
        dropSilent();
        if (former == null && !current.link.isClosed()) {
            former = current;
        }
        address = to;
        seq = 0;
        vain = 0;
        startWatch();
    }

    private void dropFormer() {
        if (former != null) {
            former.link.close();
            former = null;
        }
    }

    private void dropSilent() {
        if (silent != null) {
            silent.link.close();
            silent = null;
        }
    }

    /** One connection to discovery. */
    private final class Watch implements LinkHandler, HttpReader.Sink, JsonFrames.Sink {
        private final HttpReader reader = new HttpReader(true, this);
        private final JsonFrames frames = new JsonFrames(MOST_LIST, this);
        private final long begunAt = loop.micros();
        private final ToldSince.OfWatch told = toldSince.new OfWatch();
        private final int vainBefore = vain;
        private final boolean owesMissedNews = !asked && current != null && current.spoke && current == silent;
        private Link link;
        private boolean up;
        /** Its head has come. */
        private boolean spoke;

        /** It is over: what has been replaced already is not begun again. */
        private void over() {
            link.close();
            if (this == current) {
                looked(loop.micros());
                loop.deadlines().set(timer, loop.micros() + pause());
            } else if (this == former) {
                former = null;
            } else if (this == silent) {
                silent = null;
            }
        }

        /** Its time has run out: unless a word lies there unread, the next watch begins. */
        private void late() {
            if (up) {
                link.look();
            }
            if (timer.isSet()) {
                return;
            }
            if (up) {
                scheduler.counters().add("discovery.silent");
                LOG.info("discovery at {} is silent", address);
                // It had its time: waiting on top of it, news would come in unheard. Until the next watch has
                // asked this one is listened to: what its agent says just now must not go unheard.
                if (silent == null) {
                    silent = this;
                }
                startWatch();
            } else {
                over();
            }
        }

        /** No byte extends it but a whole line's last: neither a head nor an object may trickle for ever. */
        private void within(long micros) {
            if (this == current) {
                loop.deadlines().set(timer, loop.micros() + micros);
            }
        }

        @Override
        public void opened(Link opened) {
            up = true;
            looked(loop.micros() + FIRST_WORD);
            within(asked ? TURN : owesMissedNews ? HEAD_SOON : SILENCE);
            String request =
                    "GET /registry/instances?watch=1&after=" + seq + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
            link.out.put(request.getBytes(StandardCharsets.US_ASCII));
            link.flush();
            if (this == current) {
                dropSilent();
            }
        }

        @Override
        public void notOpened(Link gone) {
            over();
        }

        @Override
        public void received(Link from) {
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
            told.head(loop.micros());
            spoke = true;
            within(SILENCE);
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            try {
                frames.take(bytes);
            } catch (HttpException e) {
                if (this == current) {
                    // Changes that can't be read leave the list held unsure: the whole one is asked for, with
                    // longer and longer waits where that goes on.
                    seq = 0;
                    vain = vainBefore;
                }
                throw e;
            }
        }

        @Override
        public void end() {
            // Begun again once the reader has returned.
        }

        @Override
        public void begun() {
            within(SILENCE);
        }

        @Override
        public void blank() {
            speaks();
            told.blank(loop.micros(), this == current);
        }

        /** A sign of life: the next watch need not wait long. */
        private void speaks() {
            if (this == current) {
                vain = 0;
                looked(loop.micros());
                within(SILENCE);
            }
        }

        @Override
        public void object(String text) throws HttpException {
            long since = told.since(loop.micros(), this == silent);
            speaks();
            try {
                Config.Listing listing = config.listing(text);
                told.list(loop.micros(), this == current);
                if (this == current || this == silent) {
                    if (!listing.whole && listing.seq <= seq) {
                        return;
                    }
                    seq = listing.seq;
                    dropFormer();
                } else if (this != former) {
                    return;
                }
                scheduler.counters().add("discovery.lists");
                scheduler.list(connector, listing.whole, listing.entries, since);
            } catch (WireException e) {
                throw new HttpException(400, e.getMessage());
            }
        }
    }
}
