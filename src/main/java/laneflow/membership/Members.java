package laneflow.membership;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import laneflow.config.AddressRange;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.fleet.Fleet;
import laneflow.fleet.Peer;
import laneflow.membership.decision.MemberInstance;
import laneflow.membership.decision.MemberMetadata;
import laneflow.membership.decision.Message;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.MessageCodec;
import laneflow.membership.decision.ReplayFilter;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.Swim;
import laneflow.membership.decision.SwimTimings;
import laneflow.membership.decision.Update;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.net.Datagrams;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the membership protocol on the control thread. It sends datagrams, validates received ones before they are
 * used, schedules ticks, and publishes this scheduler's metadata. The view is advisory: no correctness property
 * may depend on it.
 */
public final class Members implements Swim.Environment {
    private static final Logger LOG = LoggerFactory.getLogger(Members.class);
    private static final String RECORDS_MESSAGE_TYPE = "members";
    private static final int RECORDS_PER_PIECE = 24;
    private static final long METADATA_INTERVAL_US = 1_000_000;
    private static final long METADATA_MAX_INTERVAL_US = 1_500_000;
    private static final long KEY_CHECK_INTERVAL_US = 2_000_000;
    private static final int LEAVE_ROUNDS = 3;
    private static final long NAME_CONFLICT_LOG_INTERVAL_US = 60_000_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long MICROS_PER_MS = 1000;

    private final Dependencies dependencies;
    private final Loop loop;
    private final MembersConfig config;
    private final Counters counters;
    private final MessageCodec codec = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private final ReplayFilter replayFilter = new ReplayFilter();
    private final Deadline tickDeadline;
    private final Deadline metadataDeadline;
    private final Deadline keyCheckDeadline;
    private final SwimTimings timings;
    private final String zone;
    private final String build;
    /** Address for fleet links and operators, or null if the listen address is a wildcard. */
    private final InetSocketAddress linkAddress;

    private Seal seal;
    private FileTime keyFileModifiedAt;
    private Swim swim;
    private Datagrams datagrams;
    /** Last status published by the traffic thread. */
    private volatile RequestStatus requestStatus;

    private long servedAtLastRate;
    private long lastRateAt;
    private long totalTurnNs;
    private long longestTurnNs;
    private long turns;
    private boolean closed;
    /** Null if no application data is piggybacked. */
    private PayloadHandler payloadHandler;

    private long nameConflictLoggedAt = Long.MIN_VALUE / 2;

    /**
     * Collaborators and settings.
     *
     * @param controlLoop event loop of the control thread
     * @param trafficLoop event loop of the thread that handles requests
     * @param requestStatus supplies the current status; called on the traffic thread
     * @param fileReader executor for blocking file reads
     */
    public record Dependencies(
            Loop controlLoop,
            Loop trafficLoop,
            Fleet fleet,
            MembersConfig config,
            Counters counters,
            String zone,
            Supplier<RequestStatus> requestStatus,
            Executor fileReader,
            long seed) {}

    /**
     * Snapshot of how a scheduler serves requests.
     *
     * @param policyVersion number of the policy in force, -1 if the fleet decides on none
     * @param condition whether it takes requests of clients
     * @param load open requests as a share of the limit
     * @param served number of requests served since the start
     */
    public record RequestStatus(long policyVersion, MemberMetadata.Condition condition, double load, long served) {}

    /** Supplies and consumes application data piggybacked on datagrams; called on the control loop. */
    public interface PayloadHandler {
        /** Data for a member, at most that many bytes, or null. */
        byte[] nextPayload(MemberRecord to, int room);

        /** Handles data from a member. Must not send anything. */
        void payloadReceived(MemberRecord from, byte[] bytes);
    }

    /** Sets the handler of application data. */
    public void setPayloadHandler(PayloadHandler handler) {
        payloadHandler = handler;
    }

    /** Records of the other live members; empty before {@link #join} and after {@link #leave}. */
    public List<MemberRecord> liveMembers() {
        List<MemberRecord> members = swim == null || closed ? new ArrayList<>() : new ArrayList<>(swim.others());
        members.removeIf(member -> !member.state().isLive());
        return members;
    }

