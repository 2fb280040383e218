package laneflow.decision;

import org.agrona.collections.Long2ObjectHashMap;

/** The jobs of which anything is still out, by request; ended ones are used again. */
final class Jobs {
    private final Long2ObjectHashMap<Job> jobs = new Long2ObjectHashMap<>();
    private Job spare;

    Job get(long id) {
        return jobs.get(id);
    }

    /** A job, to be opened, under this id. */
    Job open(long id) {
        Job job = spare != null ? spare : new Job();
        spare = job.nextSpare;
        jobs.put(id, job);
        return job;
    }

    /** An ended job is kept until its last attempt is settled and its last call is off the heap. */
    void release(Job job) {
        if (!job.live && job.outstanding == 0 && !job.released) {
            jobs.remove(job.id);
            job.released = true;
        }
        if (job.released && !job.onCalls && !job.isSpare) {
            job.isSpare = true;
            job.nextSpare = spare;
            spare = job;
        }
    }

    int size() {
        return jobs.size();
    }
}
