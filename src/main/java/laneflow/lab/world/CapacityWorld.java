package laneflow.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import laneflow.capacity.decision.CapacityGossip;
import laneflow.capacity.decision.LoadEstimator;
import laneflow.core.Endpoint;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Note;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.ReportSource;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Worker;
import laneflow.decision.Logic;
import org.HdrHistogram.Histogram;

/**
 * Schedulers and endpoints in virtual time: the module itself decides for each scheduler, its news goes by a
 * network that delays and loses, endpoints have slots and a queue. The same seed draws the same jobs, whoever
 * talks to whom, so days can be held against each other.
 */
public final class CapacityWorld {
    private static final double MICROS = 1e6;
    private static final int ROOM = 200;
    private static final double WIRE = 0.001;
    private static final double AIM = 0.3;
    private static final double STRETCH = 2;
    private static final double DEADLINE = 8;
    private static final int SLOTS = 4;
    private static final int QUEUE = 4;
    private static final double PHASE = 2;
    /** Part of all calls that the busiest tenth makes; the busiest one has ten times the mean. */
    private static final double MOST_UNEVEN = 10;

    private static final int FANOUT = 2;
    private static final double LIE = 192;
    private static final double OVERDUE_LEFT = 0.5;

    /** What the first member tells of endpoints, whatever it has heard: 192 free slots, or as many jobs. */
    public enum Fault {
        NONE,
        LIAR_FREE,
        LIAR_FULL
    }

    /**
     * A day.
     *
     * @param job seconds that a job takes in the mean
     * @param load of all slots that jobs would take in the mean
     * @param news how news is weighed; null: nobody talks
     * @param central one that sees all at once decides in the place of all
     */
    public record Scenario(
            int schedulers,
            int endpoints,
            int zones,
            double job,
            double load,
            double seconds,
            long seed,
            LoadEstimator news,
            boolean central,
            double lost,
            double delay,
            Fault fault) {}

    /** What came of it. */
    public static final class Result {
        public long submitted;
        public long inTime;
        public long late;
        public long refused;
        public long idleRefused;
        public long failed;
        public long datagrams;
        public long bytes;
        public int largestDatagramBytes;
        public long news;
        public final Histogram overshoot = new Histogram(3);
        public final Histogram age = new Histogram(3);

        /** Of a hundred jobs those answered in time, in the span that counts. */
        public double points() {
            return submitted == 0 ? 0 : 100.0 * inTime / submitted;
        }
    }

    private record Event(double at, long order, Runnable what) {}

    private final class Node {
        private final long id;
        private final int zone;
        private final ArrayDeque<Call> waiting = new ArrayDeque<>();
        private final List<Call> running = new ArrayList<>();
        private int busy;

        private Node(int number) {
            id = Endpoint.stableId("e" + number);
            zone = number % day.zones;
        }

        /** Seconds until it would begin a further job, by what clients said of all that are there. */
        private double foreseen() {
            if (busy < SLOTS) {
                return 0;
            }
            PriorityQueue<Double> ends = new PriorityQueue<>();
            for (Call call : running) {
                double ran = now - call.beganAt;
                ends.add(Math.max(OVERDUE_LEFT * ran, call.hint - ran));
            }
            for (Call call : waiting) {
                ends.add(ends.poll() + (call.given ? 0 : call.hint));
            }
            return ends.peek();
        }

        private void arrive(Call call) {
            if (counts()) {
                result.overshoot.recordValue(Math.max(0, busy + waiting.size() + 1 - SLOTS));
            }
            if (busy < SLOTS) {
                begin(call);
            } else if (waiting.size() < QUEUE) {
                waiting.add(call);
            } else {
                answer(call, Outcome.FULL);
            }
        }

        private void begin(Call call) {
            busy++;
            running.add(call);
            call.beganAt = now;
            call.begun = true;
            after(WIRE, () -> call.from.note(call));
            after(call.takes, () -> {
                if (call.node == this && call.begun) {
                    // The report is made before the slot is free: it counts the job that has ended.
                    answer(call, call.given ? Outcome.CANCELLED : Outcome.OK);
                    busy--;
                    running.remove(call);
                    next();
                }
            });
        }

        private void next() {
            while (busy < SLOTS && !waiting.isEmpty()) {
                Call call = waiting.poll();
                if (!call.given) {
                    begin(call);
                }
            }
        }

