package laneflow.core;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import laneflow.decision.Dispatch.State;

/** A worker as held in the {@link EndpointSet}. */
public final class Endpoint {
    public final String name;
    /** Its id in the decision module, derived from the name and so the same at every scheduler. */
    public final long id;

    public final Connector connector;
    /** The address for its connector; the core does not read it. */
    public String dial = "";

    public int zone;
    public int kind;
    public int cell;
    public double weight = 1;
    /** Its last start on the loop's clock; 0 if long ago. */
    public long startedAt;
    /** The classes it runs, one bit each. */
    public long classes = -1;
    /** The ids of the functions it runs; null for any function of its classes. */
    public long[] abilities;

    State state = State.READY;
    /** Consecutive attempts that could not connect. */
    int connectFailures;
    /** When this scheduler learned that it drains or is gone. */
    long drainNotifiedAt = Long.MAX_VALUE;

    public Endpoint(String name, Connector connector) {
        this.name = name;
        this.connector = connector;
        // The schedulers' shares of a cold endpoint's budget are derived from the id, so all must agree on it.
        this.id = stableId(name);
    }

    /** Hashes a text to an id that is the same in every process (64-bit FNV-1a). */
    public static long stableId(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash;
    }

    /** True if the entry changes nothing about this endpoint. */
    boolean matches(EndpointSet.Entry entry) {
        return state == entry.state
                && dial.equals(entry.dial)
                && zone == entry.zone
                && kind == entry.kind
                && cell == entry.cell
                && weight == entry.weight
                && startedAt == entry.startedAt
                && classes == entry.classes
                && Arrays.equals(abilities, entry.abilities);
    }

    public State state() {
        return state;
    }

    @Override
    public String toString() {
        return name;
    }
}
