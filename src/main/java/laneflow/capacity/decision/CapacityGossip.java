package laneflow.capacity.decision;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laneflow.decision.Dispatch.LoadReport;

/**
 * Spreads and applies reports of endpoints' free capacity at one scheduler. It takes load reports from the
 * scheduler's own attempts and from peers, passes them on, and delivers peer reports to the decision module as
 * if they were own load reports, corrected for age, source reliability, and the own and peer attempts in
 * flight.
 *
 * <p>Without a delivered report the decision module decides as it would without gossip. A report only says how
 * full an endpoint is: a draining, banned, cold or suspect endpoint stays so. This class does no I/O and reads
 * no clock: each call passes a monotonic time in microseconds, of any origin. Not thread-safe.
 */
public final class CapacityGossip {
    /** Effects that the caller carries out. Implementations must not call back into this object. */
    public interface Callbacks {
        /** Delivers a load report of the endpoint to the decision module; {@code age} is in seconds. */
        void report(long endpoint, double age, LoadReport report);

        /** Sends a message to the scheduler, in addition to those from {@link #buildMessage}. */
        void send(int scheduler, byte[] bytes);

        /** Increments the named counter. */
        void count(String what);
    }

    /**
     * Estimated free slots of a set of endpoints.
     *
     * @param endpoints listed endpoints in the set
     * @param reported those with at least one report
     * @param free expected number of free slots
     * @param error bound of the estimate's error, in slots
     */
    public record FreeSlots(int endpoints, int reported, double free, double error) {}

    /** Default interval between gossip rounds, and the period of the limit on answers. */
    public static final long ROUND_MICROS = 100_000;
    /** Datagrams sent in answer to one request for the full table. */
    static final int MAX_ANSWER_DATAGRAMS = 16;
    /**
     * Requests for the full table that a scheduler makes at most: for some endpoints no peer may have a
     * report.
     */
    private static final int MAX_FULL_REQUESTS = 64;
    /** Requests for the full table that a scheduler answers per round. */
    private static final int MAX_ANSWERS_PER_ROUND = 4;

    private static final int TRANSMISSIONS_PER_REPORT = 4;
    /** Reports further apart in time than this are not compared to judge a source. */
    private static final long MAX_COMPARISON_GAP_MICROS = 500_000;

    private static final long OVERSHOOT_PERIOD_MICROS = 1_000_000;
    private static final double OVERSHOOT_GAIN = 0.02;
    private static final double GROUP_LOAD_GAIN = 0.05;
    private static final long REPORT_LAG_MICROS = 200_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double OWN_REPORT_AGE_OFFSET = 0.5;
    private static final long PREFERENCE_TTL_MICROS = 300_000;
    private static final long STAMP_UNIT_MICROS = 1000;
    private static final long MAX_TRANSIT_MICROS = 20_000_000;

    /** Mean load of the endpoints of one kind and zone, as a fraction of their slots. */
    private static final class GroupLoad {
        private double load;
        private boolean initialized;

        private void observe(double fraction) {
            load += (initialized ? GROUP_LOAD_GAIN : 1) * (fraction - load);
            initialized = true;
        }
    }

    private final int self;
    private final int zone;
    private final LoadEstimator estimator;
    private final Callbacks callbacks;
    private final CapacityTable table = new CapacityTable();
    private final SourceReliability reliability = new SourceReliability();
    private final Demand demand = new Demand();
    private final Map<Integer, SlotCount> slotCounts = new HashMap<>();
    private final Map<Integer, Integer> readyByZone = new HashMap<>();
    private final Map<Long, GroupLoad> groupLoads = new HashMap<>();
    private final Map<Integer, TransitDelay> transitDelays = new HashMap<>();
    private final LoadReport report = new LoadReport();
    private double overshoot;
    private long answerRoundStart = Long.MIN_VALUE / 2;
    private int answersInRound;
    private int nextPart;
    private int requestsLeft = MAX_FULL_REQUESTS;

    /** @param self 16-bit number derived from this scheduler's name, the same at all schedulers */
    public CapacityGossip(int self, int zone, LoadEstimator estimator, Callbacks callbacks) {
        this.self = self & 0xffff;
        this.zone = zone;
        this.estimator = estimator;
        this.callbacks = callbacks;
        nextPart = self & 0xff;
    }

    // ---- local events ----

    /**
     * Adds an endpoint that is listed as ready, or replaces it after a restart or a change of zone.
     *
     * @param kind the same for endpoints of equal size
     * @param block further unit by which free slots can be summed, such as a rack; may be empty
     * @param bornMs start time in Unix milliseconds; 0: long ago
     */
    public void addEndpoint(long endpoint, int zone, int kind, String block, long bornMs) {
        EndpointLoad before = table.get(endpoint);
        if (before != null && before.bornMs == bornMs && before.zone == zone) {
            return;
        }
        removeEndpoint(endpoint);
        readyByZone.merge(zone, 1, Integer::sum);
        SlotCount slotCount = slotCounts.computeIfAbsent(kind, SlotCount::new);
        EndpointLoad load = new EndpointLoad(endpoint, zone, block, slotCount, bornMs);
        load.outstanding = before == null ? 0 : before.outstanding;
        table.add(load);
    }