        private void answer(Call call, Outcome how) {
            LoadReport report = report();
            after(WIRE, () -> call.from.outcome(call, how, report));
        }

        private LoadReport report() {
            LoadReport report = new LoadReport();
            report.freeSlots = SLOTS - busy;
            report.queue = waiting.size();
            return report;
        }
    }

    private static final class Call {
        private Site from;
        private long request;
        private int attempt;
        private Node node;
        private double takes;
        private double hint;
        private double beganAt;
        private boolean begun;
        private boolean given;
        private boolean ended;
    }

    private static final class Job {
        private double arrivedAt;
        private double hint;
        private double takes;
        private boolean answered;
        private Call call;
    }

    /** One scheduler: the module, and its news. */
    private final class Site implements Dispatch.Actions, CapacityGossip.Callbacks {
        private final int number;
        private final int zone;
        private final Map<Long, Job> jobs = new HashMap<>();
        private final List<Runnable> pending = new ArrayList<>();
        private final Logic logic;
        private final CapacityGossip capacity;
        /** What speaks for it: its own picture, or lies. */
        private final CapacityGossip voice;

        private boolean atWork;
        private double weight;

        private Site(int number, Settings settings) {
            this.number = number;
            zone = settings.zone;
            logic = new Logic(settings, day.seed * 1000 + number, this);
            capacity = day.news == null ? null : new CapacityGossip(number, zone, day.news, this);
            voice = capacity == null || number > 0 || day.fault == Fault.NONE
                    ? capacity
                    : new CapacityGossip(number, zone, news -> Double.NaN, this);
        }

        private void event(Runnable one) {
            pending.add(one);
            if (atWork) {
                return;
            }
            atWork = true;
            for (int i = 0; i < pending.size(); i++) {
                pending.get(i).run();
            }
            pending.clear();
            atWork = false;
        }

        private void outcome(Call call, Outcome how, LoadReport report) {
            if (call.ended) {
                return;
            }
            call.ended = true;
            Job job = jobs.get(call.request);
            boolean over = job == null || job.answered;
            if (how == Outcome.OK && !over) {
                job.answered = true;
                over = true;
                if (job.arrivedAt >= begins) {
                    double took = now - job.arrivedAt;
                    if (took <= AIM + STRETCH * job.hint) {
                        result.inTime++;
                    } else {
                        result.late++;
                    }
                }
                jobs.remove(call.request);
            }
            boolean ended = over;
            event(() -> logic.outcome(now, call.request, call.attempt, call.node.id, how, ended, report));
            if (capacity != null) {
                capacity.attemptEnded(
                        micros(),
                        call.node.id,
                        how != Outcome.FULL,
                        report == null ? Double.NaN : report.freeSlots,
                        report == null ? Double.NaN : report.queue);
                if (voice != capacity) {
                    lie();
                }
            }
        }

        private void note(Call call) {
            event(() -> logic.note(now, call.request, call.attempt, call.node.id, Note.STARTED, 0));
        }

        @Override
        public void send(long request, int attempt, long worker) {
            Job job = jobs.get(request);
            Call call = new Call();
            call.from = this;
            call.request = request;
            call.attempt = attempt;
            call.node = byId.get(worker);
            call.takes = job.takes;
            call.hint = job.hint;
            job.call = call;
            if (capacity != null) {
                capacity.attemptSent(micros(), worker);
            }
            after(WIRE, () -> call.node.arrive(call));
        }

        @Override
        public void refuse(long request, double retryAfter) {
            Job job = jobs.remove(request);
            if (job != null && job.arrivedAt >= begins) {
                result.refused++;
                result.idleRefused += roomInReach(zone) ? 1 : 0;
            }
        }

        @Override
        public void fail(long request) {
            if (jobs.remove(request) != null && counts()) {
                result.failed++;
            }
        }

        @Override
        public boolean cancel(long request, int attempt) {
            Job job = jobs.get(request);
            if (job != null && job.call != null) {
                job.call.given = true;
            }
            return false;
        }

        @Override
        public void probe(long worker) {
            // Reports come with answers.
        }

        @Override
        public void closeIdle(long worker) {
            // Connections are not played.
        }

        @Override
        public void wake(double delay, long token) {
            after(delay, () -> event(() -> logic.timer(now, token)));
        }

