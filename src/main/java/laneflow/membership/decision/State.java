package laneflow.membership.decision;

/** Where a member stands in somebody's view. */
public enum State {
    /** It answers, or has said so. */
    ALIVE,
    /** Somebody has not been answered by it; it may still say that it lives. */
    SUSPECT,
    /** It did not say so in time. This life is over for good. */
    DEAD,
    /** It has said that it goes. */
    LEFT;

    /** True where it counts as a member. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