    /** Removes an endpoint that drains or is gone; further reports of it are ignored. */
    public void removeEndpoint(long endpoint) {
        EndpointLoad load = table.get(endpoint);
        if (load != null) {
            readyByZone.merge(load.zone, -1, Integer::sum);
            table.remove(endpoint);
        }
    }

    /** Records that an attempt was sent to the endpoint. */
    public void attemptSent(long now, long endpoint) {
        demand.attemptSent(now);
        EndpointLoad load = table.get(endpoint);
        if (load != null) {
            load.sent(now);
        }
    }

    /**
     * Records the end of an attempt with the load that the endpoint reported; NaN where it reported none.
     *
     * @param counted true if the endpoint accepted the attempt, so that its load report still includes it
     */
    public void attemptEnded(long now, long endpoint, boolean counted, double free, double queue) {
        EndpointLoad load = table.get(endpoint);
        if (load == null) {
            return;
        }
        if (free >= 0 && free <= Quantizer.value(Quantizer.MAX_STEP)) {
            addOwnReport(now, load, counted, free, queue);
        }
        load.ended(now);
    }

    private void addOwnReport(long now, EndpointLoad load, boolean counted, double free, double queue) {
        load.slotCount.addOwnReport(free, queue >= 0);
        double slots = load.slotCount.slots();
        double waiting = queue > 0 ? queue : 0;
        double occupied = Math.max(0, slots - free) + waiting;
        CapacityReport before = load.latest;
        if (before != null && before.source() != self && now - before.observedAt() <= MAX_COMPARISON_GAP_MICROS) {
            double moved = load.outstanding - (counted ? 0 : 1) - load.outstandingAt(before.observedAt());
            reliability.addComparison(
                    before.source(), before.sender(), (occupied(before, slots) + moved - occupied) / slots);
        }
        if (now - load.roomReportedAt <= OVERSHOOT_PERIOD_MICROS) {
            load.roomReportedAt = Long.MIN_VALUE / 2;
            overshoot += OVERSHOOT_GAIN * ((waiting > 0 ? 1 : 0) - overshoot);
        }
        int othersOutstanding = load.outstanding - (counted ? 0 : 1);
        load.peerSlots = Math.max(0, occupied - othersOutstanding);
        load.ownReportAt = now;
        groupLoad(load).observe(load.peerSlots / slots);
        // The ended attempt is left out of the report to peers.
        double left = Math.max(0, occupied - (counted ? 1 : 0));
        table.merge(
                load,
                new CapacityReport(
                        load.id,
                        load.bornMs,
                        Quantizer.floor(Math.max(0, slots - left)),
                        Quantizer.ceil(Math.max(0, left - slots)),
                        Quantizer.floor(Math.max(0, load.outstanding - 1)),
                        now,
                        self,
                        self));
    }

    private static double occupied(CapacityReport peerReport, double slots) {
        double queue = Quantizer.value(peerReport.queue());
        return Math.max(0, slots - Quantizer.value(peerReport.free())) + queue;
    }

    private boolean isPreferred(long now, EndpointLoad load) {
        if (load.zone != zone) {
            return false;
        }
        if (now - load.preferredSetAt > PREFERENCE_TTL_MICROS) {
            load.preferredSetAt = now;
            load.preferred = demand.isPreferred(load.id, zone, self, CapacityMessage.demandStep(demand.ownRate(now)));
        }
        return load.preferred;
    }

    private GroupLoad groupLoad(EndpointLoad load) {
        return groupLoads.computeIfAbsent((long) load.zone << 32 | load.slotCount.kind, key -> new GroupLoad());
    }

    // ---- sending ----

    /** Returns true if there are reports to pass on or a part of the table to request. */
    public boolean hasDataToSend() {
        return table.hasPending() || requestedPart() >= 0;
    }

    /**
     * Returns true while fewer than half of the endpoints have a report; a scheduler in this state sends more
     * requests and answers none.
     */
    public boolean isBootstrapping() {
        return table.reported() * 2 < table.size();
    }

    /** Returns the share of listed endpoints with at least one report. */
    public double knownShare() {
        return table.size() == 0 ? 1 : table.reported() / (double) table.size();
    }

    private int requestedPart() {
        return requestsLeft > 0 ? table.unknownPart(nextPart) : -1;
    }

