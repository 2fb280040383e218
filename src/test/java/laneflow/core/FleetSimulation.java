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
        NOTHING,
        ANSWERS_TWICE,
        ANSWER_LOST,
        GRACE_NOT_ASKED,
        RUN_TOLD_AS_NEVER,
        COLD_TENFOLD,
        CLASS_REFUSED,
        TENANT_REFUSED,
        IDLE_REFUSED
    }

    /** Microseconds of idleness after which reports of before say nothing any more. */
    static final long AT_REST = 2_000_000;

    private static final long START = 1_000_000_000L;
    /** Microseconds by which some connections come up late on rough days. */
    private static final int MOST_LATE = 1_500_000;
    /** Part of an endpoint's speed that a scheduler may take it for. */
    private static final double SURE = 0.6;
    /** Part of what a zone can do that calm days ask of it at most. */
    private static final double CALM = 0.6;

    final RandomSettings drawn;
    private final Fault broken;
    final boolean rough;
    final Random random;
    private final Deadlines deadlines = new Deadlines();
    private final List<SimulatedEndpoint> machines = new ArrayList<>();
    final Node[] nodes;
    private final List<Ask> asks = new ArrayList<>();
    private final int[] asked;
    private final int[] served;
    final int[] tenantAsked;
    final int[] tenantServed;
    final FleetInvariants rules;
    long now = START;
    private long busySince = Long.MIN_VALUE;
    private int busy;
    /** Requests that came while every endpoint was warm and at rest. */
    int answeredAtRest;

    static final class Ask {
        Node node;
        Request request;
        RandomClass type;
        int tenant;
        double work;
        final List<Out> outs = new ArrayList<>();
        boolean left;
        boolean answered;
        boolean atRest;
    }

    static final class Out {
        Ask ask;
        Attempt call;
        SimulatedEndpoint machine;
        boolean begun;
        boolean over;
        boolean mayHaveRun;
        long begunAt;
        /** Its scheduler had heard of its endpoint's last start. */
        boolean knows;
        /** The machine has it still, whether or not somebody waits for it. */
        boolean there;

        boolean running;
    }

    /** A scheduler with its front and connector. */
    final class Node implements Front, Connector {
        final int number;
        final Scheduler scheduler;
        final Map<String, Long> toldToStop = new HashMap<>();
        private final Map<String, Entry> heard = new TreeMap<>();
        private boolean dead;

        private Node(int number, long seed, Node before) {
            this.number = number;
            scheduler = new Scheduler(drawn.of(number), seed, () -> now, deadlines, new Counters());
            if (before == null) {
                machines.forEach(machine -> heard.put(machine.entry.name, machine.entry.in(State.READY)));
            } else {
                heard.putAll(before.heard);
                toldToStop.putAll(before.toldToStop);
            }
            List<Entry> known = new ArrayList<>();
            heard.values().forEach(entry -> {
                if (entry.state != State.GONE) {
                    known.add(entry);
                }
            });
            scheduler.start(this, known);
        }

        private boolean knowsStartOf(SimulatedEndpoint machine) {
            return heard.get(machine.entry.name).startedAt == machine.entry.startedAt;
        }

        void hear(Entry word) {
            Node here = nodes[number];
            here.heard.put(word.name, word);
            if (word.state == State.READY) {
                here.toldToStop.remove(word.name);
            } else {
                here.toldToStop.putIfAbsent(word.name, now);
            }
            here.scheduler.list(here, false, List.of(word));
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
            if (!dead && !(broken == Fault.ANSWER_LOST && what.equals("refused"))) {
                answered(asks.get((int) tag), what);
            }
        }

        @Override
        public void open(Attempt call) {
            Out out = new Out();
            out.ask = asks.get((int) call.request.tag);
            out.call = call;
            call.attachment = out;
            for (SimulatedEndpoint machine : machines) {
                if (machine.entry.name.equals(call.endpoint.name)) {
                    out.machine = machine;
                }
            }
            out.knows = knowsStartOf(out.machine);
            out.ask.outs.add(out);
            boolean late = rough && random.nextInt(20) == 0;
            after(500 + random.nextInt(late ? MOST_LATE : 1500), () -> begin(out));
        }

        @Override
        public boolean close(Attempt call) {
            Out out = (Out) call.attachment;
            out.over = true;
            if (out.there && !out.running && drawn.cancel) {
                out.machine.queue.remove(out);
                out.machine.gone(out);
            }
            return !out.begun;
        }

        @Override
        public void probe(Endpoint endpoint) {
            if (!drawn.probes) {
                FleetInvariants.broke("probes", "these settings have none");
            }
            for (SimulatedEndpoint machine : machines) {
                if (machine.entry.name.equals(endpoint.name)) {
                    after(2000, () -> probed(endpoint, machine));
                }
            }
        }

        private void probed(Endpoint endpoint, SimulatedEndpoint machine) {
            if (dead) {
                return;
            }
            boolean well = machine.up && !machine.hangs;
            scheduler.probed(
                    endpoint,
                    0.002,
                    well ? Outcome.OK : Outcome.CONNECT_FAILED,
                    well && !drawn.source().equals("none") ? machine.report() : null);
        }

        @Override
        public void closeIdle(Endpoint endpoint) {}
    }

    FleetSimulation(RandomSettings drawn, Fault broken, boolean rough) {
        this.drawn = drawn;
        this.broken = broken;
        this.rough = rough;
        random = new Random(drawn.seed);
        asked = new int[drawn.classes.size()];
        served = new int[asked.length];
        tenantAsked = new int[Math.max(1, drawn.tenants)];
        tenantServed = new int[tenantAsked.length];
        for (int i = 0; i < drawn.workersEach * drawn.zones; i++) {
            for (int kind = 0; kind < drawn.kinds; kind++) {
                // Every zone has as many of each kind: where a class is tied, its home can always serve it.
                SimulatedEndpoint machine = new SimulatedEndpoint(this, machines.size(), kind);
                machine.entry.zone = i % drawn.zones;
                machines.add(machine);
            }
        }
        double meanWork = 0;
        for (RandomClass type : drawn.classes) {
            meanWork += type.workMs / 1e3 * drawn.slotsOf(type) / drawn.classes.size();
        }
        rules = new FleetInvariants(drawn, broken, meanWork);
        nodes = new Node[drawn.siblings];
        for (int i = 0; i < nodes.length; i++) {
            nodes[i] = new Node(i, drawn.seed + i, null);
        }
    }

    void after(long micros, Runnable what) {
        deadlines.at(now + micros, what);
    }

    void busy(int change) {
        if (busy == 0 || busy + change == 0) {
            busySince = now;
        }
        busy += change;
    }

    private boolean atRest() {
        return busy == 0 && now - busySince >= AT_REST && machines.stream().allMatch(SimulatedEndpoint::isWarm);
    }

    /** Plays so many seconds of requests, and lets all end. */
    FleetSimulation play(double seconds) {
        long end = now + (long) (seconds * 1e6);
        arrivals(end, 1e6 / rate());
        if (rough) {
            troubles(end);
        }
        run(end + 30_000_000);
        for (Ask ask : asks) {
            if (!ask.answered && !ask.left) {
                FleetInvariants.broke("in time", ask.type + " has no answer");
            }
        }
        return this;
    }

    private void run(long until) {
        for (long next = deadlines.next(); next <= until; next = deadlines.next()) {
            now = Math.max(now, next);
            deadlines.runDue(now);
        }
        now = until;
    }

    /** Requests a second, as many of each class, so that what each zone has of each kind is used to the load drawn. */
    private double rate() {
        double most = Double.POSITIVE_INFINITY;
        for (int kind = -1; kind < drawn.kinds; kind++) {
            double need = 0;
            for (RandomClass type : drawn.classes) {
                if (kind < 0 || drawn.kindOf(type) == kind) {
                    need += type.workMs / 1e3 * drawn.slotsOf(type) / drawn.classes.size();
                }
            }
            double have = 0;
            for (SimulatedEndpoint machine : machines) {
                have += kind < 0 || machine.entry.kind == kind ? machine.slots * machine.speed : 0;
            }
            most = Math.min(most, have / need);
        }
        // A zone has its part of the endpoints, and its part of the schedulers or one more.
        int crowded = drawn.lopsided ? drawn.siblings : (drawn.siblings + drawn.zones - 1) / drawn.zones;
        return most * drawn.load() * (rough ? 1 : CALM) * drawn.siblings / (crowded * drawn.zones);
    }

    private void arrivals(long end, double gap) {
        if (now < end) {
            request();
            after((long) (-gap * Math.log(1 - random.nextDouble())), () -> arrivals(end, gap));
        }
    }

    private void request() {
        Ask ask = new Ask();
        int jobClass = random.nextInt(drawn.classes.size());
        ask.node = nodes[random.nextInt(nodes.length)];
        ask.type = drawn.classes.get(jobClass);
        ask.tenant = Math.max(0, random.nextInt(tenantAsked.length + drawn.greed - 1) - drawn.greed + 1);
        ask.work = ask.type.workMs / 1e3 * about(drawn.workSpread / 10.0);
        ask.request = new Request(
                ask.node,
                asks.size(),
                new Payload("", "", "r", null, new byte[0]),
                jobClass,
                now + (long) (1000 * ask.type.deadlineMs() * (0.7 + 0.3 * random.nextDouble())));
        ask.request.tenant = drawn.tenants > 0 ? ask.tenant : -1;
        ask.request.slots = drawn.slotsOf(ask.type);
        ask.request.memory = drawn.memory * random.nextDouble() * drawn.slotsOf(ask.type);
        if (drawn.hints > 0) {
            ask.request.hint = ask.work * about((drawn.hints - 1) * 0.5);
        }
        ask.atRest = !rough && atRest() && canBeInTime(ask);
        asks.add(ask);
        asked[jobClass]++;
        tenantAsked[ask.tenant]++;
        boolean refused = broken == Fault.CLASS_REFUSED && jobClass == 0
                || broken == Fault.TENANT_REFUSED && ask.tenant == 0
                || broken == Fault.IDLE_REFUSED && ask.atRest;
        if (refused) {
            answered(ask, "refused");
        } else {
            ask.node.scheduler.submit(ask.request);
            if (rough && random.nextInt(50) == 0) {
                after(random.nextInt(1_000_000), () -> leave(ask));
            }
        }
    }

    /** Whether the slowest endpoint for it would end it within its aim and its client's wait, by what is told. */
    private boolean canBeInTime(Ask ask) {
        JobClass type = ask.node.scheduler.settings().classes[ask.request.jobClass];
        double slowest = Double.POSITIVE_INFINITY;
        for (int kind = 0; kind < drawn.kinds; kind++) {
            if (drawn.kindOf(ask.type) < 0 || drawn.kindOf(ask.type) == kind) {
                slowest = Math.min(slowest, drawn.speedOf(kind));
            }
        }
        double told = drawn.hints > 0 ? ask.request.hint : ask.type.workMs / 1e3;
        double runs = told / (SURE * slowest);
        return runs < type.aim + type.stretch * told && runs < (ask.request.deadline - now) / 1e6;
    }

    /** Lognormal, of mean 1. */
    private double about(double spread) {
        return Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }

    private void leave(Ask ask) {
        if (!ask.answered && !ask.left) {
            ask.left = true;
            ask.node.scheduler.withdraw(ask.request);
        }
    }

    private void troubles(long end) {
        if (now >= end) {
            return;
        }
        SimulatedEndpoint machine = machines.get(random.nextInt(machines.size()));
        switch (random.nextInt(8)) {
            case 0, 1 -> {
                if (machine.up) {
                    machine.tell(State.DRAINING);
                    after(1_500_000, () -> machine.crash(true, 500_000));
                }
            }
            case 2 -> machine.crash(false, 1_000_000);
            case 3 -> {
                machine.hangs = true;
                after(2_000_000, () -> {
                    machine.hangs = false;
                    machine.startNext();
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
                machines.forEach(one -> {
                    if (one.entry.zone == machine.entry.zone) {
                        one.crash(true, 1_500_000);
                    }
                });
            }
            default -> {
                Out[] out = machine.at().filter(one -> !one.over).toArray(Out[]::new);
                if (out.length > 0) {
                    ends(out[random.nextInt(out.length)], Outcome.RESET);
                }
            }
        }
        after(100_000 + random.nextInt(1_200_000), () -> troubles(end));
    }

    /** Killed, and started with what its list held: its clients and calls are gone, what endpoints have is not. */
    private void restart(int number) {
        Node before = nodes[number];
        before.dead = true;
        for (Ask ask : asks) {
            if (ask.node == before) {
                ask.left |= !ask.answered;
                ask.outs.forEach(out -> out.over = true);
            }
        }
        nodes[number] = new Node(number, random.nextLong(), before);
    }

    private void begin(Out out) {
        if (out.over || out.ask.node.dead) {
            return;
        }
        if (!out.machine.up) {
            ends(out, Outcome.CONNECT_FAILED);
            return;
        }
        if (broken != Fault.GRACE_NOT_ASKED && !out.ask.node.scheduler.maySend(out.call)) {
            ends(out, Outcome.CONNECT_FAILED);
            return;
        }
        rules.begins(out, now);
        out.begun = true;
        out.begunAt = now;
        out.mayHaveRun = true;
        out.machine.take(out);
    }

    void ends(Out out, Outcome outcome) {
        if (out.over) {
            return;
        }
        out.over = true;
        out.mayHaveRun &= !outcome.neverRan;
        Outcome told = outcome == Outcome.RESET && broken == Fault.RUN_TOLD_AS_NEVER ? Outcome.FULL : outcome;
        boolean reports = drawn.source().equals("answers") && (outcome == Outcome.OK || outcome == Outcome.FULL);
        out.ask.node.scheduler.ended(out.call, told, new byte[0], reports ? out.machine.report() : null);
    }

    private void answered(Ask ask, String what) {
        rules.answered(ask, what, now);
        ask.answered = true;
        if (what.equals("served")) {
            served[ask.request.jobClass]++;
            tenantServed[ask.tenant]++;
        }
        answeredAtRest += ask.atRest ? 1 : 0;
        if (broken == Fault.ANSWERS_TWICE) {
            answered(ask, what);
        }
    }

    /** Requests a second that all endpoints can do together. */
    double capacity() {
        return machines.stream()
                        .mapToDouble(machine -> machine.slots * machine.speed)
                        .sum()
                / rules.meanWork;
    }

    int requests() {
        return asks.size();
    }

    /** The least part of a class's requests that was served, of classes with enough of them to tell. */
    double leastServed() {
        return least(served, asked);
    }

    /** The same of tenants. */
    double leastServedTenant() {
        return least(tenantServed, tenantAsked);
    }

    private static double least(int[] of, int[] all) {
        double least = 1;
        for (int i = 0; i < all.length; i++) {
            least = all[i] < 10 ? least : Math.min(least, (double) of[i] / all[i]);
        }
        return least;
    }
}
