package laneflow.transcripts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;

/**
 * An exchange written down for a reader: who said what to whom, in the order in which the story read it, which
 * is an order that the protocol fixes, since a story reads each message before it goes on. What differs from run
 * to run has a name in its place: numbers by order of appearance for ports, handles and ids, one word for a span of
 * time, since two spans may be alike by chance. {@code docs/transcripts.md} says how to read and approve them.
 */
final class Transcript {
    /** So often each story is told: the same words each time, and those that were approved. */
    private static final int RUNS = Integer.getInteger("transcripts.runs", 1);

    private static final Pattern PORT = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");
    private static final Pattern HANDLE = Pattern.compile("H:[\\w.-]+:\\w+");
    private static final Pattern ID = Pattern.compile("\\b[0-9a-f]{16}\\b");
    private static final Pattern LIFE = Pattern.compile("(?<=#)[0-9a-f]{12}\\b");
    private static final Pattern LEFT = Pattern.compile("(Req-Deadline-Ms|Req-Timeout-Ms|Task-Ends-Ms): \\d+");
    private static final Pattern LATER = Pattern.compile("(Retry-After): [\\d.]+");
    private static final Pattern ISO_INSTANT = Pattern.compile("\\b20\\d\\d-\\d\\d-\\d\\dT[\\d:.]+Z");
    private static final Pattern INSTANT = Pattern.compile("\\b1[6-9]\\d{8}(\\d{3}|\\d{6})?\\b");

    private final StringBuilder text = new StringBuilder();
    private final Map<String, String> names = new LinkedHashMap<>();

    /** What happens in it, told to a transcript. */
    interface Scenario {
        void play(Transcript transcript) throws Exception;
    }

    private Transcript(String title) {
        text.append(title).append('\n');
    }

    /** Tells the story and holds what was said against the approved text beside the test that calls this. */
    static void of(String title, Scenario story) throws Exception {
        String first = record(title, story);
        for (int i = 1; i < RUNS; i++) {
            assertEquals(first, record(title, story), "run " + (i + 1));
        }
        Approvals.verify(first, new Options().withReporter(QuietReporter.INSTANCE));
    }

    private static String record(String title, Scenario story) throws Exception {
        Transcript transcript = new Transcript(title);
        story.play(transcript);
        return transcript.text.toString();
    }

    /** What is no message: a client leaves, a word of the story. */
    void note(String what) {
        text.append("\n-- ").append(named(what)).append('\n');
    }

    /** A message, as it is to be read. */
    void message(String from, String to, String message) {
        text.append('\n').append(named(from)).append(" -> ").append(to).append('\n');
        named(message)
                .lines()
                .forEach(
                        line -> text.append("    ".concat(line).stripTrailing()).append('\n'));
    }

    /** A text by which this value is called from now on, in the place of one by order. */
    void alias(String value, String name) {
        names.put(value, name);
    }

    private String named(String message) {
        String now = PORT.matcher(message)
                .replaceAll(found -> Matcher.quoteReplacement(name("127.0.0.1:" + found.group(1), "address")));
        now = HANDLE.matcher(now).replaceAll(found -> Matcher.quoteReplacement(name(found.group(), "handle")));
        now = ID.matcher(now).replaceAll(found -> Matcher.quoteReplacement(name(found.group(), "id")));
        now = LIFE.matcher(now).replaceAll(found -> Matcher.quoteReplacement(name(found.group(), "life")));
        now = ISO_INSTANT.matcher(now).replaceAll("<instant>");
        now = INSTANT.matcher(now).replaceAll("<instant>");
        now = LEFT.matcher(now).replaceAll("$1: <ms left>");
        now = LATER.matcher(now).replaceAll("$1: <s>");
        for (Map.Entry<String, String> each : names.entrySet()) {
            now = now.replace(each.getKey(), each.getValue());
        }
        return now;
    }

    private String name(String value, String kind) {
        String known = names.get(value);
        if (known == null) {
            long before = names.values().stream()
                    .filter(each -> each.startsWith("<" + kind + " "))
                    .count();
            known = "<" + kind + " " + (before + 1) + ">";
            names.put(value, known);
        }
        return known;
    }
}
