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
 * Simulates several schedulers that share a fleet, on one simulated clock: the real core and decision module,
 * with endpoints that queue and run jobs, hang, crash and restart cold, late lists and restarting schedulers.
 */
final class FleetSimulation {
    /** A fault injected to verify that the check of an invariant detects it. */
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

    /** Idle time after which earlier load reports no longer affect decisions. */
    static final long IDLE_AFTER_MICROS = 2_000_000;

    private static final long START = 1_000_000_000L;
    /** Longest delay of a connection in simulations with faults. */
    private static final int MAX_CONNECT_DELAY_MICROS = 1_500_000;
    /** The lowest speed that a scheduler may assume, as a fraction of the endpoint's real speed. */
    private static final double MIN_ASSUMED_SPEED = 0.6;
    /** Highest load of a zone in simulations without faults, as a fraction of its capacity. */
    private static final double FAULT_FREE_LOAD = 0.6;

    final RandomSettings settings;
    private final Fault fault;
    final boolean withFaults;
    final Random random;
    private final Deadlines deadlines = new Deadlines();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    final Node[] nodes;
    private final List<Client> clients = new ArrayList<>();
    private final int[] requested;
    private final int[] served;
    final int[] tenantRequested;
    final int[] tenantServed;
    final FleetInvariants invariants;
    long now = START;
    private long idleChangedAt = Long.MIN_VALUE;
    private int heldAttempts;
    /** Answered requests that arrived while every endpoint was warm and idle. */
    int answeredWhileIdle;

    static final class Client {
        Node node;
        Request request;
        RandomClass type;
        int tenant;
        double work;
        final List<SentAttempt> sentAttempts = new ArrayList<>();
        boolean left;
        boolean answered;
        boolean isIdle;
    }

    static final class SentAttempt {
        Client client;
        Attempt attempt;
        SimulatedEndpoint endpoint;
        boolean wasSent;
        boolean ended;
        boolean mayHaveRun;
        long sentAt;
        /** Its scheduler knew of the endpoint's last start. */
        boolean knowsStart;
        /** The endpoint has it running or queued, whether or not a client still waits for it. */
        boolean heldByEndpoint;

        boolean running;
    }

    /** A scheduler with its front and connector. */
    final class Node implements Front, Connector {
        final int number;
        final Scheduler scheduler;
        final Map<String, Long> drainNotifiedAt = new HashMap<>();
        private final Map<String, Entry> listedEntries = new TreeMap<>();
        private boolean killed;

        private Node(int number, long seed, Node previous) {
            this.number = number;
            scheduler = new Scheduler(settings.settingsOf(number), seed, () -> now, deadlines, new Counters());
            if (previous == null) {
                endpoints.forEach(
                        endpoint -> listedEntries.put(endpoint.entry.name, endpoint.entry.withState(State.READY)));
            } else {
                listedEntries.putAll(previous.listedEntries);
                drainNotifiedAt.putAll(previous.drainNotifiedAt);
            }
            List<Entry> known = new ArrayList<>();
            listedEntries.values().forEach(entry -> {
                if (entry.state != State.GONE) {
                    known.add(entry);
                }
            });
            scheduler.start(this, known);
        }

        private boolean knowsStartOf(SimulatedEndpoint endpoint) {
            return listedEntries.get(endpoint.entry.name).startedAt == endpoint.entry.startedAt;
        }

