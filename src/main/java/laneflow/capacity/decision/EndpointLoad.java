package laneflow.capacity.decision;

/** One endpoint that is listed here: what was heard of it last, and the own calls there of late. */
final class EndpointLoad {
    /** Own calls remembered, those that have ended included: as many as news may be older than. */
    private static final int CALLS = 16;

    final long id;
    final int zone;
    final String block;
    final Size size;
    final long bornMs;
    final int key;
    /** The newest that anybody has told, or own; null: nothing yet. */
    CapacityReport news;
    /** How often the news was told on. */
    int told;
    /** Steps by which it differs from what was told before. */
    int changed;
    /** Its place among those to be told on, or -1. */
    int place = -1;

    int out;
    /** Siblings' slots by the last own report, and when that came. */
    double ownOthers;

    long ownAt = Long.MIN_VALUE / 2;
    /** When it was last said to have room here, by news of others. */
    long roomToldAt = Long.MIN_VALUE / 2;

    boolean mine;
    long sharedAt = Long.MIN_VALUE / 2;
    private final long[] sentAt = new long[CALLS];
    private final long[] endedAt = new long[CALLS];
    private int calls;

    EndpointLoad(long id, int zone, String block, Size size, long bornMs) {
        this.id = id;
        this.zone = zone;
        this.block = block;
        this.size = size;
        this.bornMs = bornMs;
        key = CapacityMessage.key(id, bornMs);
    }

    void sent(long now) {
        out++;
        sentAt[calls % CALLS] = now;
        endedAt[calls++ % CALLS] = Long.MAX_VALUE;
    }

    /** One of the calls has ended; the oldest one, where nobody says which. */
    void ended(long now) {
        out = Math.max(0, out - 1);
        for (int i = Math.max(0, calls - CALLS); i < calls; i++) {
            if (endedAt[i % CALLS] == Long.MAX_VALUE) {
                endedAt[i % CALLS] = now;
                return;
            }
        }
    }

    /** Own calls that were out at that instant. */
    int outAt(long instant) {
        int count = 0;
        for (int i = Math.max(0, calls - CALLS); i < calls; i++) {
            if (sentAt[i % CALLS] <= instant && endedAt[i % CALLS] > instant) {
                count++;
            }
        }
        return count;
    }

    /** Own calls that are out and were sent before that instant. */
    int outSince(long instant) {
        int count = 0;
        for (int i = Math.max(0, calls - CALLS); i < calls; i++) {
            if (sentAt[i % CALLS] <= instant && endedAt[i % CALLS] == Long.MAX_VALUE) {
                count++;
            }
        }
        return count;
    }
}
