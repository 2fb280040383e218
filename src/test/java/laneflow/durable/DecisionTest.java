package laneflow.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laneflow.decision.Dispatch.Effect;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import laneflow.durable.decision.ConcurrencyLimiter;
import laneflow.durable.decision.Settlement;
import laneflow.durable.decision.Settlement.Kind;
import laneflow.durable.decision.Settlement.Verdict;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the decisions on durable jobs, by examples and with random records. */
class DecisionTest {
    private static final long WINDOW = 10_000;

    private static List<AttemptRecord> attempts(long leasedMs, Known... known) {
        List<AttemptRecord> attempts = new ArrayList<>();
        for (Known outcome : known) {
            attempts.add(new AttemptRecord(attempts.size() + 1, "e", leasedMs, leasedMs + 500, outcome));
        }
        return attempts;
    }

    private static Verdict decide(Effect effect, long nowMs, List<AttemptRecord> attempts) {
        return Settlement.decide(effect, attempts, WINDOW, nowMs, 1000, 5);
    }

    @Test
    void attemptsThatNeverRanAreRequeuedForEveryEffect() {
        for (Effect effect : Effect.values()) {
            assertEquals(Kind.REQUEUE, decide(effect, 1000, List.of()).kind());
            // Also when the clock was set back, and without a limit on such attempts.
            Known[] neverRan = new Known[9];
            java.util.Arrays.fill(neverRan, Known.NEVER_RAN);
            assertEquals(
                    Kind.REQUEUE, decide(effect, 0, attempts(1000, neverRan)).kind());
        }
    }

    @Test
    void unsafeJobThatMayHaveRunIsNeverRequeued() {
        assertEquals(
                Kind.UNKNOWN,
                decide(Effect.UNSAFE, 1000, attempts(1000, Known.MAY_HAVE_RUN)).kind());
        assertEquals(
                Kind.UNKNOWN,
                decide(Effect.UNSAFE, 1000, attempts(1000, Known.OUT)).kind());
        assertEquals(
                Kind.FAILED,
                decide(Effect.UNSAFE, 1000, attempts(1000, Known.SAID_FAILED)).kind());
        assertEquals(
                Kind.UNKNOWN,
                decide(Effect.UNSAFE, 1000, attempts(1000, Known.MAY_HAVE_RUN, Known.SAID_FAILED))
                        .kind());
    }

    @Test
    void keyedJobIsRequeuedOnlyWithinTheWindowOfItsEarliestAttempt() {
        List<AttemptRecord> attempts = attempts(1000, Known.NEVER_RAN, Known.MAY_HAVE_RUN);
        attempts.add(new AttemptRecord(3, "e", 9000, 9500, Known.MAY_HAVE_RUN));
        Verdict verdict = decide(Effect.KEYED, 10_999, attempts);
        assertEquals(Kind.REQUEUE, verdict.kind());
        assertEquals(11_000, verdict.untilMs());
        assertEquals(Kind.UNKNOWN, decide(Effect.KEYED, 11_000, attempts).kind());
        // With the clock behind the latest record, the attempt's age is unknown.
        assertEquals(Kind.UNKNOWN, decide(Effect.KEYED, 999, attempts).kind());
        assertEquals(
                Kind.UNKNOWN,
                Settlement.decide(Effect.KEYED, attempts, WINDOW, 10_000, 10_001, 5)
                        .kind());
    }

    @Test
    void attemptsAreLimitedOverTheJobsLifetime() {
        Known[] outcomes = {Known.MAY_HAVE_RUN, Known.MAY_HAVE_RUN, Known.OUT, Known.SAID_FAILED, Known.MAY_HAVE_RUN};
        assertEquals(
                Kind.FAILED, decide(Effect.SAFE, 1000, attempts(1000, outcomes)).kind());
        assertEquals(
                Kind.UNKNOWN,
                decide(Effect.KEYED, 1000, attempts(1000, outcomes)).kind());
    }

    /** For any record: a job that may have run is requeued only if it is safe, or keyed and inside its window. */
    @Property(tries = 2000, seed = "7")
    void unsafeJobsThatMayHaveRunAreNotRequeued(
            @ForAll Effect effect,
            @ForAll @Size(max = 7) List<Known> known,
            @ForAll @IntRange(max = 40_000) int nowMs,
            @ForAll @IntRange(max = 40_000) int latestMs) {
        List<AttemptRecord> attempts = new ArrayList<>();
        for (Known outcome : known) {
            int number = attempts.size() + 1;
            attempts.add(new AttemptRecord(number, "e", 1000L * number, 1000L * number + 500, outcome));
        }
        boolean mayHaveRun = attempts.stream().anyMatch(AttemptRecord::mayHaveRun);
        long firstLeasedMs = attempts.stream()
                .filter(AttemptRecord::mayHaveRun)
                .mapToLong(AttemptRecord::leasedMs)
                .min()
                .orElse(0);
        Verdict verdict = Settlement.decide(effect, attempts, WINDOW, nowMs, latestMs, 5);
        assertEquals(verdict, Settlement.decide(effect, attempts, WINDOW, nowMs, latestMs, 5));
        if (verdict.kind() == Kind.REQUEUE && mayHaveRun) {
            assertTrue(effect == Effect.SAFE
                    || effect == Effect.KEYED
                            && nowMs >= latestMs
                            && nowMs < firstLeasedMs + WINDOW
                            && verdict.untilMs() == firstLeasedMs + WINDOW);
        }
        assertTrue(mayHaveRun || verdict.kind() == Kind.REQUEUE);
    }

    @Test
    void windowGrowsWithServedJobsAndShrinksOnCongestion() {
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(64);
        assertTrue(limiter.mayStart(0, 0));
        assertFalse(limiter.mayStart(0, 1));
        for (int i = 0; i < 40; i++) {
            limiter.onServed();
        }
        assertEquals(41, limiter.window());
        // Queueing at an endpoint shrinks the window by a fifth, once for all calls sent before the decrease.
        limiter.onStarted(1_000_000, 60_000);
        limiter.onStarted(1_000_001, 900_000);
        assertEquals(32, limiter.window());
        limiter.onLiveRefused(1_300_000);
        assertEquals(16, limiter.window());
        // From now on the window grows by one per window of served jobs.
        for (int i = 0; i < 16; i++) {
            limiter.onServed();
        }
        assertEquals(16, limiter.window(), 1);
        limiter.onRefused(2_000_000);
        assertFalse(limiter.mayStart(2_000_001, 0));
        assertTrue(limiter.mayStart(2_020_000, 0));
        limiter.onRefused(2_020_000);
        assertFalse(limiter.mayStart(2_059_999, 0));
        for (int i = 0; i < 100; i++) {
            limiter.onRefused(3_000_000 + i * 10_000_000L);
        }
        assertEquals(1, limiter.window());
        assertEquals(2_000_000, limiter.pausedUntil() - 993_000_000L);
    }
}