        @Override
        public void watchList() {
            // All lists come at once.
        }

        // ---- its news ----

        @Override
        public void report(long endpoint, double age, LoadReport told) {
            LoadReport copy = new LoadReport();
            copy.freeSlots = told.freeSlots;
            copy.queue = told.queue;
            if (counts()) {
                result.news++;
                result.age.recordValue(
                        Math.max(0, (micros() - capacity.latestReport(endpoint).observedAt()) / 1000));
            }
            event(() -> logic.probed(now, endpoint, age, Outcome.MOOT, copy));
        }

        @Override
        public void send(int scheduler, byte[] bytes) {
            transmit(this, sites.get(scheduler), bytes);
        }

        @Override
        public void count(String what) {
            // Nothing is reported by name here.
        }

        private void lie() {
            boolean free = day.fault == Fault.LIAR_FREE;
            Node node = nodes.get(chance.nextInt(nodes.size()));
            voice.attemptSent(micros(), node.id);
            voice.attemptEnded(micros(), node.id, false, free ? LIE : 0, free ? 0 : LIE);
        }

        private void round() {
            for (int i = 0; i < FANOUT; i++) {
                Site to = other(i % 2 == 0);
                byte[] bytes = voice.buildMessage(micros(), to.zone, ROOM);
                if (bytes != null) {
                    transmit(this, to, bytes);
                }
            }
            after(CapacityGossip.ROUND_MICROS / MICROS, this::round);
        }

        /** One of the same zone, or any. */
        private Site other(boolean near) {
            for (int tries = 0; ; tries++) {
                Site to = near && tries < 20
                        ? sites.get((chance.nextInt((sites.size() + day.zones - 1) / day.zones) * day.zones + zone)
                                % sites.size())
                        : sites.get(chance.nextInt(sites.size()));
                if (to != this) {
                    return to;
                }
            }
        }
    }

    private final Scenario day;
    private final SplittableRandom draws;
    private final SplittableRandom chance;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<Site> sites = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Long, Node> byId = new HashMap<>();
    private final Result result = new Result();
    private double weights;
    private long order;
    private double now = 100;
    private final double begins;
    private long requests;

    private CapacityWorld(Scenario day) {
        this.day = day;
        draws = new SplittableRandom(day.seed);
        chance = new SplittableRandom(day.seed + 1);
        begins = now + 1;
    }

    /** Plays the day. */
    public static Result play(Scenario day) {
        return new CapacityWorld(day).play();
    }

    private boolean counts() {
        return now >= begins;
    }

    private long micros() {
        return Math.round(now * MICROS);
    }

    private void after(double delay, Runnable what) {
        events.add(new Event(now + delay, order++, what));
    }

    private Settings settings(int number) {
        Settings settings = new Settings();
        JobClass type = new JobClass();
        type.aim = AIM;
        type.stretch = STRETCH;
        type.deadline = DEADLINE;
        type.effect = Dispatch.Effect.SAFE;
        settings.classes = new JobClass[] {type};
        settings.zones = day.zones;
        settings.zone = number % day.zones;
        settings.dispatcherIndex = number;
        settings.dispatchers = day.schedulers;
        settings.reports = ReportSource.ANSWERS;
        settings.maxAttempts = 5;
        settings.mayCancel = true;
        settings.retryAfter = true;
        settings.maxRetryAfter = 2;
        settings.tellsStart = true;
        settings.headOfLineBlocking = true;
        settings.drainGrace = 0.5;
        settings.coldShare = 0.2;
        settings.coldFor = 5;
        settings.fallMultiple = 2;
        settings.fallWithin = 2;
        return settings;
    }

