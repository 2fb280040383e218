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
    private static final long TELL_EVERY = 100_000;

    private final Loop loop;
    private final Fleet fleet;
    private final PolicyConfig config;
    private final Counters counters;
    private final Voting voting;
    private final Deadline tell;
    /** The stores of voters that are empty, as they have said, by name. */
    private final Map<String, String> empty = new HashMap<>();

    private final Map<String, String> marks = new HashMap<>();
    /** True where the file does not name this one as a voter. */
    private final boolean candidate;

    private String group = "";
    private boolean lost;
    private boolean removed;

    VoterGroup(Loop loop, Fleet fleet, PolicyConfig config, Counters counters, Voting voting) {
        this.loop = loop;
        this.fleet = fleet;
        this.config = config;
        this.counters = counters;
        this.voting = voting;
        candidate = !config.voters.contains(voting.self().name());
        tell = loop.deadlines().create(this::tell);
    }

    /** @param restored what the store holds, or null where it is empty */
    void begin(RestoredRaftState restored) {
        fleet.handle("voter", this::heard);
        fleet.handle("raft", (from, message) -> {
            if (voting.isBegun() && message.get("group").getAsString().equals(group)) {
                voting.take(from.name(), message);
            } else {
                counters.add("policy.other_group");
            }
        });
        fleet.handle("join", (from, message) -> {
            if (!voting.isBegun()
                    && message.get("id").getAsString().equals(voting.self().text())) {
                lost = false;
                counters.set("policy.vote_lost", 0);
                start(null, RaftCodec.readVoters(message.getAsJsonArray("first")));
            }
        });
        fleet.handle("removed", (from, message) -> {
            if (!removed && message.get("id").getAsString().equals(voting.self().text())) {
                removed = true;
                voting.leave();
            }
        });
        if (restored != null) {
            start(restored, List.of());
        } else {
            alone();
        }
        tell();
    }

    /** On the loop: a link has come up or gone down. */
    void linked() {
        Set<String> names = new TreeSet<>();
        for (String voter : fleet.dialledNames()) {
            if (fleet.peer(voter) != null) {
                names.add(voter);
            }
        }
        voting.reachable(names);
        tell();
    }

    /** On the loop: these vote now, by their stores. */
    void members(Set<String> ids) {
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
            message.addProperty("group", group);
            peer.send(message);
        }
    }

    private void tell() {
        for (String voter : fleet.dialledNames()) {
            Peer peer = fleet.peer(voter);
            if (peer != null) {
                peer.send(word());
            }
        }
        if (!voting.isBegun() && !candidate) {
            loop.deadlines().set(tell, loop.micros() + TELL_EVERY);
        }
    }

    /** The stores of those that this one began with. */
    private JsonArray first() {
        JsonArray all = new JsonArray();
        voting.firstVoters().forEach(all::add);
        return all;
    }

    private JsonObject word() {
        JsonObject all = new JsonObject();
        all.addProperty("t", "voter");
        all.addProperty("id", voting.self().text());
        if (voting.isBegun()) {
            all.add("first", first());
        }
        return all;
    }

    private void heard(Peer from, JsonObject message) {
        VoterId id = VoterId.parse(message.get("id").getAsString());
        if (!id.name().equals(from.name())) {
            counters.add("fleet.garbled");
            return;
        }
        marks.put(id.name(), id.text());
        JsonElement first = message.get("first");
        if (first == null) {
            empty.put(id.name(), id.text());
        } else {
            empty.remove(id.name());
        }
        if (voting.isBegun()) {
            if (first == null) {
                // It waits to hear whom this one began with.
                from.send(word());
            }
            return;
        }
        if (first != null) {
            Collection<RaftEndpoint> all = RaftCodec.readVoters(first.getAsJsonArray());
            if (all.contains(voting.self())) {
                start(null, all);
            } else if (!lost && !candidate) {
                lost = true;
                counters.set("policy.vote_lost", 1);
                LOG.error(
                        "policy: this store of votes is new, and the voters {} had another one of {}: it"
                                + " does not vote until it is taken in anew",
                        first,
                        voting.self().name());
            }
            return;
        }
        alone();
    }

    /** All voters of the file have said that their stores are empty: they begin together. */
    private void alone() {
        if (candidate) {
            return;
        }
        Collection<RaftEndpoint> all = new LinkedHashSet<>();
        for (String voter : new TreeSet<>(config.voters)) {
            String id = voter.equals(voting.self().name()) ? voting.self().text() : empty.get(voter);
            if (id == null) {
                return;
            }
            all.add(VoterId.parse(id));
        }
        if (!lost) {
            start(null, all);
        }
    }

    private void start(RestoredRaftState restored, Collection<RaftEndpoint> first) {
        voting.begin(restored, first);
        group = Canonical.digest(first()).substring(0, 16);
        LOG.info("policy: votes as {}, begun with {}", voting.self(), voting.firstVoters());
        tell();
    }

    /** At the leader: the voter of that name is to begin with its new store; false if it can't be told. */
    boolean invite(String name) {
        Peer peer = fleet.peer(name);
        if (peer == null || !marks.containsKey(name)) {
            return false;
        }
        JsonObject all = new JsonObject();
        all.addProperty("t", "join");
        all.addProperty("id", marks.get(name));
        all.add("first", first());
        return peer.send(all);
    }

    /** True if the store of that name has never voted, as its process has said. */
    boolean isEmpty(String name) {
        return empty.containsKey(name);
    }

    /** True where this process may be taken in as a voter. */
    boolean isCandidate() {
        return candidate && !voting.isBegun();
    }

    /** True where it was a voter, and was taken out. */
    boolean isRemoved() {
        return removed;
    }

    /** True where this process has a store but must not vote with it. */
    boolean isLost() {
        return lost;
    }

    /** The store that a voter of that name has now, as it has said, or null. */
    String mark(String name) {
        return name.equals(voting.self().name()) ? voting.self().text() : marks.get(name);
    }
}
