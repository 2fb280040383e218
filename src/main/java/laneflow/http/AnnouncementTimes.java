package laneflow.http;

/**
 * Since when what a watch tells may have been told, in microseconds of the loop's clock. News on a watch that
 * is up to date is told as it comes; what a watch tells first may have been told ever since the last one was.
 */
final class AnnouncementTimes {
    /** An empty line comes every 2 s: one that comes sooner behind the head tells nothing of the list. */
    static final long MIN_HEARTBEAT_INTERVAL_US = 1_000_000;

    /** When a watch was up to date last; 0 where none ever was. */
    private long upToDateAt;

    /** The part of one watch. */
    final class PerWatch {
        private final long upToDateBefore = upToDateAt;
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
         * @param isCurrent false for a watch that is only listened to until the next one speaks: how far that
         *     one has come says nothing of what the next one still owes
         */
        void listRead(long now, boolean isCurrent) {
            upToDate = true;
            if (isCurrent) {
                upToDateAt = now;
            }
        }

        /** Since when what it tells now may have been told; for a list, to be asked before it is taken in. */
        long earliest(long now, boolean isSilent) {
            if (isSilent) {
                return upToDateAt;
            }
            return upToDate ? now : upToDateBefore;
        }
    }
}
