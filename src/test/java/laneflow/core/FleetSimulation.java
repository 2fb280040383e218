package laneflow.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.RandomSettings.RandomClass;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;

/**
 * A short day of several schedulers before one fleet, on one clock in memory: the real core and module, endpoints
 * that queue, run, fall silent, die and come back cold, lists that come late, schedulers that restart.
 */
final class FleetSimulation {
    /** What a test breaks on purpose, to see that the rule's check speaks. */
    enum Fault {
        NONE,
        DUPLICATE_ANSWER,
        ANSWER_LOST,
        SEND_CHECK_SKIPPED,
        RUN_REPORTED_AS_UNSENT,
        COLD_TENFOLD,
        CLASS_REFUSED,
        TENANT_REFUSED,
        IDLE_REFUSED
    }

    /** Microseconds of idleness after which reports of before say nothing any more. */
    static final long REST_AFTER_MICROS = 2_000_000;

    private static final long START = 1_000_000_000L;
    /** Microseconds by which some connections come up late on rough days. */
    private static final int MAX_CONNECT_DELAY_MICROS = 1_500_000;
    /** Part of an endpoint's speed that a scheduler may take it for. */
    private static final double MIN_ASSUMED_SPEED = 0.6;
    /** Part of what a zone can do that calm days ask of it at most. */
    private static final double CALM_LOAD = 0.6;

    final RandomSettings settings;
    private final Fault fault;
    final boolean rough;
    final Random random;
    private final Deadlines deadlines = new Deadlines();
    private final List<SimulatedEndpoint> workers = new ArrayList<>();
    final Node[] nodes;
    private final List<Client> clients = new ArrayList<>();
    private final int[] requested;
    private final int[] served;
    final int[] tenantRequested;
    final int[] tenantServed;
    final FleetInvariants rules;
    long now = START;
    private long busySince = Long.MIN_VALUE;
    private int busy;
    /** Requests that came while every endpoint was warm and at rest. */
    int answeredAtRest;

    static final class Client {
        Node node;
        Request request;
        RandomClass type;
        int tenant;
        double work;
        final List<SentAttempt> sentAttempts = new ArrayList<>();
        boolean left;
        boolean answered;
        boolean atRest;
    }

    static final class SentAttempt {
        Client client;
        Attempt attempt;
        SimulatedEndpoint worker;
        boolean sent;
        boolean ended;
        boolean mayHaveRun;
        long sentAt;
        /** Its scheduler had heard of its endpoint's last start. */
        boolean knowsStart;
        /** The machine has it still, whether or not somebody waits for it. */
        boolean heldByWorker;

        boolean running;
    }

    /** A scheduler with its front and connector. */
    final class Node implements Front, Connector {
        final int number;
        final Scheduler scheduler;
        final Map<String, Long> drainNotifiedAt = new HashMap<>();
        private final Map<String, Entry> listed = new TreeMap<>();
        private boolean killed;

        private Node(int number, long seed, Node previous) {
            this.number = number;
            scheduler = new Scheduler(settings.settingsOf(number), seed, () -> now, deadlines, new Counters());
            if (previous == null) {
                workers.forEach(worker -> listed.put(worker.entry.name, worker.entry.withState(State.READY)));
            } else {
                listed.putAll(previous.listed);
                drainNotifiedAt.putAll(previous.drainNotifiedAt);
            }
            List<Entry> known = new ArrayList<>();
            listed.values().forEach(entry -> {
                if (entry.state != State.GONE) {
                    known.add(entry);
                }
            });
            scheduler.start(this, known);
        }

        private boolean knowsStartOf(SimulatedEndpoint worker) {
            return listed.get(worker.entry.name).startedAt == worker.entry.startedAt;
        }

        void receive(Entry entry) {
            Node current = nodes[number];
            current.listed.put(entry.name, entry);
            if (entry.state == State.READY) {
                current.drainNotifiedAt.remove(entry.name);
            } else {
                current.drainNotifiedAt.putIfAbsent(entry.name, now);
            }
            current.scheduler.list(current, false, List.of(entry));
        }

        @Override
        public String name() {
            return "http";
        }

        @Override
        public void served(long tag, byte[] result) {
            answer(tag, "served");
        }

