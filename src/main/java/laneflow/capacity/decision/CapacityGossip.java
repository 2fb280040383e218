package laneflow.capacity.decision;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laneflow.decision.Dispatch.LoadReport;

/**
 * What one scheduler makes of news of free capacity: it hears from its own calls and from other schedulers
 * how endpoints stand, tells it on, and hands what others told to the module as a report of its own, put
 * right for its age, for who told it, for own calls and for those of others that are under way. Where it
 * hands nothing the module decides as it would without; a report only says how full an endpoint is, so what
 * drains, is banned, cold or suspected stays so. No I/O, no clock: microseconds of any origin that never go
 * back come with each call. Not thread-safe.
 */
public final class CapacityGossip {
    /** What it may do; not to be called back from there. */
    public interface Callbacks {
        /** The module is to take this as a report of that endpoint, of so many seconds ago. */
        void report(long endpoint, double age, LoadReport report);

        /** Bytes for that scheduler, besides those that {@link #buildMessage} gives. */
        void send(int scheduler, byte[] bytes);

        /** Counts an event of that name. */
        void count(String what);
    }

    /** How many slots are free, and by how many that may be wrong, as none is known exactly. */
    public record Sum(int endpoints, int heardOf, double free, double error) {}

    /** Microseconds between two rounds in which news is told. */
    public static final long ROUND_MICROS = 100_000;
    /** Datagrams that one who asks for all gets at once, from each whom it asks. */
    static final int AT_ONCE = 16;
    /** How often one asks for all: of some endpoints nobody may have heard. */
    private static final int MOST_ASKS = 64;
    /** Of these in a round. */
    private static final int ANSWERS_A_ROUND = 4;

    private static final int REPEATS = 4;
    /** The newest news that says anything of how well a source does. */
    private static final long COMPARED_WITHIN = 500_000;

    private static final long OVERSHOOT_WITHIN = 1_000_000;
    private static final double OVERSHOOT_GAIN = 0.02;
    private static final double MEAN_GAIN = 0.05;
    private static final long REPORT_LAG = 200_000;
    private static final double MICROS = 1e6;
    private static final double STALE = 0.5;
    private static final long SHARES_HOLD = 300_000;
    private static final long STAMP = 1000;
    private static final long MOST_UNDER_WAY = 20_000_000;

    /** How full endpoints of one sort in one zone are, in parts of their slots. */
    private static final class Crowd {
        private double load;
        private boolean begun;

        private void heard(double part) {
            load += (begun ? MEAN_GAIN : 1) * (part - load);
            begun = true;
        }
    }

    private final int self;
    private final int zone;
    private final LoadEstimator weighing;
    private final Callbacks out;
    private final CapacityTable picture = new CapacityTable();
    private final SourceReliability trust = new SourceReliability();
    private final Demand demand = new Demand();
    private final Map<Integer, Size> sizes = new HashMap<>();
    private final Map<Integer, Integer> ready = new HashMap<>();
    private final Map<Long, Crowd> crowds = new HashMap<>();
    private final Map<Integer, Delays> delays = new HashMap<>();
    private final LoadReport report = new LoadReport();
    private double overshoot;
    private long answeredAt = Long.MIN_VALUE / 2;
    private int answers;
    private int part;
    private int asks = MOST_ASKS;

    /** @param self a number drawn from this scheduler's name, 16 bits, as all know it */
    public CapacityGossip(int self, int zone, LoadEstimator weighing, Callbacks out) {
        this.self = self & 0xffff;
        this.zone = zone;
        this.weighing = weighing;
        this.out = out;
        part = self & 0xff;
    }

    // ---- what the scheduler sees ----

