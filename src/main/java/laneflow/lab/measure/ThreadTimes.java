package laneflow.lab.measure;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Kernel scheduler statistics of all threads of one name in a process. They separate the time on a processor from the
 * time that a runnable thread waited for one.
 *
 * @param ns nanoseconds on a processor
 * @param waitedNs nanoseconds in which the threads were runnable but waited for a processor
 * @param wakes voluntary context switches
 */
record ThreadTimes(long ns, long waitedNs, long wakes) {
    /** Reads the statistics of all threads of a process, by thread name. */
    static Map<String, ThreadTimes> of(long pid) throws IOException {
        Map<String, ThreadTimes> timesByName = new TreeMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks) {
                try {
                    String[] schedstat =
                            Files.readString(task.resolve("schedstat")).split(" ");
                    long wakes = 0;
                    for (String line : Files.readAllLines(task.resolve("status"))) {
                        if (line.startsWith("voluntary_ctxt_switches:")) {
                            wakes = Long.parseLong(
                                    line.substring(line.indexOf(':') + 1).strip());
                        }
                    }
                    timesByName.merge(
                            Files.readString(task.resolve("comm")).strip(),
                            new ThreadTimes(Long.parseLong(schedstat[0]), Long.parseLong(schedstat[1]), wakes),
                            ThreadTimes::plus);
                } catch (NoSuchFileException e) {
                    // The thread has just ended.
                    continue;
                }
            }
        }
        return timesByName;
    }

    ThreadTimes plus(ThreadTimes other) {
        return new ThreadTimes(ns + other.ns, waitedNs + other.waitedNs, wakes + other.wakes);
    }

    /** Returns the difference to an earlier reading; this reading itself if there is none. */
    ThreadTimes less(ThreadTimes before) {
        return before == null
                ? this
                : new ThreadTimes(ns - before.ns, waitedNs - before.waitedNs, wakes - before.wakes);
    }
}
