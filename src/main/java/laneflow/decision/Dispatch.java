package laneflow.decision;

import java.util.List;

/**
 * The interface between a dispatcher's decisions and its host: the events the host reports, the values they
 * carry, and the {@link Actions} the host carries out. {@link Logic} implements it; one instance serves one dispatcher.
 *
 * <p><b>Threading.</b> Not thread-safe: the host calls one method at a time. Actions are invoked on the same
 * thread before the event method returns; they must not call back into the dispatcher.
 *
 * <p><b>Time.</b> {@code now} is in seconds on the host's clock, with any origin. A clock that goes back is
 * treated as standing still. All durations are in seconds.
 *
 * <p><b>Order.</b> Events are reported in the order they happened. {@link #list} is called with the last known
 * list (or an empty one) before the first request. The same settings, seed and events produce the same actions.
 *
 * <p><b>Ownership.</b> Values passed in are read before the method returns and may be reused by the host
 * afterwards, except for {@link Settings}, which is kept. Of its fields only {@code maxAttempts},
 * {@code retryAfter}, {@code maxRetryAfter}, {@code crossEachWay}, {@code retryFree}, {@code retryShare},
 * {@code retryWindow}, and whole entries of {@code classes} may change, only between two events and followed
 * by {@link #settingsChanged}. A request keeps the settings it arrived under; no class changes its effect or kind.
 *
 * <p><b>Misuse.</b> A request whose id is already open is ignored, as are outcomes, notes, timers and probe
 * results for anything unknown. A class out of range throws {@link IllegalArgumentException}; so does the
 * constructor for settings that allow no decision.
 */
public interface Dispatch {

