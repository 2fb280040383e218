package laneflow.gearman.decision;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;

/**
 * Computes when a job of SUBMIT_JOB_SCHED or SUBMIT_JOB_EPOCH is due. SUBMIT_JOB_SCHED carries minute (0 to
 * 59), hour (0 to 23), day of the month (1 to 31), month (1 to 12) and day of the week (0, Monday, to 6), in the
 * protocol's order; an empty field or {@code *} matches any value. The job runs once, at the first matching
 * minute after now, in UTC.
 */
public final class Schedule {
    /** 29 February falls on any given weekday within 40 years, unless a century year without a leap day intervenes. */
    private static final int MAX_SEARCH_DAYS = 366 * 41;

    private Schedule() {}

    /** Parses Unix seconds into milliseconds; throws IllegalArgumentException with a message for the client. */
    public static long parseEpochSeconds(String seconds) {
        if (!seconds.matches("[0-9]{1,11}")) {
            throw new IllegalArgumentException("'" + seconds + "' is no number of seconds since 1970");
        }
        return Long.parseLong(seconds) * 1000;
    }

    /** The first matching minute after now, as Unix time in milliseconds. */
    public static long nextRun(String minute, String hour, String day, String month, String weekday, long nowMs) {
        int runMinute = parseField("minute", minute, 0, 59);
        int runHour = parseField("hour", hour, 0, 23);
        int runDay = parseField("day of the month", day, 1, 31);
        int runMonth = parseField("month", month, 1, 12);
        int runWeekday = parseField("day of the week", weekday, 0, 6);
        ZonedDateTime candidate = Instant.ofEpochMilli(nowMs)
                .atZone(ZoneOffset.UTC)
                .truncatedTo(ChronoUnit.MINUTES)
                .plusMinutes(1);
        for (int days = 0; days < MAX_SEARCH_DAYS; days++) {
            boolean dateMatches = (runDay < 0 || candidate.getDayOfMonth() == runDay)
                    && (runMonth < 0 || candidate.getMonthValue() == runMonth)
                    && (runWeekday < 0 || candidate.getDayOfWeek().getValue() - 1 == runWeekday);
            ZonedDateTime match = dateMatches ? firstMatchOnDay(candidate, runMinute, runHour) : null;
            if (match != null) {
                return match.toInstant().toEpochMilli();
            }
            candidate = candidate.truncatedTo(ChronoUnit.DAYS).plusDays(1);
        }
        throw new IllegalArgumentException("no day is the " + day + ". of month " + month + " and weekday " + weekday);
    }

    /** The first matching minute of that day, not before {@code from}, or null. */
    private static ZonedDateTime firstMatchOnDay(ZonedDateTime from, int minute, int hour) {
        ZonedDateTime candidate = from;
        try {
            if (hour >= 0 && candidate.getHour() != hour) {
                if (candidate.getHour() > hour) {
                    return null;
                }
                candidate = candidate.withHour(hour).withMinute(0);
            }
            if (minute >= 0 && candidate.getMinute() > minute) {
                if (hour >= 0) {
                    return null;
                }
                candidate = candidate.plusHours(1);
            }
            candidate = minute < 0 ? candidate : candidate.withMinute(minute);
            return candidate.toLocalDate().equals(from.toLocalDate()) ? candidate : null;
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("out of the calendar", e);
        }
    }

    private static int parseField(String name, String text, int min, int max) {
        if (text.isEmpty() || text.equals("*")) {
            return -1;
        }
        int value = text.matches("[0-9]{1,3}") ? Integer.parseInt(text) : -1;
        if (value < min || value > max) {
            throw new IllegalArgumentException("'" + text + "' is no " + name + ": " + min + " to " + max);
        }
        return value;
    }
}
