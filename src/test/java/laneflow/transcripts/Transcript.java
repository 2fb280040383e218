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
 * A readable record of the messages of a scenario, compared with an approved text. Messages appear in the order in
 * which the scenario reads them; the protocol fixes that order, since a scenario reads each message before it goes
 * on. Values that differ between runs are replaced: ports, handles and ids by numbers in order of appearance,
 * times by one and the same word, since two times may be equal by chance. {@code docs/transcripts.md} says how to
 * read and approve transcripts.
 */
final class Transcript {
    /** How often each scenario runs: the text must be the same each time and match the approved one. */
    private static final int RUNS = Integer.getInteger("transcripts.runs", 1);

    private static final Pattern PORT = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");
    private static final Pattern HANDLE = Pattern.compile("H:[\\w.-]+:[\\w-]+");
    private static final Pattern ID =
            Pattern.compile("\\b(?:[0-9a-f]{16}|[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12})\\b");
    private static final Pattern INCARNATION = Pattern.compile("(?<=#)[0-9a-f]{12}\\b");
    private static final Pattern REMAINING_MS = Pattern.compile("(Req-Deadline-Ms|Req-Timeout-Ms|Task-Ends-Ms): \\d+");
    private static final Pattern RETRY_AFTER = Pattern.compile("(Retry-After): [\\d.]+");
    private static final Pattern ISO_INSTANT = Pattern.compile("\\b20\\d\\d-\\d\\d-\\d\\dT[\\d:.]+Z");
    private static final Pattern INSTANT = Pattern.compile("\\b1[6-9]\\d{8}(\\d{3}|\\d{6})?\\b");

    private final StringBuilder text = new StringBuilder();
    private final Map<String, String> aliases = new LinkedHashMap<>();

    /** The steps of a test, recorded in a transcript. */
    interface Scenario {
        void play(Transcript transcript) throws Exception;
    }

    private Transcript(String title) {
        text.append(title).append('\n');
    }

    /** Plays the scenario and compares its transcript with the approved text next to the calling test. */
    static void of(String title, Scenario scenario) throws Exception {
        String first = transcribe(title, scenario);
        for (int i = 1; i < RUNS; i++) {
            assertEquals(first, transcribe(title, scenario), "run " + (i + 1));
        }
        Approvals.verify(first, new Options().withReporter(QuietReporter.INSTANCE));
    }

    private static String transcribe(String title, Scenario scenario) throws Exception {
        Transcript transcript = new Transcript(title);
        scenario.play(transcript);
        return transcript.text.toString();
    }

    /** Records something other than a message, for example that a client leaves. */
    void note(String event) {
        text.append("\n-- ").append(withAliases(event)).append('\n');
    }

    /** Records a message in its readable form. */
    void message(String from, String to, String message) {
        text.append('\n').append(withAliases(from)).append(" -> ").append(to).append('\n');
        withAliases(message)
                .lines()
                .forEach(
                        line -> text.append("    ".concat(line).stripTrailing()).append('\n'));
    }

    /** Sets the name that replaces this value from now on, instead of a numbered one. */
    void alias(String value, String name) {
        aliases.put(value, name);
    }

    private String withAliases(String message) {
        String result = PORT.matcher(message)
                .replaceAll(found -> Matcher.quoteReplacement(name("127.0.0.1:" + found.group(1), "address")));
        result = HANDLE.matcher(result).replaceAll(found -> Matcher.quoteReplacement(name(found.group(), "handle")));
        result = ID.matcher(result).replaceAll(found -> Matcher.quoteReplacement(name(found.group(), "id")));
        result = INCARNATION.matcher(result).replaceAll(found -> Matcher.quoteReplacement(name(found.group(), "life")));
        result = ISO_INSTANT.matcher(result).replaceAll("<instant>");
        result = INSTANT.matcher(result).replaceAll("<instant>");
        result = REMAINING_MS.matcher(result).replaceAll("$1: <ms left>");
        result = RETRY_AFTER.matcher(result).replaceAll("$1: <s>");
        for (Map.Entry<String, String> alias : aliases.entrySet()) {
            result = result.replace(alias.getKey(), alias.getValue());
        }
        return result;
    }

    private String name(String value, String kind) {
        String alias = aliases.get(value);
        if (alias == null) {
            long used = aliases.values().stream()
                    .filter(name -> name.startsWith("<" + kind + " "))
                    .count();
            alias = "<" + kind + " " + (used + 1) + ">";
            aliases.put(value, alias);
        }
        return alias;
    }
}
