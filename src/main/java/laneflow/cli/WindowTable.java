package laneflow.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import picocli.CommandLine.Option;

/** Prints maintenance windows as a table: one line per window, with local times and all reasons. */
final class WindowTable {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("EEE yyyy-MM-dd HH:mm z", Locale.ENGLISH);
    private static final Pattern INSTANT = Pattern.compile("\\d{4}-\\d\\d-\\d\\dT[\\d:.]+Z");
    private static final String ROW_FORMAT = "%-24s %-10s %-26s %-16s %s%n";

    @Option(
            names = "--time-zone",
            paramLabel = "ZONE",
            description = "The time zone of the times shown, such as Europe/Ljubljana (default: this machine's).")
    private ZoneId zone = ZoneId.systemDefault();

    /** Prints requested windows: the times they have or would have, and the reasons why others have none. */
    void printRequested(PrintWriter out, JsonArray windows) {
        out.printf("%-24s %-10s %s%n", "window", "state", "begins");
        for (JsonElement element : windows) {
            JsonObject window = element.getAsJsonObject();
            out.printf("%-24s %-10s %s%n", string(window, "name"), string(window, "state"), begins(window));
            printReasons(out, window);
        }
    }

    void printAll(PrintWriter out, JsonArray windows) {
        if (windows.isEmpty()) {
            return;
        }
        out.printf(ROW_FORMAT, "window", "state", "begins", "owner", "racks");
        for (JsonElement element : windows) {
            JsonObject window = element.getAsJsonObject();
            out.printf(
                    ROW_FORMAT,
                    string(window, "name"),
                    string(window, "state"),
                    begins(window),
                    string(window, "owner"),
                    racks(window));
            printCrewState(out, window);
            printReasons(out, window);
        }
    }

    void printDetails(PrintWriter out, JsonObject window) {
        out.printf("%-8s %s%n", "window", string(window, "name"));
        out.printf("%-8s %s%n", "owner", string(window, "owner"));
        out.printf("%-8s %s%n", "racks", racks(window));
        out.printf("%-8s %s%n", "state", string(window, "state"));
        out.printf("%-8s %s%n", "begins", begins(window));
        long leaveMs = window.get("leave_ms").getAsLong();
        out.printf("%-8s %s%n", "leave", leaveMs == 0 ? "-" : localTime(leaveMs));
        out.printf("%-8s %s%n", "steps", window.get("steps").getAsLong());
        printCrewState(out, window);
        printReasons(out, window);
    }

    private static String string(JsonObject window, String key) {
        return window.get(key).getAsString();
    }

    private static String racks(JsonObject window) {
        List<String> racks = new ArrayList<>();
        window.getAsJsonArray("racks").forEach(rack -> racks.add(rack.getAsString()));
        return String.join(" ", racks);
    }

    private String begins(JsonObject window) {
        long epochMs = window.get("start_ms").getAsLong();
        return epochMs == 0 ? "-" : localTime(epochMs);
    }

    private String localTime(long epochMs) {
        return TIME.format(Instant.ofEpochMilli(epochMs).atZone(zone));
    }

    private static void printCrewState(PrintWriter out, JsonObject window) {
        if (window.get("begun").getAsBoolean()) {
            out.println("    its crew is at work");
        }
        if (window.get("call_off").getAsBoolean() && !string(window, "state").equals("aborted")) {
            out.println("    it is called off or turned back");
        }
    }

    private void printReasons(PrintWriter out, JsonObject window) {
        // The fleet reports instants in UTC; they are converted to the operator's time zone.
        window.getAsJsonArray("reasons")
                .forEach(reason -> out.println("    "
                        + INSTANT.matcher(reason.getAsString())
                                .replaceAll(instant ->
                                        localTime(Instant.parse(instant.group()).toEpochMilli()))));
    }
}
