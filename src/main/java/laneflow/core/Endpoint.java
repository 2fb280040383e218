package laneflow.core;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import laneflow.decision.Dispatch.State;

/** A worker, as the endpoint set holds it. */
public final class Endpoint {
    public final String name;
    /** The module's number for it: drawn from its name, and so the same at every scheduler. */
    public final long id;

    public final Connector connector;
    /** Where its connector finds it; the core does not read this. */
    public String dial = "";

    public int zone;
    public int kind;
    public int cell;
    public double weight = 1;
    /** Its last start on the loop's clock; 0: long ago. */
    public long startedAt;
    /** The classes it runs, a bit each. */
    public long classes = -1;
    /** The functions it runs, by number; null: any of its classes. */
    public long[] abilities;

    State state = State.READY;
    /** How many calls in a row have come to no connection. */
    int unreached;
    /** When this scheduler was told that it drains or is gone. */
    long drainToldAt = Long.MAX_VALUE;

    public Endpoint(String name, Connector connector) {
        this.name = name;
        this.connector = connector;
        // Shares of a cold endpoint's budget follow from the number, so all schedulers must agree on it.
        this.id = stableId(name);
    }

    /** A number drawn from a text, the same everywhere: FNV-1a. */
    public static long stableId(String text) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash;
    }

    /** True if an entry says nothing new of it. */
    boolean isAs(EndpointSet.Entry entry) {
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
