package laneflow.capacity.decision;

/** State of one listed endpoint: its newest report and the recent own attempts there. */
final class EndpointLoad {
    /** Number of recent own attempts, ended ones included, that can be matched against a report's time. */
    private static final int MAX_ATTEMPTS = 16;

    final long id;
    final int zone;
    final String block;
    final SlotCount slotCount;
    final long bornMs;
    final int key;
    /** Newest own or peer report; null: none yet. */
    CapacityReport latest;
    /** How often the report was passed on. */
    int timesSent;
    /** Sum of the steps by which the report has changed since it was last sent. */
    int changedSteps;
    /** Index in the table's pending list, or -1. */
    int pendingIndex = -1;

    int outstanding;
    /** Slots taken by other schedulers' requests in the last own report. */
    double peerSlots;

    long ownReportAt = Long.MIN_VALUE / 2;
    /** When a peer report last led to free slots being delivered to the decision module. */
    long roomReportedAt = Long.MIN_VALUE / 2;

    boolean preferred;
    long preferredSetAt = Long.MIN_VALUE / 2;
    private final long[] sentAt = new long[MAX_ATTEMPTS];
    private final long[] endedAt = new long[MAX_ATTEMPTS];
    private int attempts;

    EndpointLoad(long id, int zone, String block, SlotCount slotCount, long bornMs) {
        this.id = id;
        this.zone = zone;
        this.block = block;
        this.slotCount = slotCount;
        this.bornMs = bornMs;
        key = CapacityMessage.key(id, bornMs);
    }

    void sent(long now) {
        outstanding++;
        sentAt[attempts % MAX_ATTEMPTS] = now;
        endedAt[attempts++ % MAX_ATTEMPTS] = Long.MAX_VALUE;
    }

    /** Marks one attempt as ended: the oldest, since the caller does not say which. */
    void ended(long now) {
        outstanding = Math.max(0, outstanding - 1);
        for (int i = Math.max(0, attempts - MAX_ATTEMPTS); i < attempts; i++) {
            if (endedAt[i % MAX_ATTEMPTS] == Long.MAX_VALUE) {
                endedAt[i % MAX_ATTEMPTS] = now;
                return;
            }
        }
    }

    /** Returns the own attempts that were outstanding at that time. */
    int outstandingAt(long instant) {
        int count = 0;
        for (int i = Math.max(0, attempts - MAX_ATTEMPTS); i < attempts; i++) {
            if (sentAt[i % MAX_ATTEMPTS] <= instant && endedAt[i % MAX_ATTEMPTS] > instant) {
                count++;
            }
        }
        return count;
    }

    /** Returns the own attempts that are still outstanding and were sent no later than that time. */
    int outstandingSentBefore(long instant) {
        int count = 0;
        for (int i = Math.max(0, attempts - MAX_ATTEMPTS); i < attempts; i++) {
            if (sentAt[i % MAX_ATTEMPTS] <= instant && endedAt[i % MAX_ATTEMPTS] == Long.MAX_VALUE) {
                count++;
            }
        }
        return count;
    }
}