    /** What happens if a request runs more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which workers recognize and drop repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL;

        /** Whether a worker in this zone and cell recognizes a repeat of what may have run there. */
        public boolean includes(EarlierRun run, int zone, int cell) {
            return switch (this) {
                case ALL -> true;
                case ZONE -> run.zone == zone;
                case CELL -> run.cell == cell;
            };
        }
    }

    /**
     * An attempt of a request that may have run.
     *
     * @param at when it was sent; the unit and origin are those of whoever holds it
     * @param zone its worker's zone, or {@link #UNKNOWN}, which is no worker's
     * @param cell its worker's cell, or {@link #UNKNOWN}
     */
    record EarlierRun(double at, int zone, int cell) {
        public static final int UNKNOWN = Integer.MIN_VALUE;
    }

    /**
     * How an attempt or a probe ended. {@link #neverRan} is set only where the outcome proves it, subject to
     * {@link Settings#fullMayHaveRun}.
     */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true);

        /** True if the outcome proves that the worker never ran the job. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** A worker's state according to discovery. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** What a list contains: changes only, all workers, all workers known before a restart, or nothing (failed). */
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

    /** What a worker's weight means: nothing, its size, roughly its size, or its size reduced by its load. */
    enum WeightSource {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** Progress seen on a running job: its start, the fraction done, or the first bytes of its answer. */
    enum Note {
        STARTED,
        PROGRESS,
        ANSWERING
    }

    /** One class of requests. */
    final class JobClass {
        /** A request answered within {@code aim + stretch x its running time at speed 1} earns its full worth. */
        public double aim = 1;

        public double stretch;
        /** The longest a client of this class waits; each request carries its own deadline. */
        public double deadline = 10;

        public double worth = 1;
        /** The fraction of the worth that an answer after the aim still earns. */
        public double lateWorth;

        public Effect effect = Effect.UNSAFE;
        public Group group = Group.CELL;
        /** Keyed only: how long a group recognizes repeats, from the earliest attempt that may have run. */
        public double dedupWindow;
        /** The only worker kind that runs the class, or -1 if any kind does. */
        public int kind = -1;

        public boolean stream;
    }

    /** A tenant; requests refer to it by its index in {@link Settings#tenants}. */
    final class Tenant {
        public String name = "";
        /** Requests per second across all dispatchers that are within its share; 0: not stated. */
        public double quota;
        /** Its fraction of the service; 0: not stated. */
        public double portion;
    }

    /**
     * A dispatcher's configuration. Defaults are the conservative choice for an absent key.
     * {@link Logic} reads neither {@code secondCopies} nor {@code drainGrace}.
     */
    final class Settings {
        public int zone;
        public int zones = 1;
        public int dispatcherIndex;
        public int dispatchers = 1;
        public JobClass[] classes = {};
        /** Empty if requests are not attributed to tenants. */
        public Tenant[] tenants = {};
        /** Worth of a request beyond its tenant's share, as a fraction of its class's worth. */
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
        /** Seconds between progress notes; 0: no progress is reported. */
        public double progressInterval;
        /** True if the head of a worker's queue waits until it fits and blocks the jobs behind it. */
        public boolean headOfLineBlocking;

        public double drainGrace;
        /** Fraction of its capacity that a worker has at its start; it has all of it after {@code coldFor} seconds. */
        public double coldShare = 1;

        public double coldFor;
        /** Work within {@code fallWithin} seconds that overloads a cold worker, as a multiple of its capacity. */
        public double fallMultiple = 1;

        public double fallWithin;
        /** The outcome {@link Outcome#FULL} proves nothing: a worker may shed work that it had begun. */
        public boolean fullMayHaveRun;
        /**
         * Retry budget: in any {@code retryWindow} seconds there are at most {@code retryFree} retries plus
         * {@code retryShare} for each request accepted. A window of 0 means no retry budget.
         */
        public double retryFree;

        public double retryShare;
        public double retryWindow;
        /** The probability of trying the next zone on the ring when home is full, rather than the previous one. */
        public double crossEachWay = 0.5;
        /** Seconds within which idle connections to a draining worker must be closed; 0: not required. */
        public double closeOnDrainWithin;
        /** The resolution of event times. */
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
        /** When it last started; 0: long ago or unknown. */
        public double startedAt;
        /** The classes it can run, one bit each; all if not stated. */
        public long classes = -1;
        /** Its abilities in ascending order; null: every ability that a request of its classes may need. */
        public long[] abilities;
    }

    /** A client's request. */
    final class Request {
        public long id;
        public int jobClass;
        /** The index of its tenant in {@link Settings#tenants}; any other value: no known tenant. */
        public int tenant = -1;
        /** The time at which its client gives up. */
        public double deadline;
        /** Expected running time on a standard core; NaN if unknown. */
        public double hint = Double.NaN;

        public double slots = 1;
        public double memory;
        /** The ability that a worker must have to run it; 0: none. */
        public long ability;
        /** Nobody waits for its answer: if it can't be in time, it still takes a slot that is free now. */
        public boolean background;
        /** Attempts that may have run before it was submitted to this dispatcher, the earliest first. */
        public List<EarlierRun> earlierRuns = List.of();
    }

    /** A worker's report of its load; NaN for each figure that it does not state. */
    final class LoadReport {
        public double freeSlots = Double.NaN;
        public double freeMemory = Double.NaN;
        public double queue = Double.NaN;
        public double rate = Double.NaN; // Jobs served per second.

        /** Resets every figure to not stated. */
        public void clear() {
            freeSlots = Double.NaN;
            freeMemory = Double.NaN;
            queue = Double.NaN;
            rate = Double.NaN;
        }
    }

    /** The dispatcher has started; it may request timers and the list. */
    void start(double now);

    /** Discovery has reported workers; entries are empty for {@link ListKind#FAILED}. */
    void list(double now, ListKind kind, List<Worker> entries);

    /** Operators take the worker out of service: whatever lists say, nothing is sent to it until it is set up. */
    void setDown(double now, long worker);

    /** Operators return the worker to service, cold from now on unless a list shows a start since it was set down. */
    void setUp(double now, long worker);

    /** Sets this process's fraction of the slow-start budgets while another process has the same dispatcher index. */
    void budgetShare(double now, double part);

    /** Changeable settings have changed; they apply to requests that arrive from now on. */
    void settingsChanged();

    /** A request has arrived; it gets exactly one final answer. */
    void request(double now, Request request);

    /** The request's client has left; no answer is needed any more. */
    void abandoned(double now, long request);

    /** A timer requested with {@link Actions#wake} has expired. */
    void timer(double now, long token);

    /**
     * An attempt has ended. Reported once for every {@link Actions#send}, even after the request has ended.
     *
     * @param over whether the request has ended: the client has its answer
     * @param report the worker's load report, or null
     */
    void outcome(double now, long request, int attempt, long worker, Outcome outcome, boolean over, LoadReport report);

    /**
     * A probe has ended, with a report or null. {@link Outcome#MOOT} marks a report that was not requested: it comes
     * from another dispatcher, is {@code took} seconds old, and is newer than any other report of that worker.
     */
    void probed(double now, long worker, double took, Outcome outcome, LoadReport report);

    /** A streamed answer has begun: the attempt is committed to the client and its deadline no longer applies. */
    void streaming(double now, long request, int attempt);

    /** Progress on a running attempt; {@code share} is the fraction done, for {@link Note#PROGRESS}. */
    void note(double now, long request, int attempt, long worker, Note note, double share);

    /** What the dispatcher requests of its host. */
    interface Actions {
        /** Sends the request's next attempt, numbered from 0; it may run until its client gives up. */
        void send(long request, int attempt, long worker);

        /** Final answer: not served and safe to retry, after {@code retryAfter} seconds if above 0. */
        void refuse(long request, double retryAfter);

        /** Called right before a request that found no place is refused or failed, with the check it did not pass. */
        default void explainRefusal(long request, Refusal refusal) {}

        /** Final answer: not served, but it may have taken effect. */
        void fail(long request);

        /**
         * Stops waiting for an attempt; its outcome is still reported. Returns true if it never began and so can't
         * have run.
         */
        boolean cancel(long request, int attempt);

        /** Requests a load report from a worker. */
        void probe(long worker);

        /** Closes this dispatcher's idle connections to a worker. */
        void closeIdle(long worker);

        /** Schedules {@link Dispatch#timer} after {@code delay}. Timers can't be cancelled. */
        void wake(double delay, long token);

        /** Subscribes to the list; called only if {@link Settings#listNeedsSubscription} is set. */
        void watchList();
    }
}