    /**
     * Builds a message of at most {@code maxBytes} to a scheduler in the zone; null if there is nothing to
     * send.
     */
    public byte[] buildMessage(long now, int zone, int maxBytes) {
        if (maxBytes < CapacityMessage.HEADER_BYTES + CapacityMessage.ENTRY_BYTES + CapacityMessage.SOURCE_BYTES) {
            return null;
        }
        List<CapacityMessage.Entry> entries =
                table.selectEntries(now, zone, maxBytes - CapacityMessage.HEADER_BYTES, TRANSMISSIONS_PER_REPORT);
        int requestedPart = requestedPart();
        if (requestedPart >= 0) {
            // Successive requests ask for different parts of the table.
            nextPart = nextPart + 0x61 & 0xff;
            requestsLeft--;
        }
        return entries.isEmpty() && requestedPart < 0 ? null : write(now, requestedPart, entries);
    }

    private byte[] write(long now, int requestedPart, List<CapacityMessage.Entry> entries) {
        return new CapacityMessage(
                        (int) (now / STAMP_UNIT_MICROS),
                        CapacityMessage.demandStep(demand.ownRate(now)),
                        requestedPart,
                        entries)
                .write();
    }

    // ---- receiving ----

    /**
     * Processes a message from another scheduler.
     *
     * @param sender 16-bit number derived from its name
     * @param zone its zone; -1: not known here
     * @param maxBytes size limit of each answer message
     */
    public void receive(long now, int sender, int zone, byte[] bytes, int maxBytes) {
        CapacityMessage message;
        try {
            message = CapacityMessage.read(bytes);
        } catch (IOException e) {
            callbacks.count("spoilt");
            return;
        }
        if (sender == self) {
            return;
        }
        demand.setPeerDemand(sender, zone, CapacityMessage.demandPerSecond(message.demand()), now);
        long transitMicros =
                transitDelays.computeIfAbsent(sender, key -> new TransitDelay()).excessMicros(now, message.stamp());
        if (transitMicros <= MAX_TRANSIT_MICROS) {
            for (CapacityMessage.Entry entry : message.entries()) {
                acceptEntry(now, sender, entry, transitMicros);
            }
        }
        if (message.requestedPart() >= 0) {
            answerRequest(now, sender, message.requestedPart(), maxBytes);
        }
    }

    private void acceptEntry(long now, int sender, CapacityMessage.Entry entry, long transitMicros) {
        EndpointLoad load = table.byKey(entry.key());
        if (load == null || entry.source() == self) {
            return;
        }
        load.slotCount.addPeerReport(entry.source(), Quantizer.value(entry.free()));
        double reportReliability = reliability.reliability(entry.source(), sender);
        long observedAt = now - Quantizer.ageMicros(entry.age()) - transitMicros;
        CapacityReport peerReport = new CapacityReport(
                load.id,
                load.bornMs,
                entry.free(),
                entry.queue(),
                entry.attempts(),
                observedAt,
                entry.source(),
                sender);
        double slots = load.slotCount.slots();
        if (slots > 0) {
            compareWithOwn(load, peerReport, slots);
        }
        if (reportReliability <= 0) {
            callbacks.count("distrusted");
        } else if (table.merge(load, peerReport) && slots > 0) {
            callbacks.count("news");
            deliver(
                    now,
                    load,
                    peerReport,
                    slots,
                    reportReliability,
                    Math.max(0, occupied(peerReport, slots) - load.outstandingAt(observedAt)));
        }
    }

    /** Compares a peer report with an own report of about the same time to judge its source. */
    private void compareWithOwn(EndpointLoad load, CapacityReport peerReport, double slots) {
        if (Math.abs(load.ownReportAt - peerReport.observedAt()) <= MAX_COMPARISON_GAP_MICROS) {
            double own = load.peerSlots + load.outstandingAt(load.ownReportAt);
            double moved = load.outstandingAt(peerReport.observedAt()) - load.outstandingAt(load.ownReportAt);
            reliability.addComparison(
                    peerReport.source(), peerReport.sender(), (occupied(peerReport, slots) - own - moved) / slots);
        }
    }

