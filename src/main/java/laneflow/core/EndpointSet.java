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
 * The known endpoints by name, as listed by their sources (discovery, connected workers, a file). A full list
 * replaces the endpoints of its own source only, so the decision module is given changes.
 */
public final class EndpointSet {
    private final Map<String, Endpoint> byName = new HashMap<>();
    private final Map<Long, Endpoint> byId = new HashMap<>();
    /** The ids of all endpoints ever listed: operators may name one that is gone. */
    private final LongHashSet everListed = new LongHashSet();
    /** The names of the endpoints that operators have set down, whether listed now or not. */
    private final TreeSet<String> downNames = new TreeSet<>();

    /** An endpoint as listed by its source. */
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
        /** How many slots it runs at once; used for planning maintenance only. */
        public double slots = 1;

        /** The rack it stands in, empty for a rack of its own; used for planning maintenance only. */
        public String rack = "";
        /** Ids of its functions by {@link Endpoint#stableId}, in ascending order; null for any function. */
        public long[] abilities;

        /** A copy in another state. */
        Entry withState(State newState) {
            Entry copy = new Entry();
            copy.name = name;
            copy.dial = dial;
            copy.zone = zone;
            copy.kind = kind;
            copy.cell = cell;
            copy.state = newState;
            copy.weight = weight;
            copy.startedAt = startedAt;
            copy.classes = classes;
            copy.slots = slots;
            copy.rack = rack;
            copy.abilities = abilities;
            return copy;
        }
    }

    /** Applies a list that was received at the given instant and returns the changes for the decision module. */
    List<Worker> apply(Connector connector, boolean fullList, List<Entry> entries, long notifiedAt) {
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
                changes.add(changeState(endpoint, State.GONE, notifiedAt));
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
            changes.add(changeState(endpoint, entry.state, notifiedAt));
        }
        if (fullList) {
            for (Endpoint endpoint : byName.values()) {
                if (endpoint.connector == connector
                        && !listed.containsKey(endpoint.name)
                        && endpoint.state != State.GONE) {
                    changes.add(changeState(endpoint, State.GONE, notifiedAt));
                }
            }
        }
        return changes;
    }

    /** The endpoints of one source, in any state. */
    List<Endpoint> ofSource(Connector connector) {
        List<Endpoint> all = new ArrayList<>();
        for (Endpoint endpoint : byName.values()) {
            if (endpoint.connector == connector) {
                all.add(endpoint);
            }
        }
        return all;
    }

    private Worker changeState(Endpoint endpoint, State state, long notifiedAt) {
        if (state == State.READY) {
            endpoint.drainNotifiedAt = Long.MAX_VALUE;
        } else if (endpoint.state == State.READY) {
            endpoint.drainNotifiedAt = notifiedAt;
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

    /** True if an endpoint of that name was ever listed or is set down. */
    public boolean isKnown(String name) {
        return everListed.contains(Endpoint.stableId(name)) || downNames.contains(name);
    }

    /** The names of the endpoints that are set down, sorted. */
    public Set<String> downNames() {
        return Collections.unmodifiableSet(downNames);
    }

    void setDown(String name, boolean isDown) {
        if (isDown) {
            downNames.add(name);
        } else {
            downNames.remove(name);
        }
    }

    /** Looks up by name: an attempt may hold an object that was removed and listed anew in the meantime. */
    boolean isDown(Endpoint endpoint) {
        return downNames.contains(endpoint.name);
    }

    Endpoint get(long id) {
        return byId.get(id);
    }

    /** Removes the changed endpoints that are gone; open attempts keep their reference. */
    void removeGone(List<Worker> changes) {
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

    /** Runs the action on every endpoint, whatever its state. */
    public void forEach(Consumer<Endpoint> action) {
        byName.values().forEach(action);
    }

    public int size() {
        return byName.size();
    }
}
