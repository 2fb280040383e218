package laneflow.lab.measure;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the threads of one name in a process have used, by the kernel's own accounts: what a thread did itself
 * is told apart there from what it waited for because the machine had others to run.
 *
 * @param ns nanoseconds on a processor
 * @param waitedNs nanoseconds in which it could have run, and another did
 * @param wakes how often it gave the processor up by itself
 */
record ThreadTimes(long ns, long waitedNs, long wakes) {
    /** Of all threads of that process, by their names. */
    static Map<String, ThreadTimes> of(long pid) throws IOException {
        Map<String, ThreadTimes> all = new TreeMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks) {
                try {
                    String[] spent = Files.readString(task.resolve("schedstat")).split(" ");
                    long wakes = 0;
                    for (String line : Files.readAllLines(task.resolve("status"))) {
                        if (line.startsWith("voluntary_ctxt_switches:")) {
                            wakes = Long.parseLong(
                                    line.substring(line.indexOf(':') + 1).strip());
                        }
                    }
                    all.merge(
                            Files.readString(task.resolve("comm")).strip(),
                            new ThreadTimes(Long.parseLong(spent[0]), Long.parseLong(spent[1]), wakes),
                            ThreadTimes::plus);
                } catch (NoSuchFileException e) {
                    // A thread that has just ended.
                    continue;
                }
            }
        }
        return all;
    }

    ThreadTimes plus(ThreadTimes other) {
        return new ThreadTimes(ns + other.ns, waitedNs + other.waitedNs, wakes + other.wakes);
    }

    /** Since then; null: since its beginning. */
    ThreadTimes less(ThreadTimes before) {
        return before == null
                ? this
                : new ThreadTimes(ns - before.ns, waitedNs - before.waitedNs, wakes - before.wakes);
    }
}
