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
import laneflow.membership.decision.Facts;
import laneflow.membership.decision.Life;
import laneflow.membership.decision.Message;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Replays;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.Swim;
import laneflow.membership.decision.Times;
import laneflow.membership.decision.Update;
import laneflow.membership.decision.Update.Full;
import laneflow.membership.decision.Wire;
import laneflow.net.Datagrams;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The view that this scheduler keeps of the others: datagrams in and out, checked before anything is made of
 * them, the loop's clock, and what it tells of itself. On the control thread. The view informs; nothing that
 * must be true rests on it.
 */
public final class Members implements Swim.Out {
    private static final Logger LOG = LoggerFactory.getLogger(Members.class);
    private static final String BULK = "members";
    private static final int RECORDS_A_PIECE = 24;
    private static final long FACTS_EVERY = 1_000_000;
    private static final long FACTS_LATEST = 1_500_000;
    private static final long KEYS_EVERY = 2_000_000;
    private static final int LEAVE_ROUNDS = 3;
    private static final long TOLD_AGAIN = 60_000_000;
    private static final double MICROS = 1e6;
    private static final long MICROS_A_MS = 1000;

    private final Given given;
    private final Loop loop;
    private final MembersConfig config;
    private final Counters counters;
    private final Wire wire = new Wire(Seal.MOST - Seal.AROUND);
    private final Replays replays = new Replays();
    private final Deadline due;
    private final Deadline facts;
    private final Deadline keys;
    private final Times times;
    private final String zone;
    private final String build;
    /** Where others and operators come, or null where that is no address of one machine. */
    private final InetSocketAddress link;

    private Seal seal;
    private FileTime keysRead;
    private Swim swim;
    private Datagrams datagrams;
    /** As the traffic's thread has last said. */
    private volatile Standing standing;

    private long servedBefore;
    private long factsAt;
    private long spentNs;
    private long longestNs;
    private long turns;
    private boolean over;
    /** Null where nothing goes along. */
    private Cargo cargo;

    private long toldTwiceAt = Long.MIN_VALUE / 2;

    /**
     * What the assembly gives it.
     *
     * @param loop of the control thread
     * @param traffic of the thread that takes requests
     * @param standing how it stands with requests; asked on the traffic's thread
     * @param reading a thread that reads files
     */
    public record Given(
            Loop loop,
            Loop traffic,
            Fleet fleet,
            MembersConfig config,
            Counters counters,
            String zone,
            Supplier<Standing> standing,
            Executor reading,
            long seed) {}

    /**
     * How a scheduler stands with requests at one instant.
     *
     * @param policy the number of the policy in force, -1 where none is decided together
     * @param condition whether clients may come
     * @param load share of the requests that may be open
     * @param served requests answered so far
     */
    public record Standing(long policy, Facts.Condition condition, double load, long served) {}

    /** What goes along with the view's datagrams for others than the view; on the loop. */
    public interface Cargo {
        /** Bytes for that member, as many at most, or null. */
        byte[] fill(Full to, int room);

        /** Bytes of that member; nothing may be sent from there. */
        void take(Full from, byte[] bytes);
    }

    /** Takes that along from now on. */
    public void carry(Cargo what) {
        cargo = what;
    }

    /** The live members that are known, this one left out; empty before {@link #begin}. */
    public List<Full> live() {
        List<Full> all = swim == null || over ? new ArrayList<>() : new ArrayList<>(swim.others());
        all.removeIf(one -> !one.state().isLive());
        return all;
    }

    /** Sends that member these bytes, or, where null, a datagram with what is for it. */
    public void carry(String name, byte[] bytes) {
        if (swim != null && !over) {
            swim.carry(name, bytes);
        }
    }

    /** Bytes that go along in a datagram that holds nothing else. */
    public int room() {
        return wire.room(Kind.NEWS) - wire.applyAsInt(new Update.Extra(new byte[0]));
    }

    @Override
    public byte[] extra(Full to, int room) {
        return cargo == null ? null : cargo.fill(to, room);
    }

    @Override
    public void extra(Full from, byte[] bytes) {
        if (cargo != null) {
            cargo.take(from, bytes);
        }
    }