        @Override
        public void refused(long tag, double retryAfter) {
            answer(tag, "refused");
        }

        @Override
        public void failed(long tag) {
            answer(tag, "failed");
        }

        private void answer(long tag, String what) {
            if (!killed && !(fault == Fault.ANSWER_LOST && what.equals("refused"))) {
                answered(clients.get((int) tag), what);
            }
        }

        @Override
        public void open(Attempt attempt) {
            SentAttempt sent = new SentAttempt();
            sent.client = clients.get((int) attempt.request.tag);
            sent.attempt = attempt;
            attempt.attachment = sent;
            for (SimulatedEndpoint worker : workers) {
                if (worker.entry.name.equals(attempt.endpoint.name)) {
                    sent.worker = worker;
                }
            }
            sent.knowsStart = knowsStartOf(sent.worker);
            sent.client.sentAttempts.add(sent);
            boolean late = rough && random.nextInt(20) == 0;
            schedule(500 + random.nextInt(late ? MAX_CONNECT_DELAY_MICROS : 1500), () -> connect(sent));
        }

        @Override
        public boolean close(Attempt attempt) {
            SentAttempt sent = (SentAttempt) attempt.attachment;
            sent.ended = true;
            if (sent.heldByWorker && !sent.running && settings.mayCancel) {
                sent.worker.queue.remove(sent);
                sent.worker.release(sent);
            }
            return !sent.sent;
        }

        @Override
        public void probe(Endpoint endpoint) {
            if (!settings.probes) {
                FleetInvariants.fail("probes", "these settings have none");
            }
            for (SimulatedEndpoint worker : workers) {
                if (worker.entry.name.equals(endpoint.name)) {
                    schedule(2000, () -> probed(endpoint, worker));
                }
            }
        }

        private void probed(Endpoint endpoint, SimulatedEndpoint worker) {
            if (killed) {
                return;
            }
            boolean healthy = worker.up && !worker.silent;
            scheduler.probed(
                    endpoint,
                    0.002,
                    healthy ? Outcome.OK : Outcome.CONNECT_FAILED,
                    healthy && !settings.source().equals("none") ? worker.report() : null);
        }

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    FleetSimulation(RandomSettings settings, Fault fault, boolean rough) {
        this.settings = settings;
        this.fault = fault;
        this.rough = rough;
        random = new Random(settings.seed);
        requested = new int[settings.classes.size()];
        served = new int[requested.length];
        tenantRequested = new int[Math.max(1, settings.tenants)];
        tenantServed = new int[tenantRequested.length];
        for (int i = 0; i < settings.workersPerKind * settings.zones; i++) {
            for (int kind = 0; kind < settings.kinds; kind++) {
                // Every zone has as many of each kind: where a class is tied, its home can always serve it.
                SimulatedEndpoint worker = new SimulatedEndpoint(this, workers.size(), kind);
                worker.entry.zone = i % settings.zones;
                workers.add(worker);
            }
        }
        double meanWork = 0;
        for (RandomClass type : settings.classes) {
            meanWork += type.workMs / 1e3 * settings.slotsOf(type) / settings.classes.size();
        }
        rules = new FleetInvariants(settings, fault, meanWork);
        nodes = new Node[settings.siblings];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Node(i, settings.seed + i, null);
        }
    }

    void schedule(long micros, Runnable action) {
        deadlines.at(now + micros, action);
    }

    void changeBusy(int change) {
        if (busy == 0 || busy + change == 0) {
            busySince = now;
        }
        busy += change;
    }

    private boolean atRest() {
        return busy == 0
                && now - busySince >= REST_AFTER_MICROS
                && workers.stream().allMatch(SimulatedEndpoint::isWarm);
    }

    /** Plays so many seconds of requests, and lets all end. */
    FleetSimulation play(double seconds) {
        long end = now + (long) (seconds * 1e6);
        arrivals(end, 1e6 / rate());
        if (rough) {
            injectFaults(end);
        }
        runUntil(end + 30_000_000);
        for (Client client : clients) {
            if (!client.answered && !client.left) {
                FleetInvariants.fail("in time", client.type + " has no answer");
            }
        }
        return this;
    }

