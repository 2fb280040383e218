package laneflow.maintenance;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.maintenance.decision.Plan.Freeze;
import laneflow.maintenance.decision.Request;

/**
 * Reads maintenance requests and freeze calendars from TOML files. A file asks for one window or, by a
 * recurrence rule, for many, each of which becomes a request of its own. All errors are reported at once.
 */
public final class RequestFile {
    private static final String NAME = "[A-Za-z0-9_.-]{1,48}";
    private static final long MINUTE_MS = 60_000;
    private static final double WEEK_MINUTES = 7 * 24 * 60;
    private static final DateTimeFormatter DAY = DateTimeFormatter.ofPattern("yyyyMMdd");

    private final Table from;
    private final Set<String> racks;
    private final long until;
    private final List<Request> requests = new ArrayList<>();
    private final List<Freeze> freezes = new ArrayList<>();

    private RequestFile(Table from, Set<String> racks, long until) {
        this.from = from;
        this.racks = racks;
        this.until = until;
    }

    /**
     * Reads requests.
     *
     * @param file name of the file in findings
     * @param racks known racks; null if the receiver checks them
     * @param until occurrences of a rule are expanded up to here, Unix milliseconds
     * @throws laneflow.config.ConfigException with all errors
     */
    public static List<Request> read(String text, String file, Set<String> racks, long until) {
        Findings findings = new Findings(file);
        RequestFile reader = new RequestFile(Table.parse(text, findings), racks, until);
        reader.request();
        reader.from.close();
        findings.throwIfAny();
        return List.copyOf(reader.requests);
    }

    /**
     * Reads a calendar of freezes: tables {@code [freezes.NAME]} with {@code from}, {@code to} and an optional
     * {@code rule}.
     *
     * @throws laneflow.config.ConfigException with all errors
     */
    public static List<Freeze> freezes(String text, String file, long until) {
        Findings findings = new Findings(file);
        RequestFile reader = new RequestFile(Table.parse(text, findings), Set.of(), until);
        ZoneId zone = reader.zone();
        reader.from.tables("freezes").forEach((name, table) -> reader.freeze(name, table, zone));
        reader.from.close();
        findings.throwIfAny();
        return List.copyOf(reader.freezes);
    }

    private ZoneId zone() {
        String name = from.text("time_zone");
        ZoneId zone = name.isEmpty() ? null : LocalTimes.zone(name);
        if (zone == null && !name.isEmpty()) {
            from.addFinding("time_zone", "'" + name + "' is no zone of the tz database, such as Europe/Ljubljana");
        }
        return zone;
    }

    private static LocalDateTime time(Table table, String key) {
        String text = table.text(key);
        LocalDateTime at = text.isEmpty() ? null : LocalTimes.parse(text);
        if (at == null && !text.isEmpty()) {
            table.addFinding(key, "'" + text + "' is no local time, such as 2026-12-10T22:00");
        }
        return at;
    }

    private void freeze(String name, Table table, ZoneId zone) {
        LocalDateTime begins = time(table, "from");
        LocalDateTime ends = time(table, "to");
        String rule = table.text("rule", null);
        table.close();
        if (begins == null || ends == null || zone == null) {
            return;
        }
        if (!ends.isAfter(begins)) {
            table.addFinding("to", "is not after from");
            return;
        }
        for (LocalDateTime at : occurrences(table, rule, begins, zone)) {
            freezes.add(new Freeze(
                    name,
                    LocalTimes.startMillis(at, zone),
                    LocalTimes.endMillis(at.plus(Duration.between(begins, ends)), zone)));
        }
    }

    private List<LocalDateTime> occurrences(Table table, String rule, LocalDateTime first, ZoneId zone) {
        if (rule == null) {
            return List.of(first);
        }
        try {
            List<LocalDateTime> all = LocalTimes.occurrences(rule, first, zone, until);
            if (all.isEmpty()) {
                table.addFinding("rule", "never happens within what is planned");
            } else if (all.size() > LocalTimes.MAX_OCCURRENCES) {
                table.addFinding(
                        "rule", "happens more than " + LocalTimes.MAX_OCCURRENCES + " times within what is planned");
            }
            return all;
        } catch (IllegalArgumentException e) {
            table.addFinding("rule", "is no rule of RFC 5545: " + e.getMessage());
            return List.of();
        }
    }

    private void request() {
        String name = from.text("name");
        if (!name.isEmpty() && !name.matches(NAME)) {
            from.addFinding("name", "is up to 48 letters, digits, '_', '.' and '-'");
        }
        String owner = from.text("owner");
        List<String> requestedRacks = racks();
        long work = from.integer("work_minutes", 0, 1, (long) WEEK_MINUTES) * MINUTE_MS;
        if (!from.has("work_minutes")) {
            from.addFinding("work_minutes", "is missing");
        }
        long notice = from.integer("notice_minutes", 0, 0, (long) (8 * WEEK_MINUTES)) * MINUTE_MS;
        long abort = from.integer("abort_minutes", 0, 0, (long) WEEK_MINUTES) * MINUTE_MS;
        if (abort > work) {
            from.addFinding("abort_minutes", "is longer than the work");
        }
        Set<String> apart = new HashSet<>(from.texts("apart"));
        List<String> after = from.texts("after");
        if (after.contains(name)) {
            from.addFinding("after", "'" + name + "' can't come after itself");
        }
        ZoneId zone = zone();
        LocalDateTime earliest = time(from, "earliest");
        LocalDateTime latest = time(from, "latest");
        String rule = from.text("rule", null);
        if (zone == null || earliest == null || latest == null) {
            return;
        }
        List<LocalDateTime> all = occurrences(from, rule, earliest, zone);
        Duration span = Duration.between(earliest, latest);
        long previousEnd = Long.MIN_VALUE;
        for (LocalDateTime at : all) {
            long begins = LocalTimes.startMillis(at, zone);
            long ends = LocalTimes.endMillis(at.plus(span), zone);
            if (ends - begins < work) {
                from.addFinding(
                        "latest",
                        "leaves " + Math.max(0, (ends - begins) / MINUTE_MS) + " minutes from " + at + " on for "
                                + work / MINUTE_MS + " of work");
                return;
            }
            if (begins < previousEnd) {
                from.addFinding("rule", "one begins at " + at + ", before the one before it has to end");
                return;
            }
            previousEnd = ends;
            requests.add(new Request(
                    rule == null ? name : name + "-" + DAY.format(at),
                    owner,
                    requestedRacks,
                    work,
                    begins,
                    ends,
                    notice,
                    abort,
                    apart,
                    after));
        }
    }

    private List<String> racks() {
        List<String> requestedRacks = from.texts("racks");
        if (requestedRacks.isEmpty()) {
            from.addFinding("racks", "names none");
        }
        Set<String> seen = new HashSet<>();
        for (String rack : requestedRacks) {
            if (racks != null && !racks.contains(rack)) {
                from.addFinding("racks", "'" + rack + "' is not known");
            } else if (!seen.add(rack)) {
                from.addFinding("racks", "'" + rack + "' is named twice");
            }
        }
        return requestedRacks;
    }
}
