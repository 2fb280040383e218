package laneflow.decision;

import java.util.Arrays;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;

/** A request's record, from its arrival until nothing of it is out: facts, on which {@link Logic} decides. */
final class Job {
    long id;
    JobClass type;
    /** Its class as a bit of {@link Dispatch.Worker#classes}. */
    long classBit;
    /** What a worker must be able to do, or 0. */
    long ability;

    double arrivedAt;
    double lastCall;
    /** Seconds from its arrival within which it earns its full worth: no longer than its client waits. */
    double aim;
    /** Its class's, or less where its tenant asks for more than its share. */
    double worth;

    double hint;
    double slots;
    double memory;
    /** The limits under which it came: others may hold for those that come later. */
    int mostAttempts;

    boolean toldWhen;
    double longestRetryAfter;
    double crossEachWay;
    double retryFree;
    double retryShare;
    double retryWindow;
    /** Reports it still waits for. */
    int awaited;
    /** When it began to wait for them. */
    double heldAt;
    /** It would have been turned away, and has been held once for reports that may say otherwise. */
    boolean lastLook;

    boolean live;
    /** Being placed where it ends after its aim. */
    boolean late;

    boolean streaming;
    boolean released;
    boolean onCalls;
    boolean isSpare;
    Job nextSpare;
    Attempt[] attempt = new Attempt[2];
    int attempts;
    int outstanding;

    Job open(Request request, Settings settings, Shares shares, double now, double call, double work) {
        id = request.id;
        type = settings.classes[request.jobClass];
        classBit = 1L << request.jobClass;
        aim = Math.min(type.aim + type.stretch * work, call - now);
        worth = type.worth * shares.worth(request.tenant, now);
        mostAttempts = settings.maxAttempts;
        toldWhen = settings.retryAfter;
        longestRetryAfter = settings.maxRetryAfter;
        crossEachWay = settings.crossEachWay;
        retryFree = settings.retryFree;
        retryShare = settings.retryShare;
        retryWindow = settings.retryWindow;
        arrivedAt = now;
        lastCall = call;
        hint = work;
        slots = request.slots;
        memory = request.memory;
        ability = request.ability;
        awaited = 0;
        lastLook = false;
        live = true;
        streaming = false;
        released = false;
        isSpare = false;
        nextSpare = null;
        attempts = 0;
        outstanding = 0;
        return this;
    }

    /** Slots times the cost hint. */
    double work() {
        return slots * hint;
    }

    Attempt nextAttempt() {
        if (attempts == attempt.length) {
            attempt = Arrays.copyOf(attempt, attempts * 2);
        }
        if (attempt[attempts] == null) {
            attempt[attempts] = new Attempt(this);
        }
        attempt[attempts].number = attempts;
        return attempt[attempts++];
    }

    /** The attempt of that number if it is still out, or null. */
    Attempt outstanding(int number) {
        return number >= 0 && number < attempts && attempt[number].outstanding ? attempt[number] : null;
    }

    boolean tried(WorkerView view) {
        for (int i = 0; i < attempts; i++) {
            if (attempt[i].view == view) {
                return true;
            }
        }
        return false;
    }

    boolean mayHaveRun() {
        for (int i = 0; i < attempts; i++) {
            if (attempt[i].mayHaveRun) {
                return true;
            }
        }
        return false;
    }

    /** When the earliest attempt was sent that may have run. */
    double firstMayHaveRun() {
        for (int i = 0; i < attempts; i++) {
            if (attempt[i].mayHaveRun) {
                return attempt[i].sentAt;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** One send of a job. */
    static final class Attempt {
        final Job job;
        int number;
        WorkerView view;
        double sentAt;
        double startedAt;
        double heardAt;
        /** When its answer began to come, where the rest came later; infinite otherwise. */
        double answeredAt;
        /** Part done at the last word, where it told. */
        double share;
        /** The wait foreseen when it was sent, seconds. */
        double wait;
        /** The part of it that known work ahead made up, before any correction. */
        double queueWait;
        /** When it is to be heard of at the latest if all goes as foreseen. */
        double dueAt;

        boolean outstanding;
        boolean mayHaveRun;
        /** Still out, but held to be at work no more. */
        boolean lost;
        /** Its place among its worker's outstanding attempts. */
        int index;

        Attempt(Job job) {
            this.job = job;
        }
    }
}