    /**
     * An endpoint is listed as ready, or with another life.
     *
     * @param sort the same for endpoints that are alike
     * @param block a rack, or what else its room is summed by besides its zone; may be empty
     * @param bornMs when it last started, Unix milliseconds; 0: long ago
     */
    public void addEndpoint(long endpoint, int zone, int sort, String block, long bornMs) {
        EndpointLoad before = picture.get(endpoint);
        if (before != null && before.bornMs == bornMs && before.zone == zone) {
            return;
        }
        removeEndpoint(endpoint);
        ready.merge(zone, 1, Integer::sum);
        Size size = sizes.computeIfAbsent(sort, Size::new);
        EndpointLoad seen = new EndpointLoad(endpoint, zone, block, size, bornMs);
        seen.out = before == null ? 0 : before.out;
        picture.add(seen);
    }

    /** It drains, or is gone: what others say of it means nothing from now on. */
    public void removeEndpoint(long endpoint) {
        EndpointLoad seen = picture.get(endpoint);
        if (seen != null) {
            ready.merge(seen.zone, -1, Integer::sum);
            picture.remove(endpoint);
        }
    }

    /** A call has gone out there. */
    public void attemptSent(long now, long endpoint) {
        demand.sent(now);
        EndpointLoad seen = picture.get(endpoint);
        if (seen != null) {
            seen.sent(now);
        }
    }

    /**
     * A call to it has ended, with what it says of itself; NaN where it does not say.
     *
     * @param counted true where the call was taken in: what the endpoint says still counts it then
     */
    public void attemptEnded(long now, long endpoint, boolean counted, double free, double queue) {
        EndpointLoad seen = picture.get(endpoint);
        if (seen == null) {
            return;
        }
        if (free >= 0 && free <= Steps.value(Steps.MOST)) {
            own(now, seen, counted, free, queue);
        }
        seen.ended(now);
    }

    private void own(long now, EndpointLoad seen, boolean counted, double free, double queue) {
        seen.size.own(free, queue >= 0);
        double slots = seen.size.slots();
        double waiting = queue > 0 ? queue : 0;
        double taken = Math.max(0, slots - free) + waiting;
        CapacityReport before = seen.news;
        if (before != null && before.source() != self && now - before.observedAt() <= COMPARED_WITHIN) {
            double moved = seen.out - (counted ? 0 : 1) - seen.outAt(before.observedAt());
            trust.compared(before.source(), before.teller(), (taken(before, slots) + moved - taken) / slots);
        }
        if (now - seen.roomToldAt <= OVERSHOOT_WITHIN) {
            seen.roomToldAt = Long.MIN_VALUE / 2;
            overshoot += OVERSHOOT_GAIN * ((waiting > 0 ? 1 : 0) - overshoot);
        }
        int out = seen.out - (counted ? 0 : 1);
        seen.ownOthers = Math.max(0, taken - out);
        seen.ownAt = now;
        crowd(seen).heard(seen.ownOthers / slots);
        // To others the call that has ended counts no more.
        double left = Math.max(0, taken - (counted ? 1 : 0));
        picture.merge(
                seen,
                new CapacityReport(
                        seen.id,
                        seen.bornMs,
                        Steps.down(Math.max(0, slots - left)),
                        Steps.up(Math.max(0, left - slots)),
                        Steps.down(Math.max(0, seen.out - 1)),
                        now,
                        self,
                        self));
    }

    private static double taken(CapacityReport news, double slots) {
        double queue = Steps.value(news.queue());
        return Math.max(0, slots - Steps.value(news.free())) + queue;
    }

    private boolean isMine(long now, EndpointLoad seen) {
        if (seen.zone != zone) {
            return false;
        }
        if (now - seen.sharedAt > SHARES_HOLD) {
            seen.sharedAt = now;
            seen.mine = demand.isOwn(seen.id, zone, self, CapacityMessage.demandStep(demand.own(now)));
        }
        return seen.mine;
    }

    private Crowd crowd(EndpointLoad seen) {
        return crowds.computeIfAbsent((long) seen.zone << 32 | seen.size.sort, key -> new Crowd());
    }

    // ---- telling ----

    /** True where there is something to tell that the others may not have heard. */
    public boolean hasNews() {
        return picture.isFresh() || wants() >= 0;
    }

    /** True while this one knows so little that it asks more of the others than otherwise. */
    public boolean isNew() {
        return picture.known() * 2 < picture.size();
    }