        void receive(Entry entry) {
            Node current = nodes[number];
            current.listedEntries.put(entry.name, entry);
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

        private void answer(long tag, String answer) {
            if (!killed && !(fault == Fault.ANSWER_LOST && answer.equals("refused"))) {
                onAnswer(clients.get((int) tag), answer);
            }
        }

        @Override
        public void open(Attempt attempt) {
            SentAttempt sentAttempt = new SentAttempt();
            sentAttempt.client = clients.get((int) attempt.request.tag);
            sentAttempt.attempt = attempt;
            attempt.attachment = sentAttempt;
            for (SimulatedEndpoint endpoint : endpoints) {
                if (endpoint.entry.name.equals(attempt.endpoint.name)) {
                    sentAttempt.endpoint = endpoint;
                }
            }
            sentAttempt.knowsStart = knowsStartOf(sentAttempt.endpoint);
            sentAttempt.client.sentAttempts.add(sentAttempt);
            boolean opensLate = withFaults && random.nextInt(20) == 0;
            schedule(500 + random.nextInt(opensLate ? MAX_CONNECT_DELAY_MICROS : 1500), () -> connect(sentAttempt));
        }

        @Override
        public boolean close(Attempt attempt) {
            SentAttempt sentAttempt = (SentAttempt) attempt.attachment;
            sentAttempt.ended = true;
            if (sentAttempt.heldByEndpoint && !sentAttempt.running && settings.mayCancel) {
                sentAttempt.endpoint.queue.remove(sentAttempt);
                sentAttempt.endpoint.release(sentAttempt);
            }
            return !sentAttempt.wasSent;
        }

        @Override
        public void probe(Endpoint endpoint) {
            if (!settings.probes) {
                FleetInvariants.fail("probes", "these settings have none");
            }
            for (SimulatedEndpoint target : endpoints) {
                if (target.entry.name.equals(endpoint.name)) {
                    schedule(2000, () -> answerProbe(endpoint, target));
                }
            }
        }

        private void answerProbe(Endpoint endpoint, SimulatedEndpoint target) {
            if (killed) {
                return;
            }
            boolean healthy = target.up && !target.silent;
            scheduler.probed(
                    endpoint,
                    0.002,
                    healthy ? Outcome.OK : Outcome.CONNECT_FAILED,
                    healthy && !settings.source().equals("none") ? target.report() : null);
        }

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    FleetSimulation(RandomSettings settings, Fault fault, boolean withFaults) {
        this.settings = settings;
        this.fault = fault;
        this.withFaults = withFaults;
        random = new Random(settings.seed);
        requested = new int[settings.classes.size()];
        served = new int[requested.length];
        tenantRequested = new int[Math.max(1, settings.tenants)];
        tenantServed = new int[tenantRequested.length];
        for (int i = 0; i < settings.workersPerKind * settings.zones; i++) {
            for (int kind = 0; kind < settings.kinds; kind++) {
                // Every zone has the same number of each kind, so it can always serve a class tied to a kind.
                SimulatedEndpoint endpoint = new SimulatedEndpoint(this, endpoints.size(), kind);
                endpoint.entry.zone = i % settings.zones;
                endpoints.add(endpoint);
            }
        }
        double meanWork = 0;
        for (RandomClass type : settings.classes) {
            meanWork += type.workMs / 1e3 * settings.slotsOf(type) / settings.classes.size();
        }
        invariants = new FleetInvariants(settings, fault, meanWork);
        nodes = new Node[settings.siblings];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Node(i, settings.seed + i, null);
        }
    }

    void schedule(long micros, Runnable action) {
        deadlines.at(now + micros, action);
    }

    void changeHeldAttempts(int change) {
        if (heldAttempts == 0 || heldAttempts + change == 0) {
            idleChangedAt = now;
        }
        heldAttempts += change;
    }

    private boolean isIdle() {
        return heldAttempts == 0
                && now - idleChangedAt >= IDLE_AFTER_MICROS
                && endpoints.stream().allMatch(SimulatedEndpoint::isWarm);
    }

