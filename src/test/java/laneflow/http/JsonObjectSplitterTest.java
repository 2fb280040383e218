package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Checks that indentation and chunking do not change the objects found. */
class JsonObjectSplitterTest {
    private static final String[] LISTS = {
        "{}",
        "{\"seq\":1}",
        "{\n  \"seq\": 4,\r\n\t\"hosts\": [\n    {\"host\": \"a}{\", \"dial\": \"\\\"]\\\\\"}\n,\n\n  {}\n  ]\n}"
    };

    private final List<String> events = new ArrayList<>();
    private int emptyLines;
    private final JsonObjectSplitter splitter = new JsonObjectSplitter(100, new JsonObjectSplitter.Sink() {
        @Override
        public void emptyLine() {
            emptyLines++;
        }

        @Override
        public void objectBegun() {
            events.add("begun");
        }

        @Override
        public void object(String text) {
            events.add(text);
        }
    });

    @Property(tries = 300)
    void splitsObjectsIndependentlyOfChunking(
            @ForAll @Size(max = 6) List<@IntRange(max = 2) Integer> listIndexes,
            @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 40) Integer> pieceSizes)
            throws Exception {
        events.clear();
        emptyLines = 0;
        StringBuilder text = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int index : listIndexes) {
            text.append("  ").append(LISTS[index]).append(" \r\n\r\n");
            expected.add("begun");
            expected.add(LISTS[index]);
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int from = 0, i = 0; from < bytes.length; i++) {
            int to = Math.min(bytes.length, from + pieceSizes.get(i % pieceSizes.size()));
            splitter.accept(Arrays.copyOfRange(bytes, from, to));
            from = to;
        }
        assertEquals(expected, events);
        assertEquals(listIndexes.size(), emptyLines);
    }

    @Example
    void rejectsNonObjectsAndTooLongObjects() {
        for (String bad : new String[] {"x", "[]", "{}}", "7\n", "{\"a\":\"" + "x".repeat(100)}) {
            JsonObjectSplitter newSplitter = new JsonObjectSplitterTest().splitter;
            assertThrows(HttpException.class, () -> newSplitter.accept(bad.getBytes(StandardCharsets.UTF_8)), bad);
        }
    }
}
