package laneflow.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import laneflow.decision.Dispatch.EarlierRun;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;

/** The state of one request, from its arrival until no attempt is outstanding. {@link Logic} decides on it. */
final class Job {
    long id;
    JobClass type;
    /** Its class as a bit of {@link Dispatch.Worker#classes}. */
    long classBit;
    /** The ability that a worker must have, or 0. */
    long ability;

    double arrivedAt;
    /** When the final answer is given at the latest: shortly before the client gives up. */
    double answerDeadline;
    /** Seconds from its arrival within which an answer earns its full worth; at most as long as its client waits. */
    double aim;
    /** The worth of its class, or less if its tenant exceeds its share. */
    double worth;

    double hint;
    double slots;
    double memory;
    /** Nobody waits for its answer. */
    boolean background;
    /** Attempts that may have run before the request arrived. */
    List<EarlierRun> earlierRuns = List.of();
    /** The limits in force when it arrived; later requests may have others. */
    int maxAttempts;

    boolean sendRetryAfter;
    double maxRetryAfter;
    double crossEachWay;
    double retryFree;
    double retryShare;
    double retryWindow;
    /** Number of load reports it still waits for. */
    int pendingReports;
    /** When it began to wait for reports. */
    double heldAt;
    /** It was about to be refused and was held once for fresh reports. */
    boolean probedBeforeRefusal;

    boolean live;
    /** It is being placed where it ends after its aim. */
    boolean acceptLate;

    boolean streaming;
    boolean released;
    boolean inDeadlineHeap;
    boolean isFree;
    Job nextFree;
    Attempt[] attempt = new Attempt[2];
    int attempts;
    int outstanding;

    Job open(Request request, Settings settings, TenantShares shares, double now, double deadline, double work) {
        id = request.id;
        type = settings.classes[request.jobClass];
        classBit = 1L << request.jobClass;
        aim = Math.min(type.aim + type.stretch * work, deadline - now);
        worth = type.worth * shares.worth(request.tenant, now);
        maxAttempts = settings.maxAttempts;
        sendRetryAfter = settings.retryAfter;
        maxRetryAfter = settings.maxRetryAfter;
        crossEachWay = settings.crossEachWay;
        retryFree = settings.retryFree;
        retryShare = settings.retryShare;
        retryWindow = settings.retryWindow;
        arrivedAt = now;
        answerDeadline = deadline;
        hint = work;
        slots = request.slots;
        memory = request.memory;
        ability = request.ability;
        background = request.background;
        earlierRuns = request.earlierRuns;
        pendingReports = 0;
        probedBeforeRefusal = false;
        live = true;
        streaming = false;
        released = false;
        isFree = false;
        nextFree = null;
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

    /** The attempt with that number if it is still outstanding, or null. */
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
        if (!earlierRuns.isEmpty()) {
            return true;
        }
        for (int i = 0; i < attempts; i++) {
            if (attempt[i].mayHaveRun) {
                return true;
            }
        }
        return false;
    }

    /** All attempts that may have run, those of before its arrival included. */
    List<EarlierRun> possibleRuns() {
        List<EarlierRun> runs = new ArrayList<>(earlierRuns);
        for (int i = 0; i < attempts; i++) {
            if (attempt[i].mayHaveRun) {
                runs.add(new EarlierRun(attempt[i].sentAt, attempt[i].view.zone, attempt[i].view.cell));
            }
        }
        return runs;
    }

    /** When the earliest attempt that may have run was sent, or infinity. */
    double firstMayHaveRun() {
        if (!earlierRuns.isEmpty()) {
            return earlierRuns.get(0).at();
        }
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
        /** When its answer began to arrive, if the rest arrived later; infinite otherwise. */
        double answeredAt;
        /** Fraction done at the last progress note; 0 before the first. */
        double progress;
        /** The wait expected when it was sent, in seconds. */
        double expectedWait;
        /** The share of the expected wait due to known work ahead, before any correction. */
        double queueWait;
        /** When its start or end is expected at the latest. */
        double dueAt;

        boolean outstanding;
        boolean mayHaveRun;
        /** Still outstanding, but no longer assumed to be running. */
        boolean lost;
        /** Its index among its worker's outstanding attempts. */
        int index;

        Attempt(Job job) {
            this.job = job;
        }
    }
}