    /** Submits requests during the given time, then runs until all have ended. */
    FleetSimulation run(double seconds) {
        long end = now + (long) (seconds * 1e6);
        scheduleArrivals(end, 1e6 / rate());
        if (withFaults) {
            injectFaults(end);
        }
        runUntil(end + 30_000_000);
        for (Client client : clients) {
            if (!client.answered && !client.left) {
                FleetInvariants.fail("answered in time", client.type + " has no answer");
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

    /** Requests per second, equal for all classes, that load each kind of endpoint in each zone as the settings say. */
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
            for (SimulatedEndpoint endpoint : endpoints) {
                available += kind < 0 || endpoint.entry.kind == kind ? endpoint.slots * endpoint.speed : 0;
            }
            maxRate = Math.min(maxRate, available / needed);
        }
        // A zone has an equal part of the endpoints, but may have one scheduler more than the others.
        int maxPerZone =
                settings.allInFirstZone ? settings.siblings : (settings.siblings + settings.zones - 1) / settings.zones;
        return maxRate
                * settings.load()
                * (withFaults ? 1 : FAULT_FREE_LOAD)
                * settings.siblings
                / (maxPerZone * settings.zones);
    }

    private void scheduleArrivals(long end, double meanGapMicros) {
        if (now < end) {
            submitRandomRequest();
            schedule(
                    (long) (-meanGapMicros * Math.log(1 - random.nextDouble())),
                    () -> scheduleArrivals(end, meanGapMicros));
        }
    }

    private void submitRandomRequest() {
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
        client.isIdle = !withFaults && isIdle() && canBeInTime(client);
        clients.add(client);
        requested[jobClass]++;
        tenantRequested[client.tenant]++;
        boolean refused = fault == Fault.CLASS_REFUSED && jobClass == 0
                || fault == Fault.TENANT_REFUSED && client.tenant == 0
                || fault == Fault.IDLE_REFUSED && client.isIdle;
        if (refused) {
            onAnswer(client, "refused");
        } else {
            client.node.scheduler.submit(client.request);
            if (withFaults && random.nextInt(50) == 0) {
                schedule(random.nextInt(1_000_000), () -> withdraw(client));
            }
        }
    }

    /** Whether, by its expected work, the slowest suitable endpoint would meet the aim and the client's deadline. */
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

    /** A lognormal sample of mean 1. */
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
        SimulatedEndpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                if (endpoint.up) {
                    endpoint.announce(State.DRAINING);
                    schedule(1_500_000, () -> endpoint.crash(true, 500_000));
                }
            }
            case 2 -> endpoint.crash(false, 1_000_000);
            case 3 -> {
                endpoint.silent = true;
                schedule(2_000_000, () -> {
                    endpoint.silent = false;
                    endpoint.startNext();
                });
            }
            case 4 -> restart(random.nextInt(nodes.length));
            case 5 -> {
                for (int i = 0; i < nodes.length; i++) {
                    restart(i);
                }
            }
            case 6 -> {
                // A whole zone crashes and restarts cold.
                endpoints.forEach(candidate -> {
                    if (candidate.entry.zone == endpoint.entry.zone) {
                        candidate.crash(true, 1_500_000);
                    }
                });
            }
            default -> {
                SentAttempt[] attempts = endpoint.heldAttempts()
                        .filter(candidate -> !candidate.ended)
                        .toArray(SentAttempt[]::new);
                if (attempts.length > 0) {
                    end(attempts[random.nextInt(attempts.length)], Outcome.RESET);
                }
            }
        }
        schedule(100_000 + random.nextInt(1_200_000), () -> injectFaults(end));
    }

    /** Kills a scheduler with its clients and attempts and starts it with its last list; endpoints go on. */
    private void restart(int number) {
        Node previous = nodes[number];
        previous.killed = true;
        for (Client client : clients) {
            if (client.node == previous) {
                client.left |= !client.answered;
                client.sentAttempts.forEach(sentAttempt -> sentAttempt.ended = true);
            }
        }
        nodes[number] = new Node(number, random.nextLong(), previous);
    }

    private void connect(SentAttempt sentAttempt) {
        if (sentAttempt.ended || sentAttempt.client.node.killed) {
            return;
        }
        if (!sentAttempt.endpoint.up) {
            end(sentAttempt, Outcome.CONNECT_FAILED);
            return;
        }
        if (fault != Fault.SEND_CHECK_SKIPPED && !sentAttempt.client.node.scheduler.maySend(sentAttempt.attempt)) {
            end(sentAttempt, Outcome.CONNECT_FAILED);
            return;
        }
        invariants.checkSend(sentAttempt, now);
        sentAttempt.wasSent = true;
        sentAttempt.sentAt = now;
        sentAttempt.mayHaveRun = true;
        sentAttempt.endpoint.receive(sentAttempt);
    }

    void end(SentAttempt sentAttempt, Outcome outcome) {
        if (sentAttempt.ended) {
            return;
        }
        sentAttempt.ended = true;
        sentAttempt.mayHaveRun &= !outcome.neverRan;
        Outcome reported = outcome == Outcome.RESET && fault == Fault.RUN_REPORTED_AS_UNSENT ? Outcome.FULL : outcome;
        boolean reports = settings.source().equals("answers") && (outcome == Outcome.OK || outcome == Outcome.FULL);
        sentAttempt.client.node.scheduler.ended(
                sentAttempt.attempt, reported, new byte[0], reports ? sentAttempt.endpoint.report() : null);
    }

    private void onAnswer(Client client, String answer) {
        invariants.checkAnswer(client, answer, now);
        client.answered = true;
        if (answer.equals("served")) {
            served[client.request.jobClass]++;
            tenantServed[client.tenant]++;
        }
        answeredWhileIdle += client.isIdle ? 1 : 0;
        if (fault == Fault.DUPLICATE_ANSWER) {
            onAnswer(client, answer);
        }
    }

    /** Requests per second that all endpoints can serve together. */
    double capacity() {
        return endpoints.stream()
                        .mapToDouble(endpoint -> endpoint.slots * endpoint.speed)
                        .sum()
                / invariants.meanWork;
    }

    int requests() {
        return clients.size();
    }

    /** The lowest served share of a class, among classes with at least 10 requests. */
    double minServedShare() {
        return minShare(served, requested);
    }

    /** The lowest served share of a tenant, among tenants with at least 10 requests. */
    double minServedTenantShare() {
        return minShare(tenantServed, tenantRequested);
    }

    private static double minShare(int[] served, int[] total) {
        double min = 1;
        for (int i = 0; i < total.length; i++) {
            min = total[i] < 10 ? min : Math.min(min, (double) served[i] / total[i]);
        }
        return min;
    }
}
