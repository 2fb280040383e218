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
    static final int STEP_SIZE = 64;

    private final Scheduler scheduler;
    private final EndpointSet endpoints;
    private final Connector connector;
    private final List<Entry> entries;
    private final Set<String> names;
    private final List<Entry> changed = new ArrayList<>();
    private final List<Entry> leavingReady = new ArrayList<>();
    /** Leave too, but get no request as it is: there is time for them. */
    private final List<Entry> leavingDraining = new ArrayList<>();

    private List<Endpoint> known;
    private int nextEntry;
    private int nextKnown;

    StagedUpdate(
            Scheduler scheduler, EndpointSet endpoints, Connector connector, List<Entry> entries, Set<String> names) {
        this.scheduler = scheduler;
        this.endpoints = endpoints;
        this.connector = connector;
        this.entries = entries;
        this.names = names;
    }

    /** Does a step; false once all are done. */
    public boolean step() {
        if (nextEntry < entries.size()) {
            stageEntries();
        } else {
            collectMissing();
        }
        return nextEntry < entries.size() || known == null || nextKnown < known.size();
    }

    private void stageEntries() {
        List<Entry> staged = new ArrayList<>();
        for (int end = Math.min(entries.size(), nextEntry + STEP_SIZE); nextEntry < end; nextEntry++) {
            Entry entry = entries.get(nextEntry);
            Endpoint existing = endpoints.get(entry.name);
            if (existing == null) {
                staged.add(entry.withState(State.DRAINING));
            }
            // One of another source keeps what that says of it.
            if (existing == null
                    ? entry.state != State.DRAINING
                    : existing.connector == connector && !existing.matches(entry)) {
                changed.add(entry);
            }
        }
        scheduler.list(connector, false, staged);
    }

    private void collectMissing() {
        if (known == null) {
            known = endpoints.ofSource(connector);
        }
        for (int end = Math.min(known.size(), nextKnown + STEP_SIZE); nextKnown < end; nextKnown++) {
            Endpoint endpoint = known.get(nextKnown);
            if (!names.contains(endpoint.name) && endpoint.state != State.GONE) {
                Entry gone = new Entry();
                gone.name = endpoint.name;
                gone.state = State.GONE;
                (endpoint.state == State.READY ? leavingReady : leavingDraining).add(gone);
            }
        }
    }

    /** From here on the set holds; what was not prepared is done now. */
    public void adopt() {
        while (step()) {
            continue;
        }
        changed.addAll(leavingReady);
        scheduler.list(connector, false, changed);
    }

    /** Behind it, in as many calls as it takes: forgets those that drained already; false once all are. */
    public boolean removeDrained() {
        int from = Math.max(0, leavingDraining.size() - STEP_SIZE);
        List<Entry> batch = leavingDraining.subList(from, leavingDraining.size());
        // One that was named anew meanwhile is somebody's again.
        batch.removeIf(gone -> endpoints.get(gone.name) == null || endpoints.get(gone.name).state == State.READY);
        scheduler.list(connector, false, new ArrayList<>(batch));
        batch.clear();
        return !leavingDraining.isEmpty();
    }
}
