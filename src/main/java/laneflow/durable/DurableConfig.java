package laneflow.durable;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.Table;
import laneflow.decision.Dispatch.Settings;

/** What the operators set for durable jobs; times in milliseconds. */
public final class DurableConfig {
    private static final double DAY_MS = 86_400_000;
    private static final long MIB = 1 << 20;

    /** What holds for the jobs of one class. */
    public static final class OfClass {
        /** How long a lease lasts from its start, and from each heartbeat. */
        public long leaseMs;
        /** How far heartbeats can prolong it, from its start. */
        public long longestMs;

        public long mostJobs;
        public long mostBytes;
        /** HTTP clients may hand in such jobs with {@code Prefer: respond-async}. */
        public boolean respondAsync;
    }

    /** The folder of the store. */
    public final Path dir;
    /** The most that the store may take on disk, bytes. */
    public final long storeBytes;
    /** Open jobs and the bytes of their bodies, all classes together; bodies are held in memory. */
    public long mostJobs;

    public long mostBytes;
    /** How long an ended job and its result can be asked for. */
    public long retentionMs;
    /** The most durable jobs at work in the core at a time. */
    public int mostAtWork;
    /** By number of class; entries are replaced as wholes, and a job keeps the one it came under. */
    public final OfClass[] classes;

    public final List<String> classNames;

    private DurableConfig(Table from, Settings settings, List<String> names) {
        classNames = names;
        String folder = from.text("dir");
        dir = Path.of(folder.isEmpty() ? "." : folder);
        storeBytes = from.integer("store_mib", 1024, 1, 1 << 20) * MIB;
        mostJobs = from.integer("most_jobs", 250_000, 1, 10_000_000);
        mostBytes = from.integer("most_mib", 64, 1, 1 << 16) * MIB;
        retentionMs = (long) (from.number("retention_s", 3600, 1, 30 * DAY_MS / 1000) * 1000);
        mostAtWork = (int) from.integer("most_at_work", 64, 1, 10_000);
        classes = new OfClass[names.size()];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new OfClass();
            classes[i].leaseMs = (long) (settings.classes[i].deadline * 1000);
            classes[i].longestMs = 10 * classes[i].leaseMs;
            classes[i].mostJobs = mostJobs;
            classes[i].mostBytes = mostBytes;
        }
        from.tables("classes").forEach((name, one) -> {
            int at = names.indexOf(name);
            if (at < 0) {
                one.addFinding("", "'" + name + "' is none of the classes " + names);
                return;
            }
            OfClass to = classes[at];
            to.leaseMs = (long) one.number("lease_ms", to.leaseMs, 50, DAY_MS);
            to.longestMs = (long) one.number("longest_ms", 10 * to.leaseMs, to.leaseMs, 30 * DAY_MS);
            to.mostJobs = one.integer("most_jobs", mostJobs, 0, mostJobs);
            to.mostBytes = one.integer("most_mib", mostBytes / MIB, 0, mostBytes / MIB) * MIB;
            to.respondAsync = one.flag("respond_async", true);
            one.close();
        });
        from.close();
    }

    private DurableConfig(DurableConfig other) {
        classNames = other.classNames;
        dir = other.dir;
        storeBytes = other.storeBytes;
        mostJobs = other.mostJobs;
        mostBytes = other.mostBytes;
        retentionMs = other.retentionMs;
        mostAtWork = other.mostAtWork;
        classes = other.classes.clone();
    }

    /** The same, on which later versions do not tell. */
    public DurableConfig copy() {
        return new DurableConfig(this);
    }

    /**
     * Takes over what may change while jobs are open, and tells what waits for a restart. On the thread of
     * the jobs' owner.
     */
    public List<String> adopt(DurableConfig other) {
        List<String> later = new ArrayList<>();
        if (!dir.equals(other.dir)) {
            later.add("dir: " + other.dir + " from the next start on, " + dir + " until then");
        }
        if (storeBytes != other.storeBytes) {
            later.add("store_mib: " + other.storeBytes / MIB + " from the next start on, " + storeBytes / MIB
                    + " until then");
        }
        mostJobs = other.mostJobs;
        mostBytes = other.mostBytes;
        retentionMs = other.retentionMs;
        mostAtWork = other.mostAtWork;
        System.arraycopy(other.classes, 0, classes, 0, classes.length);
        return later;
    }

    /** Reads the table; what is wrong becomes findings of the table's. */
    public static DurableConfig read(Table from, Settings settings, List<String> classNames) {
        return new DurableConfig(from, settings, classNames);
    }
}
