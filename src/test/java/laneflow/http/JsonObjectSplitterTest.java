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

/** However a list is indented or split, the same objects come out. */
class JsonObjectSplitterTest {
    private static final String[] LISTS = {
        "{}",
        "{\"seq\":1}",
        "{\n  \"seq\": 4,\r\n\t\"hosts\": [\n    {\"host\": \"a}{\", \"dial\": \"\\\"]\\\\\"}\n,\n\n  {}\n  ]\n}"
    };

    private final List<String> told = new ArrayList<>();
    private int blanks;
    private final JsonObjectSplitter frames = new JsonObjectSplitter(100, new JsonObjectSplitter.Sink() {
        @Override
        public void emptyLine() {
            blanks++;
        }

        @Override
        public void objectBegun() {
            told.add("begun");
        }

        @Override
        public void object(String text) {
            told.add(text);
        }
    });

    @Property(tries = 300)
    void theSameObjectsHoweverTheyAreSplit(
            @ForAll @Size(max = 6) List<@IntRange(max = 2) Integer> which,
            @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 40) Integer> pieces)
            throws Exception {
        told.clear();
        blanks = 0;
        StringBuilder text = new StringBuilder();
        List<String> wanted = new ArrayList<>();
        for (int each : which) {
            text.append("  ").append(LISTS[each]).append(" \r\n\r\n");
            wanted.add("begun");
            wanted.add(LISTS[each]);
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int from = 0, i = 0; from < bytes.length; i++) {
            int to = Math.min(bytes.length, from + pieces.get(i % pieces.size()));
            frames.accept(Arrays.copyOfRange(bytes, from, to));
            from = to;
        }
        assertEquals(wanted, told);
        assertEquals(which.size(), blanks);
    }

    @Example
    void whatIsNoObjectOrTooLongIsAnError() {
        for (String bad : new String[] {"x", "[]", "{}}", "7\n", "{\"a\":\"" + "x".repeat(100)}) {
            JsonObjectSplitter each = new JsonObjectSplitterTest().frames;
            assertThrows(HttpException.class, () -> each.accept(bad.getBytes(StandardCharsets.UTF_8)), bad);
        }
    }
}
