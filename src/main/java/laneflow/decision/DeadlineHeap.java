package laneflow.decision;

import java.util.Arrays;

/** A binary heap of requests ordered by answer deadline. Ended requests stay until they reach the top. */
final class DeadlineHeap {
    private Job[] heap = new Job[64];
    private int count;

    Job first() {
        return count == 0 ? null : heap[0];
    }

    void push(Job job) {
        if (count == heap.length) {
            heap = Arrays.copyOf(heap, count * 2);
        }
        job.inDeadlineHeap = true;
        int i = count++;
        while (i > 0 && heap[(i - 1) / 2].answerDeadline > job.answerDeadline) {
            heap[i] = heap[(i - 1) / 2];
            i = (i - 1) / 2;
        }
        heap[i] = job;
    }

    Job pop() {
        Job top = heap[0];
        Job last = heap[--count];
        heap[count] = null;
        int i = 0;
        for (int child = 1; child < count; child = 2 * i + 1) {
            if (child + 1 < count && heap[child + 1].answerDeadline < heap[child].answerDeadline) {
                child++;
            }
            if (heap[child].answerDeadline >= last.answerDeadline) {
                break;
            }
            heap[i] = heap[child];
            i = child;
        }
        if (count > 0) {
            heap[i] = last;
        }
        top.inDeadlineHeap = false;
        return top;
    }
}
