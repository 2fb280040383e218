package laneflow.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import laneflow.core.EndpointSet.Entry;
import laneflow.decision.Dispatch.State;

/**
 * A whole set in the place of what a source told before, prepared in steps of a turn each, so that the turn
 * in which it comes to hold costs what has changed of live endpoints and not what the set holds. Until then
 * no request sees any of it: what is new is known as draining, and what changes or leaves is only noted.
 * Between its first step and {@link #adopt} nobody else may speak for the source.
 */
public final class StagedUpdate {
    /** Endpoints looked at in one step. */
    static final int PART = 64;

    private final Scheduler scheduler;
    private final EndpointSet destinations;
    private final Connector connector;
    private final List<Entry> entries;
    private final Set<String> named;
    private final List<Entry> changed = new ArrayList<>();
    private final List<Entry> leaving = new ArrayList<>();
    /** Leave too, but get no request as it is: there is time for them. */
    private final List<Entry> idle = new ArrayList<>();

    private List<Endpoint> known;
    private int looked;
    private int passed;

    StagedUpdate(
            Scheduler scheduler,
            EndpointSet destinations,
            Connector connector,
            List<Entry> entries,
            Set<String> named) {
        this.scheduler = scheduler;
        this.destinations = destinations;
        this.connector = connector;
        this.entries = entries;
        this.named = named;
    }

    /** Does a step; false once all are done. */
    public boolean step() {
        if (looked < entries.size()) {
            look();
        } else {
            pass();
        }
        return looked < entries.size() || known == null || passed < known.size();
    }

    private void look() {
        List<Entry> staged = new ArrayList<>();
        for (int end = Math.min(entries.size(), looked + PART); looked < end; looked++) {
            Entry entry = entries.get(looked);
            Endpoint there = destinations.get(entry.name);
            if (there == null) {
                staged.add(entry.in(State.DRAINING));
            }
            // One of another source keeps what that says of it.
            if (there == null ? entry.state != State.DRAINING : there.connector == connector && !there.isAs(entry)) {
                changed.add(entry);
            }
        }
        scheduler.list(connector, false, staged);
    }

    private void pass() {
        if (known == null) {
            known = destinations.of(connector);
        }
        for (int end = Math.min(known.size(), passed + PART); passed < end; passed++) {
            Endpoint endpoint = known.get(passed);
            if (!named.contains(endpoint.name) && endpoint.state != State.GONE) {
                Entry gone = new Entry();
                gone.name = endpoint.name;
                gone.state = State.GONE;
                (endpoint.state == State.READY ? leaving : idle).add(gone);
            }
        }
    }

    /** From here on the set holds; what was not prepared is done now. */
    public void adopt() {
        while (step()) {
            continue;
        }
        changed.addAll(leaving);
        scheduler.list(connector, false, changed);
    }

    /** Behind it, in as many calls as it takes: forgets those that drained already; false once all are. */
    public boolean removeDrained() {
        int from = Math.max(0, idle.size() - PART);
        List<Entry> part = idle.subList(from, idle.size());
        // One that was named anew meanwhile is somebody's again.
        part.removeIf(gone -> destinations.get(gone.name) == null || destinations.get(gone.name).state == State.READY);
        scheduler.list(connector, false, new ArrayList<>(part));
        part.clear();
        return !idle.isEmpty();
    }
}
