package laneflow.gearman.decision;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;

/**
 * When a job of SUBMIT_JOB_SCHED or SUBMIT_JOB_EPOCH is to run. The former names minute (0 to 59), hour (0 to
 * 23), day of the month (1 to 31), month (1 to 12) and day of the week (0, Monday, to 6), as the protocol
 * lists them; an empty one, or {@code *}, is any. It runs once, at the first such minute after now, by UTC.
 */
public final class Schedule {
    /** A 29th of February on a given day of the week comes within 40 years, but for a century's gap. */
    private static final int MOST_DAYS = 366 * 41;

    private Schedule() {}

    /** Unix time in milliseconds; what is no time is an IllegalArgumentException that says so. */
    public static long epoch(String seconds) {
        if (!seconds.matches("[0-9]{1,11}")) {
            throw new IllegalArgumentException("'" + seconds + "' is no number of seconds since 1970");
        }
        return Long.parseLong(seconds) * 1000;
    }

    /** The first minute after now that fits; Unix time in milliseconds. */
    public static long next(String minute, String hour, String day, String month, String weekday, long nowMs) {
        int atMinute = field("minute", minute, 0, 59);
        int atHour = field("hour", hour, 0, 23);
        int onDay = field("day of the month", day, 1, 31);
        int inMonth = field("month", month, 1, 12);
        int onWeekday = field("day of the week", weekday, 0, 6);
        ZonedDateTime at = Instant.ofEpochMilli(nowMs)
                .atZone(ZoneOffset.UTC)
                .truncatedTo(ChronoUnit.MINUTES)
                .plusMinutes(1);
        for (int days = 0; days < MOST_DAYS; days++) {
            boolean fits = (onDay < 0 || at.getDayOfMonth() == onDay)
                    && (inMonth < 0 || at.getMonthValue() == inMonth)
                    && (onWeekday < 0 || at.getDayOfWeek().getValue() - 1 == onWeekday);
            ZonedDateTime then = fits ? within(at, atMinute, atHour) : null;
            if (then != null) {
                return then.toInstant().toEpochMilli();
            }
            at = at.truncatedTo(ChronoUnit.DAYS).plusDays(1);
        }
        throw new IllegalArgumentException("no day is the " + day + ". of month " + month + " and weekday " + weekday);
    }

    /** The first fitting minute of that day from then on, or null. */
    private static ZonedDateTime within(ZonedDateTime from, int minute, int hour) {
        ZonedDateTime at = from;
        try {
            if (hour >= 0 && at.getHour() != hour) {
                if (at.getHour() > hour) {
                    return null;
                }
                at = at.withHour(hour).withMinute(0);
            }
            if (minute >= 0 && at.getMinute() > minute) {
                if (hour >= 0) {
                    return null;
                }
                at = at.plusHours(1);
            }
            at = minute < 0 ? at : at.withMinute(minute);
            return at.toLocalDate().equals(from.toLocalDate()) ? at : null;
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("out of the calendar", e);
        }
    }

    private static int field(String what, String text, int least, int most) {
        if (text.isEmpty() || text.equals("*")) {
            return -1;
        }
        int value = text.matches("[0-9]{1,3}") ? Integer.parseInt(text) : -1;
        if (value < least || value > most) {
            throw new IllegalArgumentException("'" + text + "' is no " + what + ": " + least + " to " + most);
        }
        return value;
    }
}
