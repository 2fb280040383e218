package laneflow.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import laneflow.core.EndpointSet.Entry;
import laneflow.decision.Dispatch.State;

/**
 * Replaces all endpoints of a source by a new list, prepared in steps of one loop turn each, so that the cost
 * of the turn that adopts it depends on the changes to live endpoints and not on the size of the list. Until
 * then no request is affected: new endpoints are added as draining, and changes and removals are only
 * collected. No other update of the same source is allowed between the first step and {@link #adopt}.
 */
public final class StagedUpdate {
    /** Endpoints processed in one step. */
    static final int STEP_SIZE = 64;

    private final Scheduler scheduler;
    private final EndpointSet endpoints;
    private final Connector connector;
    private final List<Entry> entries;
    private final Set<String> named;
    private final List<Entry> changed = new ArrayList<>();
    private final List<Entry> leaving = new ArrayList<>();
    /** Endpoints to remove that get no requests already, so they are removed after the adoption. */
    private final List<Entry> leavingDraining = new ArrayList<>();

    private List<Endpoint> known;
    private int nextEntry;
    private int nextKnown;

    StagedUpdate(
            Scheduler scheduler, EndpointSet endpoints, Connector connector, List<Entry> entries, Set<String> named) {
        this.scheduler = scheduler;
        this.endpoints = endpoints;
        this.connector = connector;
        this.entries = entries;
        this.named = named;
    }

    /** Does one step; returns false once all are done. */
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
            // An endpoint of another source is left as that source lists it.
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
            if (!named.contains(endpoint.name) && endpoint.state != State.GONE) {
                Entry gone = new Entry();
                gone.name = endpoint.name;
                gone.state = State.GONE;
                (endpoint.state == State.READY ? leaving : leavingDraining).add(gone);
            }
        }
    }

    /** Puts the new list into effect, after doing the steps that are left. */
    public void adopt() {
        while (step()) {
            continue;
        }
        changed.addAll(leaving);
        scheduler.list(connector, false, changed);
    }

    /** After the adoption: removes a batch of endpoints that were draining already; false once none is left. */
    public boolean removeDrained() {
        int from = Math.max(0, leavingDraining.size() - STEP_SIZE);
        List<Entry> batch = leavingDraining.subList(from, leavingDraining.size());
        // An endpoint that was listed again in the meantime stays.
        batch.removeIf(gone -> endpoints.get(gone.name) == null || endpoints.get(gone.name).state == State.READY);
        scheduler.list(connector, false, new ArrayList<>(batch));
        batch.clear();
        return !leavingDraining.isEmpty();
    }
}