    /** What of all endpoints somebody has told of. */
    public double knownShare() {
        return picture.size() == 0 ? 1 : picture.known() / (double) picture.size();
    }

    private int wants() {
        return asks > 0 ? picture.unknownPart(part) : -1;
    }

    /** Bytes for a datagram to a scheduler of that zone, as many as that at most; null: nothing to tell. */
    public byte[] buildMessage(long now, int zone, int most) {
        if (most < CapacityMessage.HEAD + CapacityMessage.ENTRY + CapacityMessage.SOURCE) {
            return null;
        }
        List<CapacityMessage.Entry> entries = picture.choose(now, zone, most - CapacityMessage.HEAD, REPEATS);
        int wants = wants();
        if (wants >= 0) {
            // Each is asked for another part.
            part = part + 0x61 & 0xff;
            asks--;
        }
        return entries.isEmpty() && wants < 0 ? null : write(now, wants, entries);
    }

    private byte[] write(long now, int wants, List<CapacityMessage.Entry> entries) {
        return new CapacityMessage((int) (now / STAMP), CapacityMessage.demandStep(demand.own(now)), wants, entries)
                .write();
    }

    // ---- hearing ----

    /**
     * What another scheduler has told, with the most bytes that answers to it may have.
     *
     * @param teller a number drawn from its name, 16 bits
     * @param zone its zone, -1: none that is known here
     */
    public void receive(long now, int teller, int zone, byte[] bytes, int most) {
        CapacityMessage cargo;
        try {
            cargo = CapacityMessage.read(bytes);
        } catch (IOException e) {
            out.count("spoilt");
            return;
        }
        if (teller == self) {
            return;
        }
        demand.told(teller, zone, CapacityMessage.demandOf(cargo.demand()), now);
        long underWay = delays.computeIfAbsent(teller, key -> new Delays()).excess(now, cargo.stamp());
        if (underWay <= MOST_UNDER_WAY) {
            for (CapacityMessage.Entry entry : cargo.entries()) {
                accept(now, teller, entry, underWay);
            }
        }
        if (cargo.wants() >= 0) {
            answer(now, teller, cargo.wants(), most);
        }
    }

    private void accept(long now, int teller, CapacityMessage.Entry entry, long underWay) {
        EndpointLoad seen = picture.byKey(entry.key());
        if (seen == null || entry.source() == self) {
            return;
        }
        seen.size.told(entry.source(), Steps.value(entry.free()));
        double credit = trust.credit(entry.source(), teller);
        long observedAt = now - Steps.ageOf(entry.age()) - underWay;
        CapacityReport news = new CapacityReport(
                seen.id, seen.bornMs, entry.free(), entry.queue(), entry.calls(), observedAt, entry.source(), teller);
        double slots = seen.size.slots();
        if (slots > 0) {
            compare(seen, news, slots);
        }
        if (credit <= 0) {
            out.count("distrusted");
        } else if (picture.merge(seen, news) && slots > 0) {
            out.count("news");
            hand(now, seen, news, slots, credit, Math.max(0, taken(news, slots) - seen.outAt(observedAt)));
        }
    }

    /** An own report of about the same instant says how right others are. */
    private void compare(EndpointLoad seen, CapacityReport news, double slots) {
        if (Math.abs(seen.ownAt - news.observedAt()) <= COMPARED_WITHIN) {
            double own = seen.ownOthers + seen.outAt(seen.ownAt);
            double moved = seen.outAt(news.observedAt()) - seen.outAt(seen.ownAt);
            trust.compared(news.source(), news.teller(), (taken(news, slots) - own - moved) / slots);
        }
    }

