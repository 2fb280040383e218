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

    /** Idle time in microseconds after which earlier load reports no longer matter. */
    static final long REST_AFTER_MICROS = 2_000_000;

    private static final long START = 1_000_000_000L;
    /** Largest delay, in microseconds, of the connections that open late on rough days. */
    private static final int MAX_CONNECT_DELAY_MICROS = 1_500_000;
    /** The lowest speed that a scheduler may assume, as a part of the endpoint's real speed. */
    private static final double MIN_ASSUMED_SPEED = 0.6;
    /** Largest load of a zone on calm days, as a part of its capacity. */
    private static final double CALM_LOAD = 0.6;

    final RandomSettings drawn;
    private final Fault fault;
    final boolean rough;
    final Random random;
    private final Deadlines deadlines = new Deadlines();
    private final List<FleetEndpoint> workers = new ArrayList<>();
    final Node[] nodes;
    private final List<Client> clients = new ArrayList<>();
    private final int[] requested;
    private final int[] served;
    final int[] tenantRequested;
    final int[] tenantServed;
    final FleetRules rules;
    long now = START;
    private long busySince = Long.MIN_VALUE;
    private int busy;
    /** Answered requests that arrived while every endpoint was warm and idle. */
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
        FleetEndpoint worker;
        boolean sent;
        boolean ended;
        boolean mayHaveRun;
        long sentAt;
        /** Its scheduler knew of the endpoint's last start. */
        boolean knowsStart;
        /** The endpoint still holds it, whether or not somebody waits for it. */
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
            scheduler = new Scheduler(drawn.settingsOf(number), seed, () -> now, deadlines, new Counters());
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

        private boolean knowsStartOf(FleetEndpoint worker) {
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
            for (FleetEndpoint worker : workers) {
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
            if (sent.heldByWorker && !sent.running && drawn.mayCancel) {
                sent.worker.queue.remove(sent);
                sent.worker.release(sent);
            }
            return !sent.sent;
        }

        @Override
        public void probe(Endpoint endpoint) {
            if (!drawn.probes) {
                FleetRules.fail("probes", "these settings have none");
            }
            for (FleetEndpoint worker : workers) {
                if (worker.entry.name.equals(endpoint.name)) {
                    schedule(2000, () -> probed(endpoint, worker));
                }
            }
        }

        private void probed(Endpoint endpoint, FleetEndpoint worker) {
            if (killed) {
                return;
            }
            boolean healthy = worker.up && !worker.silent;
            scheduler.probed(
                    endpoint,
                    0.002,
                    healthy ? Outcome.OK : Outcome.CONNECT_FAILED,
                    healthy && !drawn.source().equals("none") ? worker.report() : null);
        }

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    FleetSimulation(RandomSettings drawn, Fault fault, boolean rough) {
        this.drawn = drawn;
        this.fault = fault;
        this.rough = rough;
        random = new Random(drawn.seed);
        requested = new int[drawn.classes.size()];
        served = new int[requested.length];
        tenantRequested = new int[Math.max(1, drawn.tenants)];
        tenantServed = new int[tenantRequested.length];
        for (int i = 0; i < drawn.workersPerKind * drawn.zones; i++) {
            for (int kind = 0; kind < drawn.kinds; kind++) {
                // Every zone has the same number of each kind, so it can always serve a class tied to a kind.
                FleetEndpoint worker = new FleetEndpoint(this, workers.size(), kind);
                worker.entry.zone = i % drawn.zones;
                workers.add(worker);
            }
        }
        double meanWork = 0;
        for (RandomClass type : drawn.classes) {
            meanWork += type.workMs / 1e3 * drawn.slotsOf(type) / drawn.classes.size();
        }
        rules = new FleetRules(drawn, fault, meanWork);
        nodes = new Node[drawn.siblings];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Node(i, drawn.seed + i, null);
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
                && workers.stream().allMatch(FleetEndpoint::isWarm);
    }

    /** Submits requests for so many seconds and runs until all have ended. */
    FleetSimulation play(double seconds) {
        long end = now + (long) (seconds * 1e6);
        arrivals(end, 1e6 / rate());
        if (rough) {
            injectFaults(end);
        }
        runUntil(end + 30_000_000);
        for (Client client : clients) {
            if (!client.answered && !client.left) {
                FleetRules.fail("answered in time", client.type + " has no answer");
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
        for (int kind = -1; kind < drawn.kinds; kind++) {
            double needed = 0;
            for (RandomClass type : drawn.classes) {
                if (kind < 0 || drawn.kindOf(type) == kind) {
                    needed += type.workMs / 1e3 * drawn.slotsOf(type) / drawn.classes.size();
                }
            }
            double available = 0;
            for (FleetEndpoint worker : workers) {
                available += kind < 0 || worker.entry.kind == kind ? worker.slots * worker.speed : 0;
            }
            maxRate = Math.min(maxRate, available / needed);
        }
        // A zone has an equal part of the endpoints, but may have one scheduler more than the others.
        int crowded = drawn.allInFirstZone ? drawn.siblings : (drawn.siblings + drawn.zones - 1) / drawn.zones;
        return maxRate * drawn.load() * (rough ? 1 : CALM_LOAD) * drawn.siblings / (crowded * drawn.zones);
    }

    private void arrivals(long end, double gap) {
        if (now < end) {
            request();
            schedule((long) (-gap * Math.log(1 - random.nextDouble())), () -> arrivals(end, gap));
        }
    }

    private void request() {
        Client client = new Client();
        int jobClass = random.nextInt(drawn.classes.size());
        client.node = nodes[random.nextInt(nodes.length)];
        client.type = drawn.classes.get(jobClass);
        client.tenant = Math.max(
                0, random.nextInt(tenantRequested.length + drawn.firstTenantFactor - 1) - drawn.firstTenantFactor + 1);
        client.work = client.type.workMs / 1e3 * lognormal(drawn.workSpread / 10.0);
        client.request = new Request(
                client.node,
                clients.size(),
                new Payload("", "", "r", null, new byte[0]),
                jobClass,
                now + (long) (1000 * client.type.deadlineMs() * (0.7 + 0.3 * random.nextDouble())));
        client.request.tenant = drawn.tenants > 0 ? client.tenant : -1;
        client.request.slots = drawn.slotsOf(client.type);
        client.request.memory = drawn.memory * random.nextDouble() * drawn.slotsOf(client.type);
        if (drawn.hintQuality > 0) {
            client.request.hint = client.work * lognormal((drawn.hintQuality - 1) * 0.5);
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

    /** Whether, by its expected work, the slowest suitable endpoint would meet the aim and the client's deadline. */
    private boolean canBeInTime(Client client) {
        JobClass type = client.node.scheduler.settings().classes[client.request.jobClass];
        double slowest = Double.POSITIVE_INFINITY;
        for (int kind = 0; kind < drawn.kinds; kind++) {
            if (drawn.kindOf(client.type) < 0 || drawn.kindOf(client.type) == kind) {
                slowest = Math.min(slowest, drawn.speedOf(kind));
            }
        }
        double expected = drawn.hintQuality > 0 ? client.request.hint : client.type.workMs / 1e3;
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
        FleetEndpoint worker = workers.get(random.nextInt(workers.size()));
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
                // A whole zone crashes and restarts cold.
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

    /** Kills a scheduler with its clients and attempts and starts it with its last list; endpoints go on. */
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
        boolean reports = drawn.source().equals("answers") && (outcome == Outcome.OK || outcome == Outcome.FULL);
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

    /** Requests per second that all endpoints can serve together. */
    double capacity() {
        return workers.stream()
                        .mapToDouble(worker -> worker.slots * worker.speed)
                        .sum()
                / rules.meanWork;
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

    private static double minShare(int[] part, int[] total) {
        double min = 1;
        for (int i = 0; i < total.length; i++) {
            min = total[i] < 10 ? min : Math.min(min, (double) part[i] / total[i]);
        }
        return min;
    }
}
