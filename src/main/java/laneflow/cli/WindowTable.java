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

/** Maintenance windows for people: a line each, times on the wall where they are, and every reason. */
final class WindowTable {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("EEE yyyy-MM-dd HH:mm z", Locale.ENGLISH);
    private static final Pattern INSTANT = Pattern.compile("\\d{4}-\\d\\d-\\d\\dT[\\d:.]+Z");
    private static final String FORM = "%-24s %-10s %-26s %-16s %s%n";

    @Option(
            names = "--time-zone",
            paramLabel = "ZONE",
            description = "Tell times as they are there, such as Europe/Ljubljana (default: this machine's).")
    private ZoneId zone = ZoneId.systemDefault();

    /** What was asked for: the times that they have or would have, and who stands against the others. */
    void asked(PrintWriter out, JsonArray windows) {
        out.printf("%-24s %-10s %s%n", "window", "state", "begins");
        for (JsonElement each : windows) {
            JsonObject one = each.getAsJsonObject();
            out.printf("%-24s %-10s %s%n", text(one, "name"), text(one, "state"), begins(one));
            reasons(out, one);
        }
    }

    void all(PrintWriter out, JsonArray windows) {
        if (windows.isEmpty()) {
            return;
        }
        out.printf(FORM, "window", "state", "begins", "owner", "racks");
        for (JsonElement each : windows) {
            JsonObject one = each.getAsJsonObject();
            out.printf(FORM, text(one, "name"), text(one, "state"), begins(one), text(one, "owner"), racks(one));
            crew(out, one);
            reasons(out, one);
        }
    }

    void one(PrintWriter out, JsonObject one) {
        out.printf("%-8s %s%n", "window", text(one, "name"));
        out.printf("%-8s %s%n", "owner", text(one, "owner"));
        out.printf("%-8s %s%n", "racks", racks(one));
        out.printf("%-8s %s%n", "state", text(one, "state"));
        out.printf("%-8s %s%n", "begins", begins(one));
        long leave = one.get("leave_ms").getAsLong();
        out.printf("%-8s %s%n", "leave", leave == 0 ? "-" : local(leave));
        out.printf("%-8s %s%n", "steps", one.get("steps").getAsLong());
        crew(out, one);
        reasons(out, one);
    }

    private static String text(JsonObject one, String key) {
        return one.get(key).getAsString();
    }

    private static String racks(JsonObject one) {
        List<String> racks = new ArrayList<>();
        one.getAsJsonArray("racks").forEach(rack -> racks.add(rack.getAsString()));
        return String.join(" ", racks);
    }

    private String begins(JsonObject one) {
        long ms = one.get("start_ms").getAsLong();
        return ms == 0 ? "-" : local(ms);
    }

    private String local(long ms) {
        return TIME.format(Instant.ofEpochMilli(ms).atZone(zone));
    }

    private static void crew(PrintWriter out, JsonObject one) {
        if (one.get("begun").getAsBoolean()) {
            out.println("    its crew is at work");
        }
        if (one.get("call_off").getAsBoolean() && !text(one, "state").equals("aborted")) {
            out.println("    it is called off or turned back");
        }
    }

    private void reasons(PrintWriter out, JsonObject one) {
        // The fleet tells instants in UTC; whoever reads this lives by the clock on the wall.
        one.getAsJsonArray("reasons")
                .forEach(reason -> out.println("    "
                        + INSTANT.matcher(reason.getAsString())
                                .replaceAll(found ->
                                        local(Instant.parse(found.group()).toEpochMilli()))));
    }
}
