package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.microraft.RaftEndpoint;
import io.microraft.persistence.RestoredRaftState;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import laneflow.config.Canonical;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.fleet.Fleet;
import laneflow.fleet.Peer;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How voters find together. A voter whose store holds a vote goes on with it. One with an empty store is
 * either of a fleet that begins, or has lost its disk; it can't tell by itself, and a voter that has
 * forgotten its vote must not vote again. So voters tell each other their stores' marks and whom they began
 * with. With an empty store one begins if a voter that has begun counts this very store among the first, or
 * if all voters of the file say that theirs are empty too. Else it does not vote until it is taken in, as
 * does one that the file does not name as a voter.
 */
final class VoterGroup {
    private static final Logger LOG = LoggerFactory.getLogger(VoterGroup.class);
    private static final long ANNOUNCE_PERIOD_MICROS = 100_000;

    private final Loop loop;
    private final Fleet fleet;
    private final PolicyConfig config;
    private final Counters counters;
    private final RaftVoter voter;
    private final Deadline announceTimer;
    /** The stores of voters that are empty, as they have said, by name. */
    private final Map<String, String> emptyStores = new HashMap<>();

    private final Map<String, String> storeIds = new HashMap<>();
    /** True where the file does not name this one as a voter. */
    private final boolean candidate;

    private String groupId = "";
    private boolean storeLost;
    private boolean removed;

    VoterGroup(Loop loop, Fleet fleet, PolicyConfig config, Counters counters, RaftVoter voter) {
        this.loop = loop;
        this.fleet = fleet;
        this.config = config;
        this.counters = counters;
        this.voter = voter;
        candidate = !config.voters.contains(voter.self().name());
        announceTimer = loop.deadlines().create(this::announce);
    }

    /** @param restored what the store holds, or null where it is empty */
    void start(RestoredRaftState restored) {
        fleet.handle("voter", this::onAnnouncement);
        fleet.handle("raft", (from, message) -> {
            if (voter.isStarted() && message.get("group").getAsString().equals(groupId)) {
                voter.onMessage(from.name(), message);
            } else {
                counters.add("policy.other_group");
            }
        });
        fleet.handle("join", (from, message) -> {
            if (!voter.isStarted()
                    && message.get("id").getAsString().equals(voter.self().text())) {
                storeLost = false;
                counters.set("policy.vote_lost", 0);
                startVoting(null, RaftCodec.readVoters(message.getAsJsonArray("first")));
            }
        });
        fleet.handle("removed", (from, message) -> {
            if (!removed && message.get("id").getAsString().equals(voter.self().text())) {
                removed = true;
                voter.stopAfterRemoval();
            }
        });
        if (restored != null) {
            startVoting(restored, List.of());
        } else {
            startIfAllEmpty();
        }
        announce();
    }

    /** On the loop: a link has come up or gone down. */
    void onLinksChanged() {
        Set<String> names = new TreeSet<>();
        for (String name : fleet.dialled()) {
            if (fleet.peer(name) != null) {
                names.add(name);
            }
        }
        voter.reachable(names);
        announce();
    }

    /** On the loop: these vote now, by their stores. */
    void onVoters(Set<String> ids) {
        ids.forEach(id -> dial(VoterId.parse(id).name()));
    }

    /** Keeps a link to that scheduler; false where the file does not say where it is. */
    boolean dial(String name) {
        if (fleet.address(name) == null) {
            return false;
        }
        fleet.dial(name);
        return true;
    }

    /** On the loop: a message of the library's to the voter of that name. */
    void send(String to, JsonObject message) {
        Peer peer = fleet.peer(to);
        if (peer != null) {
            message.addProperty("group", groupId);
            peer.send(message);
        }
    }

    private void announce() {
        for (String name : fleet.dialled()) {
            Peer peer = fleet.peer(name);
            if (peer != null) {
                peer.send(announcement());
            }
        }
        if (!voter.isStarted() && !candidate) {
            loop.deadlines().set(announceTimer, loop.micros() + ANNOUNCE_PERIOD_MICROS);
        }
    }

    /** The stores of those that this one began with. */
    private JsonArray initialVoters() {
        JsonArray ids = new JsonArray();
        voter.initialVoterIds().forEach(ids::add);
        return ids;
    }

    private JsonObject announcement() {
        JsonObject message = new JsonObject();
        message.addProperty("t", "voter");
        message.addProperty("id", voter.self().text());
        if (voter.isStarted()) {
            message.add("first", initialVoters());
        }
        return message;
    }

    private void onAnnouncement(Peer from, JsonObject message) {
        VoterId id = VoterId.parse(message.get("id").getAsString());
        if (!id.name().equals(from.name())) {
            counters.add("fleet.garbled");
            return;
        }
        storeIds.put(id.name(), id.text());
        JsonElement first = message.get("first");
        if (first == null) {
            emptyStores.put(id.name(), id.text());
        } else {
            emptyStores.remove(id.name());
        }
        if (voter.isStarted()) {
            if (first == null) {
                // It waits to hear whom this one began with.
                from.send(announcement());
            }
            return;
        }
        if (first != null) {
            Collection<RaftEndpoint> initial = RaftCodec.readVoters(first.getAsJsonArray());
            if (initial.contains(voter.self())) {
                startVoting(null, initial);
            } else if (!storeLost && !candidate) {
                storeLost = true;
                counters.set("policy.vote_lost", 1);
                LOG.error(
                        "policy: this store of votes is new, and the voters {} had another one of {}: it"
                                + " does not vote until it is taken in anew",
                        first,
                        voter.self().name());
            }
            return;
        }
        startIfAllEmpty();
    }

    /** All voters of the file have said that their stores are empty: they begin together. */
    private void startIfAllEmpty() {
        if (candidate) {
            return;
        }
        Collection<RaftEndpoint> initial = new LinkedHashSet<>();
        for (String name : new TreeSet<>(config.voters)) {
            String id = name.equals(voter.self().name()) ? voter.self().text() : emptyStores.get(name);
            if (id == null) {
                return;
            }
            initial.add(VoterId.parse(id));
        }
        if (!storeLost) {
            startVoting(null, initial);
        }
    }

    private void startVoting(RestoredRaftState restored, Collection<RaftEndpoint> first) {
        voter.start(restored, first);
        groupId = Canonical.digest(initialVoters()).substring(0, 16);
        LOG.info("policy: votes as {}, begun with {}", voter.self(), voter.initialVoterIds());
        announce();
    }

    /** At the leader: the voter of that name is to begin with its new store; false if it can't be told. */
    boolean invite(String name) {
        Peer peer = fleet.peer(name);
        if (peer == null || !storeIds.containsKey(name)) {
            return false;
        }
        JsonObject message = new JsonObject();
        message.addProperty("t", "join");
        message.addProperty("id", storeIds.get(name));
        message.add("first", initialVoters());
        return peer.send(message);
    }

    /** True if the store of that name has never voted, as its process has said. */
    boolean isEmpty(String name) {
        return emptyStores.containsKey(name);
    }

    /** True where this process may be taken in as a voter. */
    boolean isCandidate() {
        return candidate && !voter.isStarted();
    }

    /** True where it was a voter, and was taken out. */
    boolean isRemoved() {
        return removed;
    }

    /** True where this process has a store but must not vote with it. */
    boolean isStoreLost() {
        return storeLost;
    }

    /** The store that a voter of that name has now, as it has said, or null. */
    String storeId(String name) {
        return name.equals(voter.self().name()) ? voter.self().text() : storeIds.get(name);
    }
}
