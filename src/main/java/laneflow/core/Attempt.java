package laneflow.core;

import laneflow.decision.Dispatch.EarlierRun;

/** One attempt of a request at one endpoint. */
public final class Attempt {
    public final Request request;
    public final Endpoint endpoint;
    final int number;
    /** When it was handed to its endpoint's connector, where it may wait; microseconds of the clock. */
    public final long handedOverAt;
    /** The latest instant at which its connector was allowed to send it; until then that of {@link #handedOverAt}. */
    long sentAt;
    /** Where its endpoint was when it was handed over. */
    private final int zone;

    private final int cell;
    long handle;
    /** The number of its lease, from 1; 0 if it has none. */
    public int lease;
    /** The connector's own state for this attempt. */
    public Object attachment;

    Attempt(Request request, Endpoint endpoint, int number, long handedOverAt) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.handedOverAt = handedOverAt;
        sentAt = handedOverAt;
        zone = endpoint.zone;
        cell = endpoint.cell;
    }

    /** The run that it may have been. */
    EarlierRun run() {
        return new EarlierRun(Clock.seconds(sentAt), zone, cell);
    }
}