    /** Sends data to a member; if null, whatever the payload handler supplies. */
    public void sendPayload(String name, byte[] bytes) {
        if (swim != null && !closed) {
            swim.sendPayload(name, bytes);
        }
    }

    /** Maximum size of application data, which a datagram without other updates can hold. */
    public int maxPayloadBytes() {
        return codec.maxUpdateBytes(Kind.GOSSIP) - codec.applyAsInt(new Update.Payload(new byte[0]));
    }

    @Override
    public byte[] nextPayload(MemberRecord to, int room) {
        return payloadHandler == null ? null : payloadHandler.nextPayload(to, room);
    }

    @Override
    public void payloadReceived(MemberRecord from, byte[] bytes) {
        if (payloadHandler != null) {
            payloadHandler.payloadReceived(from, bytes);
        }
    }

    /** Reads the keys. Must not be called on the control loop. */
    public Members(Dependencies dependencies) throws IOException, InterruptedException {
        this.dependencies = dependencies;
        loop = dependencies.controlLoop();
        config = dependencies.config();
        counters = dependencies.counters();
        timings = new SwimTimings(config.period);
        zone = truncate(dependencies.zone(), MemberMetadata.MAX_ZONE_BYTES);
        build = truncate(dependencies.fleet().self().build(), MemberMetadata.MAX_BUILD_BYTES);
        InetSocketAddress listenAddress = Loop.parseAddress(
                dependencies.fleet().address(dependencies.fleet().self().name()));
        linkAddress = listenAddress.getAddress().isAnyLocalAddress() ? null : listenAddress;
        tickDeadline = loop.deadlines().create(this::tick);
        metadataDeadline = loop.deadlines().create(this::refreshMetadata);
        keyCheckDeadline = loop.deadlines().create(this::checkKeyFile);
        keyFileModifiedAt = Files.getLastModifiedTime(config.keyFile);
        seal = new Seal(readKeys(config.keyFile), (int) dependencies.seed());
    }

