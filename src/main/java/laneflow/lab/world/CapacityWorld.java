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
 * Simulates schedulers and endpoints in virtual time. Each scheduler runs the production decision module; its
 * capacity gossip crosses a network that delays and loses datagrams; endpoints have slots and a queue. The same seed
 * generates the same jobs whatever is gossiped, so runs of different scenarios can be compared. Times are in seconds.
 */
public final class CapacityWorld {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int MAX_DATAGRAM_BYTES = 200;
    private static final double LINK_DELAY_SECONDS = 0.001;
    private static final double AIM_SECONDS = 0.3;
    private static final double STRETCH = 2;
    private static final double DEADLINE_SECONDS = 8;
    private static final int SLOTS_PER_ENDPOINT = 4;
    private static final int QUEUE_CAPACITY = 4;
    private static final double DEMAND_PHASE_SECONDS = 2;
    /** Demand of a busy scheduler, as a multiple of the mean. */
    private static final double BUSIEST_WEIGHT = 10;

    private static final int GOSSIP_FANOUT = 2;
    private static final double FALSE_LOAD = 192;
    private static final double OVERDUE_REMAINING_SHARE = 0.5;

    /** False claims of the first scheduler's gossip about endpoints: 192 free slots, or 192 queued jobs. */
    public enum Fault {
        NONE,
        LIAR_FREE,
        LIAR_FULL
    }

    /**
     * A simulated fleet and its demand.
     *
     * @param job mean duration of a job in seconds
     * @param load mean share of all slots that the demand would occupy
     * @param seconds length of the measured span
     * @param news how gossiped load reports are weighed; null: no gossip
     * @param central whether one dispatcher with complete, current knowledge replaces the schedulers' decisions
     * @param lost share of gossip datagrams that are lost
     * @param delay upper bound of a datagram's random delay in seconds
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

    /** Counts over the measured span. */
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

