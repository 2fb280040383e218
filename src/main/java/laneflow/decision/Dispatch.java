package laneflow.decision;

import java.util.List;

/**
 * The whole interface of the dispatcher's decisions: the events a host reports, the values they carry, and
 * the {@link Actions} it carries out. {@link Logic} implements it; one object serves one dispatcher.
 *
 * <p><b>Threading.</b> Not thread-safe: the host calls one method at a time. Actions are called before an
 * event method returns, on the same thread; they must not call back into the dispatcher.
 *
 * <p><b>Time.</b> {@code now} is in seconds on the host's clock, any origin. A clock that goes back is
 * read as standing still. All durations are seconds.
 *
 * <p><b>Order.</b> Events are reported in the order they happened. {@link #list} with the list last held
 * (or an empty one) comes before the first request. The same settings, seed and events give the same actions.
 *
 * <p><b>Ownership.</b> Values passed in are read before the method returns and may be reused by the host
 * afterwards, but for {@link Settings}: of these only {@code maxAttempts}, {@code retryAfter},
 * {@code maxRetryAfter}, {@code crossEachWay}, those that begin with {@code retry}, and the entries of
 * {@code classes} as wholes, may change, between two events and with {@link #settingsChanged} behind it. A request
 * keeps what it came under; no class changes its effect or kind.
 *
 * <p><b>Misuse.</b> A request id already open, and outcomes, notes, timers or probe results for things
 * unknown, are ignored. A class out of range is an {@link IllegalArgumentException}. Settings no decision
 * can be made from are refused by the constructor with the same exception.
 */
public interface Dispatch {

    /** What a repeat of a request does. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which workers drop repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt or a probe ended. Only those that prove it, settings aside, say {@link #neverRan}. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true);

        /** True where the outcome proves that the worker never ran the job. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** What discovery knows of a worker. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** A list: changes only, all workers, all workers as held before a restart, or nothing (failed). */
    enum ListKind {
        CHANGES,
        WHOLE,
        CACHED,
        FAILED
    }

    /** Where load reports come from. */
    enum ReportSource {
        ANSWERS,
        PROBES,
        NONE
    }

    /** What a worker's weight means: nothing, its size, roughly its size, or its size lowered by its load. */
    enum WeightSource {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** What is seen of a job in work: its start, how much of it is done, or the first bytes of its answer. */
    enum Note {
        STARTED,
        PROGRESS,
        ANSWERING
    }

    /** One class of requests. */
    final class JobClass {
        /** Answered within {@code aim + stretch x its running time at speed 1} it earns its full worth. */
        public double aim = 1;

        public double stretch;
        /** The longest a client waits for this class; each request carries its own instant. */
        public double deadline = 10;

        public double worth = 1;
        /** The share of the worth that an answer after the aim still earns. */
        public double lateWorth;

        public Effect effect = Effect.UNSAFE;
        public Group group = Group.CELL;
        /** Keyed only: how long a group remembers, from the earliest attempt that may have run. */
        public double dedupWindow;
        /** The only worker kind that runs the class, or -1. */
        public int kind = -1;

        public boolean stream;
    }

    /** A customer whose requests carry its number. */
    final class Tenant {
        public String name = "";
        /** Requests a second at all dispatchers together that are within its share; 0: nobody says. */
        public double quota;
        /** Its part of the service; 0: nobody says. */
        public double portion;
    }

    /**
     * What a dispatcher is told at its start. The defaults are the careful choice where a key is absent.
     * A dispatcher need not use all of it. Not used now: second copies, the grace, the connect time-out.
     */
    final class Settings {
        public int zone;
        public int zones = 1;
        public int dispatcherIndex;
        public int dispatchers = 1;
        public JobClass[] classes = {};
        /** None where requests are not told apart by whose they are. */
        public Tenant[] tenants = {};
        /** Worth of a request beyond its tenant's share, as a part of its class's. */
        public double overShareWorth = 1;

        public boolean listNeedsSubscription;
        public ReportSource reports = ReportSource.NONE;
        public WeightSource weights = WeightSource.NONE;
        public boolean mayProbe;
        public boolean mayCancel;
        public boolean secondCopies;
        public boolean retryAfter;
        public int maxAttempts = 1;
        public double maxRetryAfter;
        public double connectTimeout = 1;
        public boolean tellsStart;
        /** Seconds between progress notes; 0: none. */
        public double progressInterval;
        /** True where the head of a worker's queue waits until it fits and holds up those behind it. */
        public boolean headOfLineBlocking;

        public double drainGrace;
        public double coldShare = 1;
        public double coldFor;
        public double fallMultiple = 1;
        public double fallWithin;
        /** An answer 'full' is no proof: a worker may shed work that it had begun. */
        public boolean fullMayHaveRun;
        /**
         * In any {@code retryWindow} seconds attempts beyond each request's first number at most
         * {@code retryFree} plus {@code retryShare} for each request taken; 0 seconds: no such budget.
         */
        public double retryFree;

