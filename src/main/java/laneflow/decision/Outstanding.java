package laneflow.decision;

import java.util.Arrays;
import laneflow.decision.Job.Attempt;

/** This dispatcher's outstanding attempts at one worker, with the sums of their slots and memory. */
class Outstanding {
    Attempt[] own = new Attempt[4];
    int ownCount;
    double ownSlots;
    double ownMemory;

    void add(Attempt attempt) {
        if (ownCount == own.length) {
            own = Arrays.copyOf(own, ownCount * 2);
        }
        attempt.index = ownCount;
        own[ownCount++] = attempt;
        ownSlots += attempt.job.slots;
        ownMemory += attempt.job.memory;
    }

    /** Keeps the attempt outstanding but removes it from the sums. */
    void markLost(Attempt attempt) {
        attempt.lost = true;
        ownSlots -= attempt.job.slots;
        ownMemory -= attempt.job.memory;
    }

    void remove(Attempt attempt) {
        if (!attempt.lost) {
            markLost(attempt);
        }
        Attempt last = own[--ownCount];
        own[ownCount] = null;
        if (last != attempt) {
            own[attempt.index] = last;
            last.index = attempt.index;
        }
        if (ownCount == 0) {
            ownSlots = 0;
            ownMemory = 0;
        }
    }
}