    private void deliver(
            long now,
            EndpointLoad load,
            CapacityReport peerReport,
            double slots,
            double reportReliability,
            double reportedSlots) {
        double age = Math.max(0, now - peerReport.observedAt()) / MICROS_PER_SECOND;
        GroupLoad group = groupLoad(load);
        group.observe(Math.min(1, reportedSlots / slots));
        double mean = group.load * slots;
        double expected = mean
                + (load.peerSlots - mean) / (1 + (now - load.ownReportAt) / MICROS_PER_SECOND + OWN_REPORT_AGE_OFFSET);
        double own = demand.ownRate(now);
        double others = demand.peerRate(load.zone);
        double share = own + others > 0 ? own / (own + others) : 1;
        double inflow = others / Math.max(1, readyByZone.getOrDefault(load.zone, 1));
        long mixed =
                (peerReport.observedAt() / ROUND_MICROS ^ load.id * 0x9E3779B97F4A7C15L ^ self * 0xD1B54A32D192ED03L)
                        * 0xBF58476D1CE4E5B9L;
        double random = (mixed >>> 11) * 0x1p-53;
        double estimated = estimator.estimate(new LoadEstimator.Observation(
                reportedSlots,
                expected,
                slots,
                (now - load.ownReportAt) / MICROS_PER_SECOND,
                age,
                reportReliability,
                share,
                inflow,
                overshoot,
                load.outstanding,
                isPreferred(now, load),
                random));
        if (!(estimated >= 0)) {
            return;
        }
        if (estimated + load.outstanding < slots) {
            load.roomReportedAt = now;
        }
        // The decision module subtracts own attempts sent some time before the report, and takes the largest
        // free count it has seen as the endpoint's size.
        double size = Math.max(load.slotCount.maxDelivered, slots);
        double occupied = estimated + load.outstandingSentBefore(peerReport.observedAt() - REPORT_LAG_MICROS);
        report.clear();
        report.freeSlots = Math.max(0, size - occupied);
        report.queue = load.slotCount.reportsQueue ? Math.max(0, occupied - size) : Double.NaN;
        load.slotCount.maxDelivered = Math.max(load.slotCount.maxDelivered, report.freeSlots);
        callbacks.report(load.id, age, report);
    }

    /**
     * Answers a request for the full table with several messages at once. A limit per round bounds the load,
     * and a scheduler that has few reports itself does not answer.
     */
    private void answerRequest(long now, int sender, int from, int maxBytes) {
        if (now - answerRoundStart >= ROUND_MICROS) {
            answerRoundStart = now;
            answersInRound = 0;
        }
        if (isBootstrapping() || ++answersInRound > MAX_ANSWERS_PER_ROUND) {
            return;
        }
        for (List<CapacityMessage.Entry> entries :
                table.entriesFrom(from, now, maxBytes - CapacityMessage.HEADER_BYTES, MAX_ANSWER_DATAGRAMS)) {
            callbacks.send(sender, write(now, -1, entries));
        }
    }

    // ---- queries ----

    /** Returns the estimated free slots of a zone. */
    public FreeSlots freeSlotsInZone(long now, int zone) {
        return freeSlots(now, load -> load.zone == zone);
    }

    /** Returns the estimated free slots of a block. */
    public FreeSlots freeSlotsInBlock(long now, String block) {
        return freeSlots(now, load -> load.block.equals(block));
    }

    private interface Filter {
        boolean includes(EndpointLoad load);
    }

    /**
     * Weights each report by its age and its source's reliability; the remaining weight goes to the mean of
     * endpoints of the same kind and zone, since an old report may no longer hold at all.
     */
    private FreeSlots freeSlots(long now, Filter filter) {
        int count = 0;
        int reported = 0;
        double free = 0;
        double error = 0;
        List<EndpointLoad> all = new ArrayList<>();
        table.endpoints().forEach(all::add);
        for (EndpointLoad load : all) {
            double slots = load.slotCount.slots();
            if (!filter.includes(load)) {
                continue;
            }
            count++;
            double mean = Math.max(0, slots * (1 - groupLoad(load).load));
            double weight = 0;
            double reportedSlots = mean;
            if (load.latest != null) {
                reported++;
                double reportReliability = load.latest.source() == self
                        ? 1
                        : reliability.reliability(load.latest.source(), load.latest.sender());
                weight = reportReliability * LoadEstimator.weight((now - load.latest.observedAt()) / MICROS_PER_SECOND);
                reportedSlots = Math.min(slots, Quantizer.value(load.latest.free()));
            }
            double estimated = mean + weight * (reportedSlots - mean);
            free += estimated;
            error += (1 - weight) * Math.max(estimated, slots - estimated)
                    + weight * (upperBound(reportedSlots) - reportedSlots);
        }
        return new FreeSlots(count, reported, free, error);
    }

    private static double upperBound(double reportedSlots) {
        int step = Quantizer.floor(reportedSlots);
        return step == Quantizer.MAX_STEP ? reportedSlots : Math.max(reportedSlots, Quantizer.value(step + 1) - 1.0);
    }

    /** Returns the share of endpoints reported free that turned out to be full, 0 to 1. */
    public double overshoot() {
        return overshoot;
    }

    /** Returns the reliability of reports that the scheduler makes itself, 0 to 1. */
    public double reliability(int scheduler) {
        return reliability.reliability(scheduler, scheduler);
    }

    /** Returns the newest report of the endpoint, or null. */
    public CapacityReport latestReport(long endpoint) {
        EndpointLoad load = table.get(endpoint);
        return load == null ? null : load.latest;
    }
}
