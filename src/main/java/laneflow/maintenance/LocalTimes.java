package laneflow.maintenance;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.List;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * Operators' times of day as instants. On the night that has two 02:30s, what begins then begins at the
 * first and what ends then ends at the second; on the one that has none, 02:30 is 03:30, as java.time has
 * it. Recurrences are counted on the local calendar (RFC 5545, lib-recur), so that 02:30 stays 02:30 when
 * the clocks change.
 */
final class LocalTimes {
    /** The most occurrences that a rule may have within what is planned. */
    static final int MOST = 500;

    private LocalTimes() {}

    /** The zone of that name, or null. */
    static ZoneId zone(String name) {
        try {
            return ZoneId.of(name);
        } catch (DateTimeException e) {
            return null;
        }
    }

    /** A local time such as {@code 2026-12-10T22:00}, or null. */
    static LocalDateTime read(String text) {
        try {
            return LocalDateTime.parse(text);
        } catch (DateTimeException e) {
            return null;
        }
    }

    static long begins(LocalDateTime at, ZoneId zone) {
        return at.atZone(zone).withEarlierOffsetAtOverlap().toInstant().toEpochMilli();
    }

    static long ends(LocalDateTime at, ZoneId zone) {
        return at.atZone(zone).withLaterOffsetAtOverlap().toInstant().toEpochMilli();
    }

    static LocalDateTime local(long ms, ZoneId zone) {
        return ZonedDateTime.ofInstant(Instant.ofEpochMilli(ms), zone).toLocalDateTime();
    }

    /**
     * The times at which a rule has it happen, the first one included if the rule does.
     *
     * @param until none is told from this instant on, Unix milliseconds
     * @throws IllegalArgumentException if it is no rule
     */
    static List<LocalDateTime> occurrences(String rule, LocalDateTime first, ZoneId zone, long until) {
        List<LocalDateTime> found = new ArrayList<>();
        RecurrenceRule counted;
        try {
            counted = new RecurrenceRule(rule);
        } catch (InvalidRecurrenceRuleException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        RecurrenceRuleIterator days;
        try {
            days = counted.iterator(new DateTime(
                    first.getYear(),
                    first.getMonthValue() - 1,
                    first.getDayOfMonth(),
                    first.getHour(),
                    first.getMinute(),
                    0));
        } catch (IllegalArgumentException e) {
            // The library gives up on a rule that passes a thousand times over, as 30 February does.
            return found;
        }
        while (found.size() <= MOST) {
            LocalDateTime at = next(days);
            if (at == null || begins(at, zone) >= until) {
                break;
            }
            found.add(at);
        }
        return found;
    }

    private static LocalDateTime next(RecurrenceRuleIterator days) {
        try {
            if (!days.hasNext()) {
                return null;
            }
            DateTime day = days.nextDateTime();
            return LocalDateTime.of(
                    day.getYear(), day.getMonth() + 1, day.getDayOfMonth(), day.getHours(), day.getMinutes());
        } catch (IllegalArgumentException e) {
            // As above.
            return null;
        }
    }
}