    private void runUntil(long until) {
        for (long next = deadlines.next(); next <= until; next = deadlines.next()) {
            now = Math.max(now, next);
            deadlines.runDue(now);
        }
        now = until;
    }

    /** Requests a second, as many of each class, so that what each zone has of each kind is used to the load drawn. */
    private double rate() {
        double maxRate = Double.POSITIVE_INFINITY;
        for (int kind = -1; kind < settings.kinds; kind++) {
            double needed = 0;
            for (RandomClass type : settings.classes) {
                if (kind < 0 || settings.kindOf(type) == kind) {
                    needed += type.workMs / 1e3 * settings.slotsOf(type) / settings.classes.size();
                }
            }
            double available = 0;
            for (SimulatedEndpoint worker : workers) {
                available += kind < 0 || worker.entry.kind == kind ? worker.slots * worker.speed : 0;
            }
            maxRate = Math.min(maxRate, available / needed);
        }
        // A zone has its part of the endpoints, and its part of the schedulers or one more.
        int crowded =
                settings.allInFirstZone ? settings.siblings : (settings.siblings + settings.zones - 1) / settings.zones;
        return maxRate * settings.load() * (rough ? 1 : CALM_LOAD) * settings.siblings / (crowded * settings.zones);
    }

    private void arrivals(long end, double gap) {
        if (now < end) {
            request();
            schedule((long) (-gap * Math.log(1 - random.nextDouble())), () -> arrivals(end, gap));
        }
    }

    private void request() {
        Client client = new Client();
        int jobClass = random.nextInt(settings.classes.size());
        client.node = nodes[random.nextInt(nodes.length)];
        client.type = settings.classes.get(jobClass);
        client.tenant = Math.max(
                0,
                random.nextInt(tenantRequested.length + settings.firstTenantFactor - 1)
                        - settings.firstTenantFactor
                        + 1);
        client.work = client.type.workMs / 1e3 * lognormal(settings.workSpread / 10.0);
        client.request = new Request(
                client.node,
                clients.size(),
                new Payload("", "", "r", null, new byte[0]),
                jobClass,
                now + (long) (1000 * client.type.deadlineMs() * (0.7 + 0.3 * random.nextDouble())));
        client.request.tenant = settings.tenants > 0 ? client.tenant : -1;
        client.request.slots = settings.slotsOf(client.type);
        client.request.memory = settings.memory * random.nextDouble() * settings.slotsOf(client.type);
        if (settings.hintQuality > 0) {
            client.request.hint = client.work * lognormal((settings.hintQuality - 1) * 0.5);
        }
        client.atRest = !rough && atRest() && canBeInTime(client);
        clients.add(client);
        requested[jobClass]++;
        tenantRequested[client.tenant]++;
        boolean refused = fault == Fault.CLASS_REFUSED && jobClass == 0
                || fault == Fault.TENANT_REFUSED && client.tenant == 0
                || fault == Fault.IDLE_REFUSED && client.atRest;
        if (refused) {
            answered(client, "refused");
        } else {
            client.node.scheduler.submit(client.request);
            if (rough && random.nextInt(50) == 0) {
                schedule(random.nextInt(1_000_000), () -> withdraw(client));
            }
        }
    }

    /** Whether the slowest endpoint for it would end it within its aim and its client's wait, by what is told. */
    private boolean canBeInTime(Client client) {
        JobClass type = client.node.scheduler.settings().classes[client.request.jobClass];
        double slowest = Double.POSITIVE_INFINITY;
        for (int kind = 0; kind < settings.kinds; kind++) {
            if (settings.kindOf(client.type) < 0 || settings.kindOf(client.type) == kind) {
                slowest = Math.min(slowest, settings.speedOf(kind));
            }
        }
        double expected = settings.hintQuality > 0 ? client.request.hint : client.type.workMs / 1e3;
        double runTime = expected / (MIN_ASSUMED_SPEED * slowest);
        return runTime < type.aim + type.stretch * expected && runTime < (client.request.deadline - now) / 1e6;
    }

    /** Lognormal, of mean 1. */
    private double lognormal(double spread) {
        return Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }

