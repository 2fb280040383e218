package laneflow.capacity.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Properties of reports and messages: merging, quantization and encoding. */
class CapacityReportTest {
    @Provide
    Arbitrary<CapacityReport> reports() {
        Arbitrary<Integer> step = Arbitraries.integers().between(0, Quantizer.MAX_STEP);
        // Few start times and observation times, so that many merges involve equal fields.
        return Combinators.combine(
                        Arbitraries.longs().between(0, 3),
                        step,
                        step,
                        step,
                        Arbitraries.longs().between(0, 5),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 4))
                .as((born, free, queue, attempts, at, source, sender) ->
                        new CapacityReport(7, born, free, queue, attempts, at, source, sender));
    }

    @Property
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll("reports") CapacityReport a,
            @ForAll("reports") CapacityReport b,
            @ForAll("reports") CapacityReport c) {
        assertEquals(CapacityReport.merge(a, b), CapacityReport.merge(b, a));
        assertEquals(
                CapacityReport.merge(CapacityReport.merge(a, b), c),
                CapacityReport.merge(a, CapacityReport.merge(b, c)));
        assertEquals(CapacityReport.merge(a, b), CapacityReport.merge(CapacityReport.merge(a, b), b));
        assertEquals(a, CapacityReport.merge(a, null));
    }

    @Property
    void newestReportAfterTheLatestRestartWins(
            @ForAll("reports") CapacityReport a, @ForAll("reports") CapacityReport b) {
        CapacityReport newer = CapacityReport.merge(a, b);
        assertTrue(newer.bornMs() >= Math.max(a.bornMs(), b.bornMs()));
        if (a.bornMs() == b.bornMs()) {
            assertEquals(Math.max(a.observedAt(), b.observedAt()), newer.observedAt());
        }
    }

    @Property
    void quantizationNeverMakesReportsYoungerOrEmptier(
            @ForAll @LongRange(min = 0, max = 15_000_000) long age, @ForAll @IntRange(max = 192) int slots) {
        assertTrue(Quantizer.ageMicros(Quantizer.ageStep(age)) >= age);
        assertTrue(Quantizer.ageMicros(Quantizer.ageStep(age)) <= Math.max(10_000, age * 1.14));
        assertTrue(Quantizer.value(Quantizer.floor(slots)) <= slots);
        assertTrue(Quantizer.value(Quantizer.ceil(slots)) >= slots);
    }

    @Property
    void messagesRoundTripAndTruncatedHeadersAreRejected(
            @ForAll int stamp,
            @ForAll @IntRange(max = 31) int demand,
            @ForAll @IntRange(min = -1, max = 255) int requestedPart,
            @ForAll @Size(max = 30) List<@IntRange(max = 0xffffff) Integer> keys)
            throws IOException {
        List<CapacityMessage.Entry> entries = new ArrayList<>();
        for (int key : keys) {
            entries.add(new CapacityMessage.Entry(
                    key, key & 15, key >> 4 & 15, key >> 8 & 15, key >> 12 & 63, key % 61 * 1000));
        }
        CapacityMessage message = new CapacityMessage(stamp, demand, requestedPart, entries);
        byte[] bytes = message.write();
        assertEquals(message, CapacityMessage.read(bytes));
        for (int length = 0; length < Math.min(bytes.length, CapacityMessage.HEADER_BYTES); length++) {
            byte[] truncated = java.util.Arrays.copyOf(bytes, length);
            assertThrows(IOException.class, () -> CapacityMessage.read(truncated));
        }
    }

    @Property
    void arbitraryBytesAreParsedOrRejected(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            CapacityMessage message = CapacityMessage.read(bytes);
            assertTrue(message.demand() <= 31 && message.requestedPart() <= 255);
        } catch (IOException e) {
            assertTrue(e.getMessage().startsWith("capacity message"));
        }
    }
}