    /** Reads the keys and begins; off the loop. */
    public Members(Given given) throws IOException, InterruptedException {
        this.given = given;
        loop = given.loop();
        config = given.config();
        counters = given.counters();
        times = new Times(config.period);
        zone = cut(given.zone(), Facts.MOST_ZONE);
        build = cut(given.fleet().self().build(), Facts.MOST_BUILD);
        InetSocketAddress listens =
                Loop.address(given.fleet().address(given.fleet().self().name()));
        link = listens.getAddress().isAnyLocalAddress() ? null : listens;
        due = loop.deadlines().create(this::due);
        facts = loop.deadlines().create(this::facts);
        keys = loop.deadlines().create(this::lookForKeys);
        keysRead = Files.getLastModifiedTime(config.keyFile);
        seal = new Seal(readKeys(config.keyFile), (int) given.seed());
    }

    private static List<String> readKeys(Path file) throws IOException {
        List<String> all = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            if (!line.isBlank()) {
                all.add(line.strip());
            }
        }
        String unfit = Seal.unfit(all);
        if (unfit != null) {
            throw new IOException(file + ": " + unfit);
        }
        return all;
    }

    /** Becomes a member; fails with the socket's word where the address is taken. Off the loop. */
    public void begin() throws IOException, InterruptedException {
        Datagrams opened = loop.datagrams(config.listen, Seal.MOST, this::take);
        Standing[] first = new Standing[1];
        given.traffic().call(() -> first[0] = given.standing().get());
        standing = first[0];
        loop.call(() -> {
            datagrams = opened;
            Life life = Life.of(
                    given.fleet().self().name(),
                    System.currentTimeMillis(),
                    config.advertise.getPort() == 0 ? opened.address() : config.advertise);
            swim = new Swim(life, told(first[0]), config.seeds, times, wire, given.seed(), loop.micros(), this);
            given.fleet().handle(BULK, this::bulk);
            given.fleet().serve("/fleet", (verb, path, body, answer) -> {
                if (verb.equals("GET") && path.equals("/fleet")) {
                    answer.say(200, "application/json", "", report() + "\n");
                } else {
                    answer.say(verb.equals("GET") ? 404 : 405, "text/plain", "", "known is GET /fleet\n");
                }
            });
            given.fleet().setDescriber(this::standing);
            LOG.info("members: {} at {}", life, opened.address());
            loop.deadlines().set(facts, loop.micros() + FACTS_EVERY);
            loop.deadlines().set(keys, loop.micros() + KEYS_EVERY);
            due();
        });
    }

    // ---- datagrams ----

    private void take(InetSocketAddress from, byte[] bytes, int length) {
        if (swim == null || over) {
            return;
        }
        long began = System.nanoTime();
        counters.add("members.received");
        Message message = read(from, bytes, length);
        if (message != null) {
            swim.heard(loop.micros(), from, message);
            arm();
        }
        spent(began);
    }

    /** Null where it is nobody's that is heard; nothing has been made of it then but a count. */
    private Message read(InetSocketAddress from, byte[] bytes, int length) {
        if (length > Seal.MOST) {
            counters.add("members.oversized");
            return null;
        }
        if (!isHeard(from)) {
            counters.add("members.foreign");
            return null;
        }
        if (!seal.isWhole(bytes, length)) {
            counters.add("members.unsealed");
            return null;
        }
        Message message;
        try {
            message = wire.read(bytes, Seal.AROUND, length - Seal.AROUND);
        } catch (IOException e) {
            // Sealed, and yet no message: of a build that we don't know.
            counters.add("members.spoilt");
            return null;
        }
        if (swim.knows(message.from()) && !replays.isFresh(message.from(), Seal.number(bytes))) {
            counters.add("members.replayed");
            return null;
        }
        return message;
    }

    private boolean isHeard(InetSocketAddress from) {
        if (swim.isKnown(from)) {
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
        byte[] datagram = seal.close(wire.write(message));
        counters.add("members.sent");
        counters.set("members.bytes", counters.get("members.bytes") + datagram.length);
        counters.set("members.datagram_most", Math.max(datagram.length, counters.get("members.datagram_most")));
        if (!datagrams.send(to, datagram)) {
            counters.add("members.dropped");
        }
    }

    @Override
    public boolean sendAll(String name, List<Full> records) {
        Peer peer = given.fleet().anyPeer(name);
        if (peer == null) {
            return false;
        }
        JsonArray pieces = new JsonArray();
        for (int i = 0; i < records.size(); i += RECORDS_A_PIECE) {
            List<Update> some = new ArrayList<>(records.subList(i, Math.min(records.size(), i + RECORDS_A_PIECE)));
            pieces.add(Base64.getEncoder()
                    .encodeToString(
                            wire.write(new Message(Kind.NEWS, swim.self().life().id(), 0, 0, 0, null, some))));
        }
        JsonObject all = new JsonObject();
        all.addProperty("t", BULK);
        all.add("pieces", pieces);
        counters.add("members.bulks");
        return peer.send(all);
    }

    /** Records from a member over the link. */
    private void bulk(Peer from, JsonObject message) {
        for (JsonElement piece : message.getAsJsonArray("pieces")) {
            byte[] bytes = Base64.getDecoder().decode(piece.getAsString());
            try {
                List<Full> records = new ArrayList<>();
                for (Update update : wire.read(bytes, 0, bytes.length).updates()) {
                    if (update instanceof Full full) {
                        records.add(full);
                    }
                }
                swim.heardAll(loop.micros(), from.name(), records);
            } catch (IOException e) {
                counters.add("members.spoilt");
            }
        }
        arm();
    }

    // ---- time ----

    private void due() {
        if (over) {
            return;
        }
        long began = System.nanoTime();
        if (swim.early() <= loop.micros()) {
            swim.tick(loop.micros());
        }
        arm();
        spent(began);
    }

    private void arm() {
        loop.deadlines().set(due, swim.early(), Math.max(loop.micros(), swim.next()));
    }

    private void spent(long began) {
        long took = System.nanoTime() - began;
        spentNs += took;
        longestNs = Math.max(longestNs, took);
        turns++;
    }

    // ---- what it tells of itself ----

    private void facts() {
        loop.deadlines().set(facts, loop.micros() + FACTS_EVERY, loop.micros() + FACTS_LATEST);
        swim.tell(loop.micros(), told(standing));
        arm();
        ask();
    }

    /**
     * What only the traffic's thread may read is published there as a whole, for the next time: only what
     * must not wait wakes this thread for it.
     */
    private void ask() {
        try {
            given.traffic().later(() -> {
                Standing before = standing;
                Standing now = given.standing().get();
                standing = now;
                if (now.policy() != before.policy() || now.condition() != before.condition()) {
                    tell(now);
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("nobody takes requests any more");
        }
    }

    private void tell(Standing now) {
        try {
            loop.later(() -> {
                if (swim != null && !over) {
                    swim.tell(loop.micros(), told(now));
                    arm();
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("the control thread has ended");
        }
    }

    /** To be told without delay: whether clients may come has changed. On the traffic's thread. */
    public void changed() {
        tell(given.standing().get());
    }

    private Facts told(Standing standing) {
        long now = loop.micros();
        double rate = factsAt == 0 ? 0 : (standing.served() - servedBefore) * MICROS / Math.max(1, now - factsAt);
        servedBefore = standing.served();
        factsAt = now;
        return new Facts(
                zone,
                build,
                link,
                standing.policy(),
                standing.condition(),
                Facts.loadStep(standing.load()),
                Facts.rateStep(rate),
                false);
    }

    private static String cut(String text, int most) {
        String plain = text.replaceAll("[^ -~]", "?");
        return plain.length() > most ? plain.substring(0, most) : plain;
    }

    // ---- keys ----

    private void lookForKeys() {
        loop.deadlines().set(keys, loop.micros() + KEYS_EVERY * 3 / 4, loop.micros() + KEYS_EVERY);
        try {
            given.reading().execute(() -> {
                try {
                    FileTime changed = Files.getLastModifiedTime(config.keyFile);
                    if (!changed.equals(keysRead)) {
                        keysRead = changed;
                        List<String> read = readKeys(config.keyFile);
                        loop.later(() -> {
                            seal.keys(read);
                            LOG.info("members: {} keys were read again", read.size());
                        });
                    }
                } catch (IOException | RejectedExecutionException e) {
                    LOG.warn("members: the keys stay as they were: {}", e.getMessage());
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("the process ends", e);
        }
    }

    // ---- what becomes of it ----

    @Override
    public void changed(Full before, Full now) {
        boolean sameLife = before != null && before.life().id() == now.life().id();
        if (before != null && !sameLife) {
            replays.forget(before.life().id());
        }
        if (!now.state().isLive()) {
            replays.forget(now.life().id());
        }
        if (!sameLife || before.state() != now.state()) {
            counters.add("members.to_" + now.state().name().toLowerCase(Locale.ROOT));
            LOG.info(
                    "member {} life={} {} to {} ns={}",
                    now.life().name(),
                    now.life().generation(),
                    sameLife ? before.state() : "NEW",
                    now.state(),
                    System.nanoTime());
        }
        counters.set("members.live", swim == null ? 1 : swim.size());
    }

    @Override
    public void count(String what) {
        counters.add("members." + what);
        if (what.equals("name_taken_twice") && loop.micros() - toldTwiceAt > TOLD_AGAIN) {
            toldTwiceAt = loop.micros();
            LOG.error(
                    "members: a name is taken twice; the elder process keeps it. This one is {}",
                    swim == null ? "" : swim.self().life());
        }
    }

    /** What the view has on that scheduler, in a word; empty: nothing. */
    public String standing(String name) {
        Full one = swim == null ? null : swim.other(name);
        return one == null ? "" : one.state().name().toLowerCase(java.util.Locale.ROOT);
    }

    // ---- reports ----

    private JsonObject report() {
        JsonObject all = new JsonObject();
        all.add("self", member(swim.self()));
        JsonArray members = new JsonArray();
        List<Full> others = new ArrayList<>(swim.others());
        others.sort(Comparator.comparing(one -> one.life().name()));
        others.forEach(one -> members.add(member(one)));
        all.add("members", members);
        all.addProperty("live", swim.size());
        all.addProperty("digest", Integer.toHexString(swim.digest()));
        all.addProperty("settled", swim.isSettled(loop.micros()));
        all.addProperty("name_taken", swim.isOutcast());
        all.addProperty("slowed", swim.score());
        all.addProperty("turn_us", turns == 0 ? 0 : spentNs / 1000.0 / turns);
        all.addProperty("turn_most_us", longestNs / 1000.0);
        return all;
    }

    private JsonObject member(Full one) {
        Facts facts = one.facts();
        JsonObject all = new JsonObject();
        all.addProperty("name", one.life().name());
        all.addProperty("state", one.state().name().toLowerCase(java.util.Locale.ROOT));
        all.addProperty("zone", facts.zone());
        all.addProperty("generation", one.life().generation());
        all.addProperty("incarnation", one.incarnation());
        all.addProperty("at", text(one.life().at()));
        all.addProperty("link", facts.link() == null ? "" : text(facts.link()));
        all.addProperty("build", facts.build());
        all.addProperty("policy", facts.policy());
        all.addProperty("condition", facts.condition().name().toLowerCase(java.util.Locale.ROOT));
        all.addProperty("load_sixteenths", facts.load());
        all.addProperty("rate_below", facts.rate() == 0 ? 0 : 1L << facts.rate());
        all.addProperty("late", facts.late());
        long changed = swim.changedAt(one.life().name());
        if (changed >= 0) {
            // The loop's clock began with the wall's.
            all.addProperty("changed_ms", changed / MICROS_A_MS);
        }
        return all;
    }

    private static String text(InetSocketAddress at) {
        String host = at.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + at.getPort();
    }

    // ---- the end ----

    /** Says that it leaves, a few times, and is a member no more; off the loop. */
    public void leave() throws InterruptedException {
        if (swim == null) {
            return;
        }
        CountDownLatch said = new CountDownLatch(1);
        loop.call(() -> {
            swim.leave(loop.micros());
            arm();
            loop.deadlines().cancel(facts);
            loop.deadlines().cancel(keys);
            loop.deadlines().at(loop.micros() + LEAVE_ROUNDS * times.gossip(), () -> {
                over = true;
                loop.deadlines().cancel(due);
                datagrams.close();
                said.countDown();
            });
        });
        said.await();
    }
}
