package laneflow.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Dispatch.Worker;
import org.agrona.collections.LongHashSet;

/**
 * The endpoints that may be called, by name, as their sources (discovery, connected workers, a file) tell of
 * them. A whole list speaks for its own source only, so the module is told of changes.
 */
public final class EndpointSet {
    private final Map<String, Endpoint> byName = new HashMap<>();
    private final Map<Long, Endpoint> byId = new HashMap<>();
    /** The numbers of all that were ever listed: operators may speak of those that are gone. */
    private final LongHashSet everListed = new LongHashSet();
    /** The names of those that operators have set down, listed now or not. */
    private final TreeSet<String> down = new TreeSet<>();

    /** One line of a list. */
    public static final class Entry {
        public String name;
        public String dial = "";
        public int zone;
        public int kind;
        public int cell;
        public State state = State.READY;
        public double weight = 1;
        public long startedAt;
        public long classes = -1;
        /** What it can do at once, and the rack it stands in, empty: one of its own; for planning only. */
        public double slots = 1;

        public String rack = "";
        /** Numbers of functions by {@link Endpoint#stableId}, in ascending order; null: any function. */
        public long[] abilities;

        /** The same in another state. */
        Entry in(State other) {
            Entry copy = new Entry();
            copy.name = name;
            copy.dial = dial;
            copy.zone = zone;
            copy.kind = kind;
            copy.cell = cell;
            copy.state = other;
            copy.weight = weight;
            copy.startedAt = startedAt;
            copy.classes = classes;
            copy.slots = slots;
            copy.rack = rack;
            copy.abilities = abilities;
            return copy;
        }
    }

    /** Takes a list in, told at that instant, and returns what has changed, as the module reads it. */
    List<Worker> apply(Connector connector, boolean whole, List<Entry> entries, long toldAt) {
        List<Worker> changes = new ArrayList<>();
        Map<String, Entry> listed = new HashMap<>();
        for (Entry entry : entries) {
            listed.put(entry.name, entry);
            Endpoint endpoint = byName.get(entry.name);
            if (endpoint == null) {
                if (entry.state == State.GONE) {
                    continue;
                }
                endpoint = new Endpoint(entry.name, connector);
                everListed.add(endpoint.id);
                byName.put(entry.name, endpoint);
                byId.put(endpoint.id, endpoint);
            }
            if (endpoint.connector != connector) {
                continue;
            }
            if (entry.state == State.GONE) {
                changes.add(state(endpoint, State.GONE, toldAt));
                continue;
            }
            endpoint.dial = entry.dial.isEmpty() ? endpoint.dial : entry.dial;
            endpoint.zone = entry.zone;
            endpoint.kind = entry.kind;
            endpoint.cell = entry.cell;
            endpoint.weight = entry.weight;
            endpoint.startedAt = entry.startedAt;
            endpoint.classes = entry.classes;
            endpoint.abilities = entry.abilities;
            changes.add(state(endpoint, entry.state, toldAt));
        }
        if (whole) {
            for (Endpoint endpoint : byName.values()) {
                if (endpoint.connector == connector
                        && !listed.containsKey(endpoint.name)
                        && endpoint.state != State.GONE) {
                    changes.add(state(endpoint, State.GONE, toldAt));
                }
            }
        }
        return changes;
    }

    /** The endpoints of one source. */
    List<Endpoint> of(Connector connector) {
        List<Endpoint> all = new ArrayList<>();
        for (Endpoint endpoint : byName.values()) {
            if (endpoint.connector == connector) {
                all.add(endpoint);
            }
        }
        return all;
    }

    private Worker state(Endpoint endpoint, State state, long toldAt) {
        if (state == State.READY) {
            endpoint.drainToldAt = Long.MAX_VALUE;
        } else if (endpoint.state == State.READY) {
            endpoint.drainToldAt = toldAt;
        }
        endpoint.state = state;
        Worker worker = new Worker();
        worker.id = endpoint.id;
        worker.zone = endpoint.zone;
        worker.kind = endpoint.kind;
        worker.cell = endpoint.cell;
        worker.weight = endpoint.weight;
        worker.startedAt = Clock.seconds(endpoint.startedAt);
        worker.state = state;
        worker.classes = endpoint.classes;
        worker.abilities = endpoint.abilities;
        return worker;
    }

    /** True if an endpoint of that name was ever listed, or is set down. */
    public boolean isKnown(String name) {
        return everListed.contains(Endpoint.stableId(name)) || down.contains(name);
    }

    /** The names of the endpoints that are set down, in order. */
    public Set<String> downNames() {
        return Collections.unmodifiableSet(down);
    }

    void down(String name, boolean is) {
        if (is) {
            down.add(name);
        } else {
            down.remove(name);
        }
    }

    /** By name: a call may hold on to an endpoint that has left the set, and been listed anew, meanwhile. */
    boolean isDown(Endpoint endpoint) {
        return down.contains(endpoint.name);
    }

    Endpoint get(long id) {
        return byId.get(id);
    }

    /** Drops those of them that are gone; calls still out hold on to theirs. */
    void forgetGone(List<Worker> changes) {
        for (Worker change : changes) {
            Endpoint endpoint = change.state == State.GONE ? byId.get(change.id) : null;
            if (endpoint != null && endpoint.state == State.GONE) {
                byId.remove(endpoint.id);
                byName.remove(endpoint.name);
            }
        }
    }

    /** The endpoint of that name, or null. */
    public Endpoint get(String name) {
        return byName.get(name);
    }

    /** All that are held, whatever their state. */
    public void forEach(Consumer<Endpoint> what) {
        byName.values().forEach(what);
    }

    public int size() {
        return byName.size();
    }
}