        public double retryShare;
        public double retryWindow;
        /** The chance of the next zone on the ring where home is full; the rest is the one before it. */
        public double crossEachWay = 0.5;
        /** Seconds within which idle connections to a draining worker are closed; 0: not asked for. */
        public double closeOnDrainWithin;
        /** The shortest time between two events' clocks. */
        public double tick = 0.001;
    }

    /** One worker in a list. */
    final class Worker {
        public long id;
        public int zone;
        public int kind;
        public int cell;
        public State state = State.READY;
        public double weight = 1;
        /** When it last started; 0: long ago. */
        public double startedAt;
        /** The classes it can run, a bit each; all where nobody says. */
        public long classes = -1;
        /** The abilities that it has, in ascending order; null: whatever a request of its classes needs. */
        public long[] abilities;
    }

    /** A client's request. */
    final class Request {
        public long id;
        public int jobClass;
        /** Whose it is, by the number of {@link Settings#tenants}; any other: nobody's that is known. */
        public int tenant = -1;
        /** The instant at which its client gives up. */
        public double deadline;
        /** Expected running time on a standard core; NaN where it is not known. */
        public double hint = Double.NaN;

        public double slots = 1;
        public double memory;
        /** What a worker must have among its abilities to run it; 0: nothing. */
        public long ability;
    }

    /** A worker's word on its load; NaN where it does not say. */
    final class LoadReport {
        public double freeSlots = Double.NaN;
        public double freeMemory = Double.NaN;
        public double queue = Double.NaN;
        public double rate = Double.NaN; // Jobs served a second.

        /** Back to saying nothing. */
        public void clear() {
            freeSlots = Double.NaN;
            freeMemory = Double.NaN;
            queue = Double.NaN;
            rate = Double.NaN;
        }
    }

    /** The dispatcher has started: it may ask for timers and for the list. */
    void start(double now);

    /** Discovery's view of the workers; entries are empty for {@link ListKind#FAILED}. */
    void list(double now, ListKind kind, List<Worker> entries);

    /** Operators want nothing more sent to that worker, whatever lists say, until it is set up. */
    void setDown(double now, long worker);

    /** Operators have that worker back, cold unless a list tells of a start since it was set down. */
    void setUp(double now, long worker);

    /** Another process works under this dispatcher's number: this one's part of what both may do. */
    void budgetShare(double now, double part);

    /** Settings that may change have changed: they hold for the requests that come from now on. */
    void settingsChanged();

    /** A request has arrived; exactly one final answer is owed. */
    void request(double now, Request request);

    /** The request's client has left; nothing is owed any more. */
    void abandoned(double now, long request);

    /** A timer asked for with {@link Actions#wake} has run out. */
    void timer(double now, long token);

    /**
     * An attempt has ended; told once for every {@link Actions#send}, also after the request's end.
     *
     * @param over the request has ended: the client has its answer
     * @param report the worker's load report, or null
     */
    void outcome(double now, long request, int attempt, long worker, Outcome outcome, boolean over, LoadReport report);

    /**
     * A probe has ended, with a report or null. {@link Outcome#MOOT}: nobody asked; the report is another
     * dispatcher's, {@code took} seconds old and newer than any other of that worker.
     */
    void probed(double now, long worker, double took, Outcome outcome, LoadReport report);

    /** A streamed answer has begun: the attempt belongs to the client and no deadline runs. */
    void streaming(double now, long request, int attempt);

    /** A word on an attempt still in work; {@code share} is the part done, for {@link Note#PROGRESS}. */
    void note(double now, long request, int attempt, long worker, Note note, double share);

    /** What the dispatcher asks of its host. */
    interface Actions {
        /** Sends the request's next attempt, numbered from 0; it may take until its client gives up. */
        void send(long request, int attempt, long worker);

        /** Final answer: not served, safe to try again, after that many seconds if above 0. */
        void refuse(long request, double retryAfter);

        /** Told right before a request that was placed nowhere is refused or failed: which check it did not pass. */
        default void explainRefusal(long request, Refusal refusal) {}

        /** Final answer: not served, and it may have had its effect. */
        void fail(long request);

        /**
         * Stops waiting for an attempt; its outcome still comes. True if it can't have run: it never began.
         */
        boolean cancel(long request, int attempt);

        /** Asks a worker for its load. */
        void probe(long worker);

        /** Closes this dispatcher's idle connections to a worker. */
        void closeIdle(long worker);

        /** Asks for {@link Dispatch#timer} after {@code delay}. Timers can't be taken back. */
        void wake(double delay, long token);

        /** Subscribes to changes of the list, where it must be asked. */
        void watchList();
    }
}
