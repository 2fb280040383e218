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
 * Converts operators' local times to instants. In the night when 02:30 occurs twice, a period that starts then
 * starts at the first 02:30 and one that ends then ends at the second; in the night when it does not occur,
 * 02:30 is 03:30, as in java.time. Recurrences are counted on the local calendar (RFC 5545, lib-recur), so
 * that 02:30 stays 02:30 when the clocks change.
 */
final class LocalTimes {
    /** Maximum number of occurrences of a rule within the planned time. */
    static final int MAX_OCCURRENCES = 500;

    private LocalTimes() {}

    /** The time zone of that name, or null. */
    static ZoneId zone(String name) {
        try {
            return ZoneId.of(name);
        } catch (DateTimeException e) {
            return null;
        }
    }

    /** A local time such as {@code 2026-12-10T22:00}, or null. */
    static LocalDateTime parse(String text) {
        try {
            return LocalDateTime.parse(text);
        } catch (DateTimeException e) {
            return null;
        }
    }

    static long startMillis(LocalDateTime at, ZoneId zone) {
        return at.atZone(zone).withEarlierOffsetAtOverlap().toInstant().toEpochMilli();
    }

    static long endMillis(LocalDateTime at, ZoneId zone) {
        return at.atZone(zone).withLaterOffsetAtOverlap().toInstant().toEpochMilli();
    }

    static LocalDateTime local(long ms, ZoneId zone) {
        return ZonedDateTime.ofInstant(Instant.ofEpochMilli(ms), zone).toLocalDateTime();
    }

    /**
     * The occurrences of a rule, including the first time if the rule does.
     *
     * @param until exclusive end, Unix milliseconds
     * @throws IllegalArgumentException if the rule is invalid
     */
    static List<LocalDateTime> occurrences(String rule, LocalDateTime first, ZoneId zone, long until) {
        List<LocalDateTime> found = new ArrayList<>();
        RecurrenceRule recurrence;
        try {
            recurrence = new RecurrenceRule(rule);
        } catch (InvalidRecurrenceRuleException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        RecurrenceRuleIterator iterator;
        try {
            iterator = recurrence.iterator(new DateTime(
                    first.getYear(),
                    first.getMonthValue() - 1,
                    first.getDayOfMonth(),
                    first.getHour(),
                    first.getMinute(),
                    0));
        } catch (IllegalArgumentException e) {
            // lib-recur throws for a rule without an occurrence in a thousand intervals, such as 30 February.
            return found;
        }
        while (found.size() <= MAX_OCCURRENCES) {
            LocalDateTime at = next(iterator);
            if (at == null || startMillis(at, zone) >= until) {
                break;
            }
            found.add(at);
        }
        return found;
    }

    private static LocalDateTime next(RecurrenceRuleIterator iterator) {
        try {
            if (!iterator.hasNext()) {
                return null;
            }
            DateTime day = iterator.nextDateTime();
            return LocalDateTime.of(
                    day.getYear(), day.getMonth() + 1, day.getDayOfMonth(), day.getHours(), day.getMinutes());
        } catch (IllegalArgumentException e) {
            // Same as in occurrences().
            return null;
        }
    }
}