    private static List<String> readKeys(Path file) throws IOException {
        List<String> keys = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            if (!line.isBlank()) {
                keys.add(line.strip());
            }
        }
        String invalid = Seal.invalidKeys(keys);
        if (invalid != null) {
            throw new IOException(file + ": " + invalid);
        }
        return keys;
    }

    /** Opens the socket and joins the fleet. Must not be called on the control loop. */
    public void join() throws IOException, InterruptedException {
        Datagrams opened = loop.datagrams(config.listen, Seal.MAX_DATAGRAM_BYTES, this::receive);
        RequestStatus[] initialStatus = new RequestStatus[1];
        dependencies
                .trafficLoop()
                .call(() -> initialStatus[0] = dependencies.requestStatus().get());
        requestStatus = initialStatus[0];
        loop.call(() -> {
            datagrams = opened;
            MemberInstance instance = MemberInstance.of(
                    dependencies.fleet().self().name(),
                    System.currentTimeMillis(),
                    config.advertise.getPort() == 0 ? opened.address() : config.advertise);
            swim = new Swim(
                    instance,
                    toMetadata(initialStatus[0]),
                    config.seeds,
                    timings,
                    codec,
                    dependencies.seed(),
                    loop.micros(),
                    this);
            dependencies.fleet().handle(RECORDS_MESSAGE_TYPE, this::receiveRecords);
            dependencies.fleet().serve("/fleet", (verb, path, body, answer) -> {
                if (verb.equals("GET") && path.equals("/fleet")) {
                    answer.respond(200, "application/json", "", report() + "\n");
                } else {
                    answer.respond(verb.equals("GET") ? 404 : 405, "text/plain", "", "known is GET /fleet\n");
                }
            });
            dependencies.fleet().setDescriber(this::memberState);
            LOG.info("members: {} at {}", instance, opened.address());
            loop.deadlines().set(metadataDeadline, loop.micros() + METADATA_INTERVAL_US);
            loop.deadlines().set(keyCheckDeadline, loop.micros() + KEY_CHECK_INTERVAL_US);
            tick();
        });
    }

    // ---- datagrams ----

    private void receive(InetSocketAddress from, byte[] bytes, int length) {
        if (swim == null || closed) {
            return;
        }
        long startedNs = System.nanoTime();
        counters.add("members.received");
        Message message = decode(from, bytes, length);
        if (message != null) {
            swim.receive(loop.micros(), from, message);
            scheduleTick();
        }
        recordTurn(startedNs);
    }

    /** Validates and decodes a datagram. Returns null, after counting the reason, if it is rejected. */
    private Message decode(InetSocketAddress from, byte[] bytes, int length) {
        if (length > Seal.MAX_DATAGRAM_BYTES) {
            counters.add("members.oversized");
            return null;
        }
        if (!isAllowedSender(from)) {
            counters.add("members.foreign");
            return null;
        }
        if (!seal.isAuthentic(bytes, length)) {
            counters.add("members.unsealed");
            return null;
        }
        Message message;
        try {
            message = codec.read(bytes, Seal.OVERHEAD_BYTES, length - Seal.OVERHEAD_BYTES);
        } catch (IOException e) {
            // Authentic but malformed: sent by an incompatible build.
            counters.add("members.spoilt");
            return null;
        }
        if (swim.isLiveInstance(message.senderId())
                && !replayFilter.registerIfNew(message.senderId(), Seal.sequenceNumber(bytes))) {
            counters.add("members.replayed");
            return null;
        }
        return message;
    }

    private boolean isAllowedSender(InetSocketAddress from) {
        if (swim.isKnownAddress(from)) {
            return true;
        }
        for (AddressRange range : config.allowed) {
            if (range.contains(from.getAddress())) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
        byte[] datagram = seal.wrap(codec.write(message));
        counters.add("members.sent");
        counters.set("members.bytes", counters.get("members.bytes") + datagram.length);
        counters.set("members.datagram_most", Math.max(datagram.length, counters.get("members.datagram_most")));
        if (!datagrams.send(to, datagram)) {
            counters.add("members.dropped");
        }
    }

    @Override
    public boolean sendRecords(String name, List<MemberRecord> records) {
        Peer peer = dependencies.fleet().anyPeer(name);
        if (peer == null) {
            return false;
        }
        JsonArray pieces = new JsonArray();
        for (int i = 0; i < records.size(); i += RECORDS_PER_PIECE) {
            List<Update> chunk = new ArrayList<>(records.subList(i, Math.min(records.size(), i + RECORDS_PER_PIECE)));
            pieces.add(Base64.getEncoder()
                    .encodeToString(codec.write(
                            new Message(Kind.GOSSIP, swim.self().instance().id(), 0, 0, 0, null, chunk))));
        }
        JsonObject message = new JsonObject();
        message.addProperty("t", RECORDS_MESSAGE_TYPE);
        message.add("pieces", pieces);
        counters.add("members.bulks");
        return peer.send(message);
    }

    /** Handles records that a member sent over its link. */
    private void receiveRecords(Peer from, JsonObject message) {
        for (JsonElement piece : message.getAsJsonArray("pieces")) {
            byte[] bytes = Base64.getDecoder().decode(piece.getAsString());
            try {
                List<MemberRecord> records = new ArrayList<>();
                for (Update update : codec.read(bytes, 0, bytes.length).updates()) {
                    if (update instanceof MemberRecord memberRecord) {
                        records.add(memberRecord);
                    }
                }
                swim.receiveRecords(loop.micros(), from.name(), records);
            } catch (IOException e) {
                counters.add("members.spoilt");
            }
        }
        scheduleTick();
    }

    // ---- ticks ----

    private void tick() {
        if (closed) {
            return;
        }
        long startedNs = System.nanoTime();
        if (swim.earliestTick() <= loop.micros()) {
            swim.tick(loop.micros());
        }
        scheduleTick();
        recordTurn(startedNs);
    }

    private void scheduleTick() {
        loop.deadlines().set(tickDeadline, swim.earliestTick(), Math.max(loop.micros(), swim.nextTick()));
    }

    private void recordTurn(long startedNs) {
        long turnNs = System.nanoTime() - startedNs;
        totalTurnNs += turnNs;
        longestTurnNs = Math.max(longestTurnNs, turnNs);
        turns++;
    }

    // ---- metadata ----

    private void refreshMetadata() {
        loop.deadlines()
                .set(metadataDeadline, loop.micros() + METADATA_INTERVAL_US, loop.micros() + METADATA_MAX_INTERVAL_US);
        swim.updateMetadata(loop.micros(), toMetadata(requestStatus));
        scheduleTick();
        pollRequestStatus();
    }

    /**
     * Has the traffic thread take a snapshot of the request status for the next refresh. Only a change of the
     * policy or condition, which must not wait, wakes the control thread.
     */
    private void pollRequestStatus() {
        try {
            dependencies.trafficLoop().later(() -> {
                RequestStatus previous = requestStatus;
                RequestStatus current = dependencies.requestStatus().get();
                requestStatus = current;
                if (current.policyVersion() != previous.policyVersion()
                        || current.condition() != previous.condition()) {
                    publish(current);
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("traffic loop has stopped, request status not refreshed");
        }
    }

    private void publish(RequestStatus status) {
        try {
            loop.later(() -> {
                if (swim != null && !closed) {
                    swim.updateMetadata(loop.micros(), toMetadata(status));
                    scheduleTick();
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("control loop has stopped, metadata not published");
        }
    }

    /** Publishes a change of the condition without delay. Called on the traffic thread. */
    public void statusChanged() {
        publish(dependencies.requestStatus().get());
    }

    private MemberMetadata toMetadata(RequestStatus status) {
        long now = loop.micros();
        double rate = lastRateAt == 0
                ? 0
                : (status.served() - servedAtLastRate) * MICROS_PER_SECOND / Math.max(1, now - lastRateAt);
        servedAtLastRate = status.served();
        lastRateAt = now;
        return new MemberMetadata(
                zone,
                build,
                linkAddress,
                status.policyVersion(),
                status.condition(),
                MemberMetadata.toLoadStep(status.load()),
                MemberMetadata.toRateStep(rate),
                false);
    }

    private static String truncate(String text, int maxLength) {
        String ascii = text.replaceAll("[^ -~]", "?");
        return ascii.length() > maxLength ? ascii.substring(0, maxLength) : ascii;
    }

    // ---- keys ----

    private void checkKeyFile() {
        loop.deadlines()
                .set(
                        keyCheckDeadline,
                        loop.micros() + KEY_CHECK_INTERVAL_US * 3 / 4,
                        loop.micros() + KEY_CHECK_INTERVAL_US);
        try {
            dependencies.fileReader().execute(() -> {
                try {
                    FileTime changed = Files.getLastModifiedTime(config.keyFile);
                    if (!changed.equals(keyFileModifiedAt)) {
                        keyFileModifiedAt = changed;
                        List<String> read = readKeys(config.keyFile);
                        loop.later(() -> {
                            seal.setKeys(read);
                            LOG.info("members: {} keys were read again", read.size());
                        });
                    }
                } catch (IOException | RejectedExecutionException e) {
                    LOG.warn("members: the key file is not applied, the keys are unchanged: {}", e.getMessage());
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("file reader has stopped, key file not checked", e);
        }
    }

    // ---- changes of the view ----

    @Override
    public void memberChanged(MemberRecord previous, MemberRecord current) {
        boolean sameInstance = previous != null
                && previous.instance().id() == current.instance().id();
        if (previous != null && !sameInstance) {
            replayFilter.forget(previous.instance().id());
        }
        if (!current.state().isLive()) {
            replayFilter.forget(current.instance().id());
        }
        if (!sameInstance || previous.state() != current.state()) {
            counters.add("members.to_" + current.state().name().toLowerCase(Locale.ROOT));
            LOG.info(
                    "member {} life={} {} to {} ns={}",
                    current.instance().name(),
                    current.instance().generation(),
                    sameInstance ? previous.state() : "NEW",
                    current.state(),
                    System.nanoTime());
        }
        counters.set("members.live", swim == null ? 1 : swim.size());
    }

    @Override
    public void count(String event) {
        counters.add("members." + event);
        if (event.equals("name_taken_twice") && loop.micros() - nameConflictLoggedAt > NAME_CONFLICT_LOG_INTERVAL_US) {
            nameConflictLoggedAt = loop.micros();
            LOG.error(
                    "members: two processes use the same name, the older one keeps it; this one is {}",
                    swim == null ? "" : swim.self().instance());
        }
    }

    /** State of a scheduler in the view in lower case; empty if it is unknown. */
    public String memberState(String name) {
        MemberRecord member = swim == null ? null : swim.other(name);
        return member == null ? "" : member.state().name().toLowerCase(java.util.Locale.ROOT);
    }

    // ---- reports ----

    private JsonObject report() {
        JsonObject report = new JsonObject();
        report.add("self", memberReport(swim.self()));
        JsonArray members = new JsonArray();
        List<MemberRecord> others = new ArrayList<>(swim.others());
        others.sort(Comparator.comparing(member -> member.instance().name()));
        others.forEach(member -> members.add(memberReport(member)));
        report.add("members", members);
        report.addProperty("live", swim.size());
        report.addProperty("digest", Integer.toHexString(swim.digest()));
        report.addProperty("settled", swim.isSettled(loop.micros()));
        report.addProperty("name_taken", swim.isNameTaken());
        report.addProperty("slowed", swim.healthScore());
        report.addProperty("turn_us", turns == 0 ? 0 : totalTurnNs / 1000.0 / turns);
        report.addProperty("turn_most_us", longestTurnNs / 1000.0);
        return report;
    }

    private JsonObject memberReport(MemberRecord member) {
        MemberMetadata metadata = member.metadata();
        JsonObject report = new JsonObject();
        report.addProperty("name", member.instance().name());
        report.addProperty("state", member.state().name().toLowerCase(java.util.Locale.ROOT));
        report.addProperty("zone", metadata.zone());
        report.addProperty("generation", member.instance().generation());
        report.addProperty("incarnation", member.incarnation());
        report.addProperty("at", formatAddress(member.instance().address()));
        report.addProperty("link", metadata.link() == null ? "" : formatAddress(metadata.link()));
        report.addProperty("build", metadata.build());
        report.addProperty("policy", metadata.policy());
        report.addProperty("condition", metadata.condition().name().toLowerCase(java.util.Locale.ROOT));
        report.addProperty("load_sixteenths", metadata.load());
        report.addProperty("rate_below", metadata.rate() == 0 ? 0 : 1L << metadata.rate());
        report.addProperty("late", metadata.late());
        long stateChangedAt = swim.stateChangedAt(member.instance().name());
        if (stateChangedAt >= 0) {
            // The loop's clock was set to wall-clock time at its start.
            report.addProperty("changed_ms", stateChangedAt / MICROS_PER_MS);
        }
        return report;
    }

    private static String formatAddress(InetSocketAddress at) {
        String host = at.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + at.getPort();
    }

    // ---- leaving ----

    /** Announces its departure for a few gossip rounds, then closes. Must not be called on the control loop. */
    public void leave() throws InterruptedException {
        if (swim == null) {
            return;
        }
        CountDownLatch left = new CountDownLatch(1);
        loop.call(() -> {
            swim.leave(loop.micros());
            scheduleTick();
            loop.deadlines().cancel(metadataDeadline);
            loop.deadlines().cancel(keyCheckDeadline);
            loop.deadlines().at(loop.micros() + LEAVE_ROUNDS * timings.gossipInterval(), () -> {
                closed = true;
                loop.deadlines().cancel(tickDeadline);
                datagrams.close();
                left.countDown();
            });
        });
        left.await();
    }
}
