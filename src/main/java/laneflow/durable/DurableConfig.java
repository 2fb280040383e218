package laneflow.durable;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.Table;
import laneflow.decision.Dispatch.Settings;

/** The operator's settings for durable jobs; times are in milliseconds. */
public final class DurableConfig {
    private static final double DAY_MS = 86_400_000;
    private static final long MIB = 1 << 20;

    /** The settings for the jobs of one class. */
    public static final class ClassConfig {
        /** Lease duration, counted from the grant and again from each heartbeat. */
        public long leaseMs;
        /** Upper bound on a lease including heartbeat extensions, counted from the grant. */
        public long maxLeaseMs;

        public long maxJobs;
        public long maxBytes;
        /** Whether HTTP clients may submit jobs of this class with {@code Prefer: respond-async}. */
        public boolean respondAsync;
    }

    /** The directory of the store. */
    public final Path dir;
    /** Upper bound on the store's size on disk, in bytes. */
    public final long maxStoreBytes;
    /** Limits on open jobs and their body bytes over all classes; the bodies are held in memory. */
    public long maxJobs;

    public long maxBytes;
    /** How long an ended job and its result can be queried. */
    public long retentionMs;
    /** Upper bound on concurrently running durable jobs, per class. */
    public int maxRunning;
    /**
     * Indexed by class number. An update replaces entries and never modifies them, so a job keeps the settings
     * it was submitted under.
     */
    public final ClassConfig[] classes;

    public final List<String> classNames;

    private DurableConfig(Table from, Settings settings, List<String> names) {
        classNames = names;
        String path = from.text("dir");
        dir = Path.of(path.isEmpty() ? "." : path);
        maxStoreBytes = from.integer("store_mib", 1024, 1, 1 << 20) * MIB;
        maxJobs = from.integer("most_jobs", 250_000, 1, 10_000_000);
        maxBytes = from.integer("most_mib", 64, 1, 1 << 16) * MIB;
        retentionMs = (long) (from.number("retention_s", 3600, 1, 30 * DAY_MS / 1000) * 1000);
        maxRunning = (int) from.integer("most_at_work", 64, 1, 10_000);
        classes = new ClassConfig[names.size()];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new ClassConfig();
            classes[i].leaseMs = (long) (settings.classes[i].deadline * 1000);
            classes[i].maxLeaseMs = 10 * classes[i].leaseMs;
            classes[i].maxJobs = maxJobs;
            classes[i].maxBytes = maxBytes;
        }
        from.tables("classes").forEach((name, table) -> {
            int index = names.indexOf(name);
            if (index < 0) {
                table.addFinding("", "'" + name + "' is none of the classes " + names);
                return;
            }
            ClassConfig classConfig = classes[index];
            classConfig.leaseMs = (long) table.number("lease_ms", classConfig.leaseMs, 50, DAY_MS);
            classConfig.maxLeaseMs =
                    (long) table.number("longest_ms", 10 * classConfig.leaseMs, classConfig.leaseMs, 30 * DAY_MS);
            classConfig.maxJobs = table.integer("most_jobs", maxJobs, 0, maxJobs);
            classConfig.maxBytes = table.integer("most_mib", maxBytes / MIB, 0, maxBytes / MIB) * MIB;
            classConfig.respondAsync = table.flag("respond_async", true);
            table.close();
        });
        from.close();
    }

    private DurableConfig(DurableConfig other) {
        classNames = other.classNames;
        dir = other.dir;
        maxStoreBytes = other.maxStoreBytes;
        maxJobs = other.maxJobs;
        maxBytes = other.maxBytes;
        retentionMs = other.retentionMs;
        maxRunning = other.maxRunning;
        classes = other.classes.clone();
    }

    /** A copy that later updates of this object do not affect. */
    public DurableConfig copy() {
        return new DurableConfig(this);
    }

    /**
     * Applies the settings that may change at run time, and returns a line for each change that needs a
     * restart. Runs on the I/O thread, which owns the jobs.
     */
    public List<String> update(DurableConfig other) {
        List<String> restartNeeded = new ArrayList<>();
        if (!dir.equals(other.dir)) {
            restartNeeded.add("dir: " + other.dir + " from the next start on, " + dir + " until then");
        }
        if (maxStoreBytes != other.maxStoreBytes) {
            restartNeeded.add("store_mib: " + other.maxStoreBytes / MIB + " from the next start on, "
                    + maxStoreBytes / MIB + " until then");
        }
        maxJobs = other.maxJobs;
        maxBytes = other.maxBytes;
        retentionMs = other.retentionMs;
        maxRunning = other.maxRunning;
        System.arraycopy(other.classes, 0, classes, 0, classes.length);
        return restartNeeded;
    }

    /** Reads the table; errors are reported as findings of the table. */
    public static DurableConfig read(Table from, Settings settings, List<String> classNames) {
        return new DurableConfig(from, settings, classNames);
    }
}