    private void hand(long now, EndpointLoad seen, CapacityReport news, double slots, double credit, double told) {
        double age = Math.max(0, now - news.observedAt()) / MICROS;
        Crowd crowd = crowd(seen);
        crowd.heard(Math.min(1, told / slots));
        double mean = crowd.load * slots;
        double known = mean + (seen.ownOthers - mean) / (1 + (now - seen.ownAt) / MICROS + STALE);
        double own = demand.own(now);
        double others = demand.ofOthers(seen.zone);
        double share = own + others > 0 ? own / (own + others) : 1;
        double inflow = others / Math.max(1, ready.getOrDefault(seen.zone, 1));
        long mixed = (news.observedAt() / ROUND_MICROS ^ seen.id * 0x9E3779B97F4A7C15L ^ self * 0xD1B54A32D192ED03L)
                * 0xBF58476D1CE4E5B9L;
        double draw = (mixed >>> 11) * 0x1p-53;
        double held = weighing.estimate(new LoadEstimator.Observation(
                told,
                known,
                slots,
                (now - seen.ownAt) / MICROS,
                age,
                credit,
                share,
                inflow,
                overshoot,
                seen.out,
                isMine(now, seen),
                draw));
        if (!(held >= 0)) {
            return;
        }
        if (held + seen.out < slots) {
            seen.roomToldAt = now;
        }
        // The module takes own calls off that were sent a while ago, and learns the size from what is free.
        double size = Math.max(seen.size.handed, slots);
        double taken = held + seen.outSince(news.observedAt() - REPORT_LAG);
        report.clear();
        report.freeSlots = Math.max(0, size - taken);
        report.queue = seen.size.tellsQueue ? Math.max(0, taken - size) : Double.NaN;
        seen.size.handed = Math.max(seen.size.handed, report.freeSlots);
        out.report(seen.id, age, report);
    }

    /** Somebody knows little: it gets much at once, from a few. */
    private void answer(long now, int teller, int from, int most) {
        if (now - answeredAt >= ROUND_MICROS) {
            answeredAt = now;
            answers = 0;
        }
        if (isNew() || ++answers > ANSWERS_A_ROUND) {
            return;
        }
        for (List<CapacityMessage.Entry> piece : picture.from(from, now, most - CapacityMessage.HEAD, AT_ONCE)) {
            out.send(teller, write(now, -1, piece));
        }
    }

    // ---- what is known ----

    /** The room of a zone. */
    public Sum ofZone(long now, int zone) {
        return sum(now, seen -> seen.zone == zone);
    }

    /** The room of a block. */
    public Sum ofBlock(long now, String block) {
        return sum(now, seen -> seen.block.equals(block));
    }

    private interface Among {
        boolean holds(EndpointLoad seen);
    }

    /** What is old may have changed wholly: it counts by its weight, the rest as the mean of the like. */
    private Sum sum(long now, Among among) {
        int count = 0;
        int heardOf = 0;
        double free = 0;
        double error = 0;
        List<EndpointLoad> some = new ArrayList<>();
        picture.each().forEach(some::add);
        for (EndpointLoad seen : some) {
            double slots = seen.size.slots();
            if (!among.holds(seen)) {
                continue;
            }
            count++;
            double mean = Math.max(0, slots * (1 - crowd(seen).load));
            double weight = 0;
            double told = mean;
            if (seen.news != null) {
                heardOf++;
                double credit = seen.news.source() == self ? 1 : trust.credit(seen.news.source(), seen.news.teller());
                weight = credit * LoadEstimator.weight((now - seen.news.observedAt()) / MICROS);
                told = Math.min(slots, Steps.value(seen.news.free()));
            }
            double held = mean + weight * (told - mean);
            free += held;
            error += (1 - weight) * Math.max(held, slots - held) + weight * (step(told) - told);
        }
        return new Sum(count, heardOf, free, error);
    }

    private static double step(double told) {
        int step = Steps.down(told);
        return step == Steps.MOST ? told : Math.max(told, Steps.value(step + 1) - 1.0);
    }

    /** 0 to 1, for reports. */
    public double overshoot() {
        return overshoot;
    }

    /** How much that scheduler's own word counts here, 0 to 1. */
    public double credit(int scheduler) {
        return trust.credit(scheduler, scheduler);
    }

    /** The newest news of that endpoint, or null. */
    public CapacityReport latestReport(long endpoint) {
        EndpointLoad seen = picture.get(endpoint);
        return seen == null ? null : seen.news;
    }
}
