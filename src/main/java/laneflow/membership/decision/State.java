package laneflow.membership.decision;

/** State of a member in another member's view. */
public enum State {
    /** It answers probes, or has refuted a suspicion. */
    ALIVE,
    /** It has not answered a probe, and may still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion in time. This instance never comes back. */
    DEAD,
    /** It has announced that it leaves. */
    LEFT;

    /** Whether it counts as a member. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
