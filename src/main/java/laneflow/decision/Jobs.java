package laneflow.decision;

import org.agrona.collections.Long2ObjectHashMap;

/** Jobs by request id, kept while an attempt is outstanding; released jobs are reused. */
final class Jobs {
    private final Long2ObjectHashMap<Job> jobs = new Long2ObjectHashMap<>();
    private Job freeList;

    Job get(long id) {
        return jobs.get(id);
    }

    /** A new or reused job registered under this id; the caller fills it in. */
    Job open(long id) {
        Job job = freeList != null ? freeList : new Job();
        freeList = job.nextFree;
        jobs.put(id, job);
        return job;
    }

    /** Keeps an ended job until its last attempt is settled, and off the free list until off the deadline heap. */
    void release(Job job) {
        if (!job.live && job.outstanding == 0 && !job.released) {
            jobs.remove(job.id);
            job.released = true;
        }
        if (job.released && !job.inDeadlineHeap && !job.isFree) {
            job.isFree = true;
            job.nextFree = freeList;
            freeList = job;
        }
    }

    int size() {
        return jobs.size();
    }
}
