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
 * Decides when a voter starts to vote, and with which group. A voter whose store holds a vote continues with
 * it. An empty store belongs either to a new fleet or to a voter that has lost its disk; the voter can't tell
 * which, and one that has forgotten its vote must not vote again. Voters therefore announce their store ids
 * and the initial voters of their group. A voter with an empty store starts if a running voter names this
 * very store among the initial voters, or if all voters of the configuration file announce empty stores.
 * Otherwise it does not vote until an operator adds it, as is the case for schedulers that the file does not
 * name as voters.
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
    /** Ids of stores announced as empty, by the voter's name. */
    private final Map<String, String> emptyStores = new HashMap<>();

    private final Map<String, String> storeIds = new HashMap<>();
    /** True if the configuration file does not name this scheduler as a voter. */
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

    /** @param restored the state in the store, or null if it is empty */
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

    /** Called on the loop when a link has come up or gone down. */
    void onLinksChanged() {
        Set<String> names = new TreeSet<>();
        for (String name : fleet.dialledNames()) {
            if (fleet.peer(name) != null) {
                names.add(name);
            }
        }
        voter.setReachable(names);
        announce();
    }

    /** Called on the loop with the ids of the current voters. */
    void onVoters(Set<String> ids) {
        ids.forEach(id -> dial(VoterId.parse(id).name()));
    }

    /** Keeps a link to that scheduler; false if its address is not configured. */
    boolean dial(String name) {
        if (fleet.address(name) == null) {
            return false;
        }
        fleet.dial(name);
        return true;
    }

    /** Called on the loop: sends a Raft message to the voter of that name. */
    void send(String to, JsonObject message) {
        Peer peer = fleet.peer(to);
        if (peer != null) {
            message.addProperty("group", groupId);
            peer.send(message);
        }
    }

    private void announce() {
        for (String name : fleet.dialledNames()) {
            Peer peer = fleet.peer(name);
            if (peer != null) {
                peer.send(announcement());
            }
        }
        if (!voter.isStarted() && !candidate) {
            loop.deadlines().set(announceTimer, loop.micros() + ANNOUNCE_PERIOD_MICROS);
        }
    }

    /** Ids of the group's initial voters. */
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
                // The other voter waits for the ids of this group's initial voters.
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
                        "policy: this store of votes is new, but the initial voters {} had another one of {}:"
                                + " it does not vote until an operator replaces that voter",
                        first,
                        voter.self().name());
            }
            return;
        }
        startIfAllEmpty();
    }

    /** Starts a new group once all voters of the file have announced empty stores. */
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
        LOG.info("policy: voting as {}, initial voters {}", voter.self(), voter.initialVoterIds());
        announce();
    }

    /**
     * At the leader: tells the voter of that name to start with its new store; false if it can't be reached.
     */
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

    /** True if the store of that name is announced as empty. */
    boolean isEmpty(String name) {
        return emptyStores.containsKey(name);
    }

    /** True if this process doesn't vote but can be added as a voter. */
    boolean isCandidate() {
        return candidate && !voter.isStarted();
    }

    /** True if this process was a voter and was removed. */
    boolean isRemoved() {
        return removed;
    }

    /** True if this process has lost its old store and must not vote with the new one. */
    boolean isStoreLost() {
        return storeLost;
    }

    /** Id of the store that the voter of that name has announced, or null. */
    String storeId(String name) {
        return name.equals(voter.self().name()) ? voter.self().text() : storeIds.get(name);
    }
}