    private Result play() {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < day.endpoints; i++) {
            Node node = new Node(i);
            nodes.add(node);
            byId.put(node.id, node);
            Worker worker = new Worker();
            worker.id = node.id;
            worker.zone = node.zone;
            worker.cell = i;
            workers.add(worker);
        }
        for (int i = 0; i < day.schedulers; i++) {
            Site site = new Site(i, settings(i));
            sites.add(site);
            site.logic.start(now);
            site.logic.list(now, ListKind.CACHED, workers);
            if (site.capacity != null) {
                for (Node node : nodes) {
                    site.capacity.addEndpoint(node.id, node.zone, 0, "", 0);
                    site.voice.addEndpoint(node.id, node.zone, 0, "", 0);
                }
                after(chance.nextDouble() * CapacityGossip.ROUND_MICROS / MICROS, site::round);
            }
        }
        phase();
        arrive();
        double ends = begins + day.seconds;
        while (!events.isEmpty() && events.peek().at < ends + DEADLINE) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
        }
        return result;
    }

    // ---- demand ----

    /** Who is asked how much: one in twenty for ten times the mean, others for little, anew every while. */
    private void phase() {
        weights = 0;
        for (Site site : sites) {
            double drawn = draws.nextDouble();
            site.weight = drawn < 0.05 ? MOST_UNEVEN : 0.1 + 0.8 * draws.nextDouble();
            weights += site.weight;
        }
        after(PHASE, this::phase);
    }

    private void arrive() {
        if (now >= begins + day.seconds) {
            return;
        }
        double perSecond = day.load * day.endpoints * SLOTS / day.job;
        after(-Math.log(1 - draws.nextDouble()) / perSecond, this::arrive);
        double pick = draws.nextDouble() * weights;
        int i = 0;
        while (i < sites.size() - 1 && pick >= sites.get(i).weight) {
            pick -= sites.get(i++).weight;
        }
        Job job = new Job();
        job.arrivedAt = now;
        job.takes = Math.min(4 * day.job, day.job * (0.25 - 0.75 * Math.log(1 - draws.nextDouble())));
        job.hint = job.takes * (0.7 + 0.6 * draws.nextDouble());
        if (counts()) {
            result.submitted++;
        }
        if (day.central) {
            central(sites.get(i), job);
            return;
        }
        Site site = sites.get(i);
        long id = ++requests;
        site.jobs.put(id, job);
        Dispatch.Request request = new Dispatch.Request();
        request.id = id;
        request.deadline = now + DEADLINE;
        request.hint = job.hint;
        site.event(() -> site.logic.request(now, request));
    }

    // ---- one that sees all at once ----

    private void central(Site site, Job job) {
        // The module's own rule with nothing unknown but how long jobs run, of which clients say the same to
        // all: the home zone while it can be in time there, then a neighbour.
        Node best = null;
        double patience = 0.9 * (AIM + STRETCH * job.hint) - job.hint;
        int coin = chance.nextBoolean() ? 1 : day.zones - 1;
        for (int step : new int[] {0, coin, day.zones - coin}) {
            Node least = least((site.zone + step) % day.zones);
            if (least != null && least.foreseen() <= patience) {
                best = least;
                break;
            }
        }
        if (best == null) {
            boolean counts = job.arrivedAt >= begins;
            result.refused += counts ? 1 : 0;
            result.idleRefused += counts && roomInReach(site.zone) ? 1 : 0;
            return;
        }
        Call call = new Call();
        call.from = site;
        call.request = ++requests;
        call.node = best;
        call.takes = job.takes;
        call.hint = job.hint;
        site.jobs.put(call.request, job);
        // What it sends counts at once: it sees all.
        best.arrive(call);
    }

    private Node least(int zone) {
        Node best = null;
        double least = 0;
        for (int i = zone; i < nodes.size(); i += day.zones) {
            Node node = nodes.get(i);
            double wait = node.waiting.size() < QUEUE ? node.foreseen() : Double.POSITIVE_INFINITY;
            if (best == null || wait < least || wait == least && node.busy < best.busy) {
                best = node;
                least = wait;
            }
        }
        return best;
    }

    private boolean roomInReach(int zone) {
        for (int step : new int[] {0, 1, day.zones - 1}) {
            for (int i = (zone + step) % day.zones; i < nodes.size(); i += day.zones) {
                if (nodes.get(i).busy < SLOTS) {
                    return true;
                }
            }
        }
        return false;
    }

    // ---- the network ----

    private void transmit(Site from, Site to, byte[] bytes) {
        // Who comes to know all at first is no running cost, and behind the day nothing is asked for.
        if (counts() && now < begins + day.seconds) {
            result.datagrams++;
            result.bytes += bytes.length;
        }
        result.largestDatagramBytes = Math.max(result.largestDatagramBytes, bytes.length);
        if (chance.nextDouble() < day.lost) {
            return;
        }
        after(
                WIRE + chance.nextDouble() * day.delay,
                () -> to.capacity.receive(micros(), from.number, from.zone, bytes, ROOM));
    }
}
