package laneflow.http;

/**
 * Tracks the earliest time at which discovery may have announced a change that a watch receives, in
 * microseconds of the loop's clock. A watch that is up to date receives changes as they are announced; the
 * first change on a new watch may have been announced at any time since a watch was last up to date.
 */
final class AnnouncementTimes {
    /** Heartbeats come every 2 s: an empty line sooner after the head does not confirm the list as up to date. */
    static final long MIN_HEARTBEAT_INTERVAL_US = 1_000_000;

    /** When a watch was up to date last; 0 where none ever was. */
    private long upToDateAt;

    /** The state of one watch. */
    final class PerWatch {
        private final long before = upToDateAt;
        private long headAt;
        private boolean upToDate;

        void head(long now) {
            headAt = now;
        }

        /** An empty line has come. */
        void emptyLine(long now, boolean isCurrent) {
            if (upToDate || now - headAt >= MIN_HEARTBEAT_INTERVAL_US) {
                listRead(now, isCurrent);
            }
        }

        /**
         * A list has been read.
         *
         * @param isCurrent false for a former or silent watch, still read until its successor takes over: what it
         *     has received does not show what the successor has yet to send
         */
        void listRead(long now, boolean isCurrent) {
            upToDate = true;
            if (isCurrent) {
                upToDateAt = now;
            }
        }

        /** The earliest time at which a change received now may have been announced; called before listRead(). */
        long earliest(long now, boolean isSilent) {
            if (isSilent) {
                return upToDateAt;
            }
            return upToDate ? now : before;
        }
    }
}