    private void withdraw(Client client) {
        if (!client.answered && !client.left) {
            client.left = true;
            client.node.scheduler.withdraw(client.request);
        }
    }

    private void injectFaults(long end) {
        if (now >= end) {
            return;
        }
        SimulatedEndpoint worker = workers.get(random.nextInt(workers.size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                if (worker.up) {
                    worker.announce(State.DRAINING);
                    schedule(1_500_000, () -> worker.crash(true, 500_000));
                }
            }
            case 2 -> worker.crash(false, 1_000_000);
            case 3 -> {
                worker.silent = true;
                schedule(2_000_000, () -> {
                    worker.silent = false;
                    worker.startNext();
                });
            }
            case 4 -> restart(random.nextInt(nodes.length));
            case 5 -> {
                for (int i = 0; i < nodes.length; i++) {
                    restart(i);
                }
            }
            case 6 -> {
                // A zone is lost, and is back cold all at once.
                workers.forEach(one -> {
                    if (one.entry.zone == worker.entry.zone) {
                        one.crash(true, 1_500_000);
                    }
                });
            }
            default -> {
                SentAttempt[] sent = worker.held().filter(one -> !one.ended).toArray(SentAttempt[]::new);
                if (sent.length > 0) {
                    end(sent[random.nextInt(sent.length)], Outcome.RESET);
                }
            }
        }
        schedule(100_000 + random.nextInt(1_200_000), () -> injectFaults(end));
    }

    /** Killed, and started with what its list held: its clients and calls are gone, what endpoints have is not. */
    private void restart(int number) {
        Node previous = nodes[number];
        previous.killed = true;
        for (Client client : clients) {
            if (client.node == previous) {
                client.left |= !client.answered;
                client.sentAttempts.forEach(sent -> sent.ended = true);
            }
        }
        nodes[number] = new Node(number, random.nextLong(), previous);
    }

    private void connect(SentAttempt sent) {
        if (sent.ended || sent.client.node.killed) {
            return;
        }
        if (!sent.worker.up) {
            end(sent, Outcome.CONNECT_FAILED);
            return;
        }
        if (fault != Fault.SEND_CHECK_SKIPPED && !sent.client.node.scheduler.maySend(sent.attempt)) {
            end(sent, Outcome.CONNECT_FAILED);
            return;
        }
        rules.checkSend(sent, now);
        sent.sent = true;
        sent.sentAt = now;
        sent.mayHaveRun = true;
        sent.worker.receive(sent);
    }

    void end(SentAttempt sent, Outcome outcome) {
        if (sent.ended) {
            return;
        }
        sent.ended = true;
        sent.mayHaveRun &= !outcome.neverRan;
        Outcome reported = outcome == Outcome.RESET && fault == Fault.RUN_REPORTED_AS_UNSENT ? Outcome.FULL : outcome;
        boolean reports = settings.source().equals("answers") && (outcome == Outcome.OK || outcome == Outcome.FULL);
        sent.client.node.scheduler.ended(sent.attempt, reported, new byte[0], reports ? sent.worker.report() : null);
    }

    private void answered(Client client, String what) {
        rules.checkAnswer(client, what, now);
        client.answered = true;
        if (what.equals("served")) {
            served[client.request.jobClass]++;
            tenantServed[client.tenant]++;
        }
        answeredAtRest += client.atRest ? 1 : 0;
        if (fault == Fault.DUPLICATE_ANSWER) {
            answered(client, what);
        }
    }

    /** Requests a second that all endpoints can do together. */
    double capacity() {
        return workers.stream()
                        .mapToDouble(worker -> worker.slots * worker.speed)
                        .sum()
                / rules.meanWork;
    }

    int requests() {
        return clients.size();
    }

    /** The least part of a class's requests that was served, of classes with enough of them to tell. */
    double minServedShare() {
        return minShare(served, requested);
    }

    /** The same of tenants. */
    double minServedTenantShare() {
        return minShare(tenantServed, tenantRequested);
    }

    private static double minShare(int[] part, int[] total) {
        double min = 1;
        for (int i = 0; i < total.length; i++) {
            min = total[i] < 10 ? min : Math.min(min, (double) part[i] / total[i]);
        }
        return min;
    }
}