        /** Returns the percentage of submitted jobs that were answered in time. */
        public double points() {
            return submitted == 0 ? 0 : 100.0 * inTime / submitted;
        }
    }

    private record Event(double at, long sequence, Runnable action) {}

    private final class SimulatedEndpoint {
        private final long id;
        private final int zone;
        private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
        private final List<Attempt> running = new ArrayList<>();
        private int busy;

        private SimulatedEndpoint(int number) {
            id = Endpoint.stableId("e" + number);
            zone = number % scenario.zones;
        }

        /** Seconds until a further job could start, estimated from the clients' hints for the jobs present. */
        private double expectedWaitSeconds() {
            if (busy < SLOTS_PER_ENDPOINT) {
                return 0;
            }
            PriorityQueue<Double> ends = new PriorityQueue<>();
            for (Attempt attempt : running) {
                double ran = now - attempt.startedAt;
                ends.add(Math.max(OVERDUE_REMAINING_SHARE * ran, attempt.hint - ran));
            }
            for (Attempt attempt : waiting) {
                ends.add(ends.poll() + (attempt.cancelled ? 0 : attempt.hint));
            }
            return ends.peek();
        }

        private void arrive(Attempt attempt) {
            if (isMeasured()) {
                result.overshoot.recordValue(Math.max(0, busy + waiting.size() + 1 - SLOTS_PER_ENDPOINT));
            }
            if (busy < SLOTS_PER_ENDPOINT) {
                start(attempt);
            } else if (waiting.size() < QUEUE_CAPACITY) {
                waiting.add(attempt);
            } else {
                answer(attempt, Outcome.FULL);
            }
        }

        private void start(Attempt attempt) {
            busy++;
            running.add(attempt);
            attempt.startedAt = now;
            attempt.started = true;
            schedule(LINK_DELAY_SECONDS, () -> attempt.from.note(attempt));
            schedule(attempt.durationSeconds, () -> {
                if (attempt.endpoint == this && attempt.started) {
                    // The report is made before the slot is released, so it still counts the job that has just ended.
                    answer(attempt, attempt.cancelled ? Outcome.CANCELLED : Outcome.OK);
                    busy--;
                    running.remove(attempt);
                    next();
                }
            });
        }

        private void next() {
            while (busy < SLOTS_PER_ENDPOINT && !waiting.isEmpty()) {
                Attempt attempt = waiting.poll();
                if (!attempt.cancelled) {
                    start(attempt);
                }
            }
        }

        private void answer(Attempt attempt, Outcome outcome) {
            LoadReport report = report();
            schedule(LINK_DELAY_SECONDS, () -> attempt.from.outcome(attempt, outcome, report));
        }

        private LoadReport report() {
            LoadReport report = new LoadReport();
            report.freeSlots = SLOTS_PER_ENDPOINT - busy;
            report.queue = waiting.size();
            return report;
        }
    }

    private static final class Attempt {
        private SimulatedScheduler from;
        private long request;
        private int attemptNumber;
        private SimulatedEndpoint endpoint;
        private double durationSeconds;
        private double hint;
        private double startedAt;
        private boolean started;
        private boolean cancelled;
        private boolean ended;
    }

    private static final class Job {
        private double arrivedAt;
        private double hint;
        private double durationSeconds;
        private boolean answered;
        private Attempt attempt;
    }

    /** A scheduler: the decision module and its capacity gossip. */
    private final class SimulatedScheduler implements Dispatch.Actions, CapacityGossip.Callbacks {
        private final int number;
        private final int zone;
        private final Map<Long, Job> jobs = new HashMap<>();
        private final List<Runnable> pending = new ArrayList<>();
        private final Logic logic;
        private final CapacityGossip capacity;
        /** Builds the outgoing gossip: {@link #capacity}, or a separate instance with false reports. */
        private final CapacityGossip gossipSender;

        private boolean dispatching;
        private double weight;

        private SimulatedScheduler(int number, Settings settings) {
            this.number = number;
            zone = settings.zone;
            logic = new Logic(settings, scenario.seed * 1000 + number, this);
            capacity = scenario.news == null ? null : new CapacityGossip(number, zone, scenario.news, this);
            gossipSender = capacity == null || number > 0 || scenario.fault == Fault.NONE
                    ? capacity
                    : new CapacityGossip(number, zone, news -> Double.NaN, this);
        }

        private void enqueue(Runnable event) {
            pending.add(event);
            if (dispatching) {
                return;
            }
            dispatching = true;
            for (int i = 0; i < pending.size(); i++) {
                pending.get(i).run();
            }
            pending.clear();
            dispatching = false;
        }

        private void outcome(Attempt attempt, Outcome outcome, LoadReport report) {
            if (attempt.ended) {
                return;
            }
            attempt.ended = true;
            Job job = jobs.get(attempt.request);
            boolean completed = job == null || job.answered;
            if (outcome == Outcome.OK && !completed) {
                job.answered = true;
                completed = true;
                if (job.arrivedAt >= measuredFrom) {
                    double took = now - job.arrivedAt;
                    if (took <= AIM_SECONDS + STRETCH * job.hint) {
                        result.inTime++;
                    } else {
                        result.late++;
                    }
                }
                jobs.remove(attempt.request);
            }
            boolean ended = completed;
            enqueue(() -> logic.outcome(
                    now, attempt.request, attempt.attemptNumber, attempt.endpoint.id, outcome, ended, report));
            if (capacity != null) {
                capacity.attemptEnded(
                        micros(),
                        attempt.endpoint.id,
                        outcome != Outcome.FULL,
                        report == null ? Double.NaN : report.freeSlots,
                        report == null ? Double.NaN : report.queue);
                if (gossipSender != capacity) {
                    sendFalseReport();
                }
            }
        }

        private void note(Attempt attempt) {
            enqueue(() ->
                    logic.note(now, attempt.request, attempt.attemptNumber, attempt.endpoint.id, Note.STARTED, 0));
        }

        @Override
        public void send(long request, int attemptNumber, long worker) {
            Job job = jobs.get(request);
            Attempt attempt = new Attempt();
            attempt.from = this;
            attempt.request = request;
            attempt.attemptNumber = attemptNumber;
            attempt.endpoint = byId.get(worker);
            attempt.durationSeconds = job.durationSeconds;
            attempt.hint = job.hint;
            job.attempt = attempt;
            if (capacity != null) {
                capacity.attemptSent(micros(), worker);
            }
            schedule(LINK_DELAY_SECONDS, () -> attempt.endpoint.arrive(attempt));
        }

        @Override
        public void refuse(long request, double retryAfter) {
            Job job = jobs.remove(request);
            if (job != null && job.arrivedAt >= measuredFrom) {
                result.refused++;
                result.idleRefused += hasFreeSlotInReach(zone) ? 1 : 0;
            }
        }

        @Override
        public void fail(long request) {
            if (jobs.remove(request) != null && isMeasured()) {
                result.failed++;
            }
        }

        @Override
        public boolean cancel(long request, int attemptNumber) {
            Job job = jobs.get(request);
            if (job != null && job.attempt != null) {
                job.attempt.cancelled = true;
            }
            return false;
        }

        @Override
        public void probe(long worker) {
            // Load reports arrive with the answers.
        }

        @Override
        public void closeIdle(long worker) {
            // Connections are not simulated.
        }

        @Override
        public void wake(double delay, long token) {
            schedule(delay, () -> enqueue(() -> logic.timer(now, token)));
        }

        @Override
        public void watchList() {
            // The only endpoint list is delivered at the start.
        }

        // ---- capacity gossip ----

        @Override
        public void report(long endpoint, double age, LoadReport received) {
            LoadReport copy = new LoadReport();
            copy.freeSlots = received.freeSlots;
            copy.queue = received.queue;
            if (isMeasured()) {
                result.news++;
                result.age.recordValue(
                        Math.max(0, (micros() - capacity.latestReport(endpoint).observedAt()) / 1000));
            }
            enqueue(() -> logic.probed(now, endpoint, age, Outcome.MOOT, copy));
        }

        @Override
        public void send(int scheduler, byte[] bytes) {
            transmit(this, schedulers.get(scheduler), bytes);
        }

        @Override
        public void count(String what) {
            // The simulation exports no metrics.
        }

        private void sendFalseReport() {
            boolean free = scenario.fault == Fault.LIAR_FREE;
            SimulatedEndpoint endpoint = endpoints.get(networkRandom.nextInt(endpoints.size()));
            gossipSender.attemptSent(micros(), endpoint.id);
            gossipSender.attemptEnded(micros(), endpoint.id, false, free ? FALSE_LOAD : 0, free ? 0 : FALSE_LOAD);
        }

        private void gossipRound() {
            for (int i = 0; i < GOSSIP_FANOUT; i++) {
                SimulatedScheduler to = randomPeer(i % 2 == 0);
                byte[] bytes = gossipSender.buildMessage(micros(), to.zone, MAX_DATAGRAM_BYTES);
                if (bytes != null) {
                    transmit(this, to, bytes);
                }
            }
            schedule(CapacityGossip.ROUND_MICROS / MICROS_PER_SECOND, this::gossipRound);
        }

        /** Picks another scheduler at random; one of the same zone if preferred, unless 20 draws find none. */
        private SimulatedScheduler randomPeer(boolean preferSameZone) {
            for (int tries = 0; ; tries++) {
                SimulatedScheduler to = preferSameZone && tries < 20
                        ? schedulers.get(
                                (networkRandom.nextInt((schedulers.size() + scenario.zones - 1) / scenario.zones)
                                                        * scenario.zones
                                                + zone)
                                        % schedulers.size())
                        : schedulers.get(networkRandom.nextInt(schedulers.size()));
                if (to != this) {
                    return to;
                }
            }
        }
    }

    private final Scenario scenario;
    private final SplittableRandom demandRandom;
    private final SplittableRandom networkRandom;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final List<SimulatedScheduler> schedulers = new ArrayList<>();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final Map<Long, SimulatedEndpoint> byId = new HashMap<>();
    private final Result result = new Result();
    private double totalWeight;
    private long sequence;
    private double now = 100;
    private final double measuredFrom;
    private long requests;

    private CapacityWorld(Scenario scenario) {
        this.scenario = scenario;
        demandRandom = new SplittableRandom(scenario.seed);
        networkRandom = new SplittableRandom(scenario.seed + 1);
        measuredFrom = now + 1;
    }

    /** Runs the scenario. */
    public static Result play(Scenario scenario) {
        return new CapacityWorld(scenario).play();
    }

    private boolean isMeasured() {
        return now >= measuredFrom;
    }

    private long micros() {
        return Math.round(now * MICROS_PER_SECOND);
    }

    private void schedule(double delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    private Settings settings(int number) {
        Settings settings = new Settings();
        JobClass type = new JobClass();
        type.aim = AIM_SECONDS;
        type.stretch = STRETCH;
        type.deadline = DEADLINE_SECONDS;
        type.effect = Dispatch.Effect.SAFE;
        settings.classes = new JobClass[] {type};
        settings.zones = scenario.zones;
        settings.zone = number % scenario.zones;
        settings.dispatcherIndex = number;
        settings.dispatchers = scenario.schedulers;
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
        for (int i = 0; i < scenario.endpoints; i++) {
            SimulatedEndpoint endpoint = new SimulatedEndpoint(i);
            endpoints.add(endpoint);
            byId.put(endpoint.id, endpoint);
            Worker worker = new Worker();
            worker.id = endpoint.id;
            worker.zone = endpoint.zone;
            worker.cell = i;
            workers.add(worker);
        }
        for (int i = 0; i < scenario.schedulers; i++) {
            SimulatedScheduler scheduler = new SimulatedScheduler(i, settings(i));
            schedulers.add(scheduler);
            scheduler.logic.start(now);
            scheduler.logic.list(now, ListKind.CACHED, workers);
            if (scheduler.capacity != null) {
                for (SimulatedEndpoint endpoint : endpoints) {
                    scheduler.capacity.addEndpoint(endpoint.id, endpoint.zone, 0, "", 0);
                    scheduler.gossipSender.addEndpoint(endpoint.id, endpoint.zone, 0, "", 0);
                }
                schedule(
                        networkRandom.nextDouble() * CapacityGossip.ROUND_MICROS / MICROS_PER_SECOND,
                        scheduler::gossipRound);
            }
        }
        startDemandPhase();
        arrive();
        double ends = measuredFrom + scenario.seconds;
        while (!events.isEmpty() && events.peek().at < ends + DEADLINE_SECONDS) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        return result;
    }

    // ---- demand ----

    /** Redraws each scheduler's share of the demand: one in 20 gets ten times the mean, the others 0.1 to 0.9 of it. */
    private void startDemandPhase() {
        totalWeight = 0;
        for (SimulatedScheduler scheduler : schedulers) {
            double drawn = demandRandom.nextDouble();
            scheduler.weight = drawn < 0.05 ? BUSIEST_WEIGHT : 0.1 + 0.8 * demandRandom.nextDouble();
            totalWeight += scheduler.weight;
        }
        schedule(DEMAND_PHASE_SECONDS, this::startDemandPhase);
    }

    private void arrive() {
        if (now >= measuredFrom + scenario.seconds) {
            return;
        }
        double perSecond = scenario.load * scenario.endpoints * SLOTS_PER_ENDPOINT / scenario.job;
        schedule(-Math.log(1 - demandRandom.nextDouble()) / perSecond, this::arrive);
        double pick = demandRandom.nextDouble() * totalWeight;
        int i = 0;
        while (i < schedulers.size() - 1 && pick >= schedulers.get(i).weight) {
            pick -= schedulers.get(i++).weight;
        }
        Job job = new Job();
        job.arrivedAt = now;
        job.durationSeconds =
                Math.min(4 * scenario.job, scenario.job * (0.25 - 0.75 * Math.log(1 - demandRandom.nextDouble())));
        job.hint = job.durationSeconds * (0.7 + 0.6 * demandRandom.nextDouble());
        if (isMeasured()) {
            result.submitted++;
        }
        if (scenario.central) {
            dispatchCentrally(schedulers.get(i), job);
            return;
        }
        SimulatedScheduler scheduler = schedulers.get(i);
        long id = ++requests;
        scheduler.jobs.put(id, job);
        Dispatch.Request request = new Dispatch.Request();
        request.id = id;
        request.deadline = now + DEADLINE_SECONDS;
        request.hint = job.hint;
        scheduler.enqueue(() -> scheduler.logic.request(now, request));
    }

    // ---- central dispatcher with complete knowledge ----

    private void dispatchCentrally(SimulatedScheduler scheduler, Job job) {
        // Applies the decision module's rule with complete knowledge of all endpoints; only the jobs' durations are
        // estimated, from the same hints: the home zone while the job can be in time there, then a neighbour zone.
        SimulatedEndpoint best = null;
        double patience = 0.9 * (AIM_SECONDS + STRETCH * job.hint) - job.hint;
        int coin = networkRandom.nextBoolean() ? 1 : scenario.zones - 1;
        for (int step : new int[] {0, coin, scenario.zones - coin}) {
            SimulatedEndpoint least = leastLoaded((scheduler.zone + step) % scenario.zones);
            if (least != null && least.expectedWaitSeconds() <= patience) {
                best = least;
                break;
            }
        }
        if (best == null) {
            boolean counts = job.arrivedAt >= measuredFrom;
            result.refused += counts ? 1 : 0;
            result.idleRefused += counts && hasFreeSlotInReach(scheduler.zone) ? 1 : 0;
            return;
        }
        Attempt attempt = new Attempt();
        attempt.from = scheduler;
        attempt.request = ++requests;
        attempt.endpoint = best;
        attempt.durationSeconds = job.durationSeconds;
        attempt.hint = job.hint;
        scheduler.jobs.put(attempt.request, job);
        // Without a link delay: the dispatcher's next decision must already see this job.
        best.arrive(attempt);
    }

    private SimulatedEndpoint leastLoaded(int zone) {
        SimulatedEndpoint best = null;
        double least = 0;
        for (int i = zone; i < endpoints.size(); i += scenario.zones) {
            SimulatedEndpoint endpoint = endpoints.get(i);
            double wait = endpoint.waiting.size() < QUEUE_CAPACITY
                    ? endpoint.expectedWaitSeconds()
                    : Double.POSITIVE_INFINITY;
            if (best == null || wait < least || wait == least && endpoint.busy < best.busy) {
                best = endpoint;
                least = wait;
            }
        }
        return best;
    }

    private boolean hasFreeSlotInReach(int zone) {
        for (int step : new int[] {0, 1, scenario.zones - 1}) {
            for (int i = (zone + step) % scenario.zones; i < endpoints.size(); i += scenario.zones) {
                if (endpoints.get(i).busy < SLOTS_PER_ENDPOINT) {
                    return true;
                }
            }
        }
        return false;
    }

    // ---- the network ----

    private void transmit(SimulatedScheduler from, SimulatedScheduler to, byte[] bytes) {
        // Excludes the initial spread of all reports, which is no running cost, and the time after the last job.
        if (isMeasured() && now < measuredFrom + scenario.seconds) {
            result.datagrams++;
            result.bytes += bytes.length;
        }
        result.largestDatagramBytes = Math.max(result.largestDatagramBytes, bytes.length);
        if (networkRandom.nextDouble() < scenario.lost) {
            return;
        }
        schedule(
                LINK_DELAY_SECONDS + networkRandom.nextDouble() * scenario.delay,
                () -> to.capacity.receive(micros(), from.number, from.zone, bytes, MAX_DATAGRAM_BYTES));
    }
}
