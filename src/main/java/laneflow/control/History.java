package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The history of adopted, rejected and rolled-back versions with their reasons. Each change is logged, kept in
 * memory for queries and, if a folder is configured, appended to a file. The file is informational: it is not
 * synced, and it is rotated by size with one earlier part kept. Runs on the loop's thread, except for file I/O.
 */
final class History {
    private static final Logger LOG = LoggerFactory.getLogger(History.class);
    private static final int MAX_RECENT = 200;
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final ArrayDeque<JsonObject> recent = new ArrayDeque<>();
    private final Path file;
    private final Executor disk;
    private final LongSupplier wall;

    /** @param folder of the file; null if none is written */
    History(Path folder, Executor disk, LongSupplier wall) {
        file = folder == null ? null : folder.resolve("history.jsonl");
        this.disk = disk;
        this.wall = wall;
    }

    /** Records a change; empty values are omitted. */
    void add(String type, String version, String verdict, String from, String reason) {
        JsonObject change = new JsonObject();
        change.addProperty("at_ms", wall.getAsLong());
        change.addProperty("type", type);
        change.addProperty("version", version);
        change.addProperty("verdict", verdict);
        if (!from.isEmpty()) {
            change.addProperty("from", from);
        }
        if (!reason.isEmpty()) {
            change.addProperty("reason", reason);
        }
        recent.addLast(change);
        if (recent.size() > MAX_RECENT) {
            recent.removeFirst();
        }
        String reasonField =
                reason.isEmpty() ? "" : " reason=\"" + reason.replace('\n', ';').replace('"', '\'') + "\"";
        if (verdict.equals("adopted") || verdict.equals("running") || verdict.equals("settled")) {
            LOG.info("config type={} version={} verdict={} from={}{}", type, version, verdict, from, reasonField);
        } else {
            LOG.warn("config type={} version={} verdict={} from={}{}", type, version, verdict, from, reasonField);
        }
        if (file != null) {
            disk.execute(() -> append(change + "\n"));
        }
    }

    private void append(String line) {
        try {
            if (Files.exists(file) && Files.size(file) > MAX_FILE_BYTES) {
                Files.move(file, file.resolveSibling("history.1.jsonl"), StandardCopyOption.REPLACE_EXISTING);
            }
            Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            LOG.warn("config: the history could not be written: {}", e.getMessage());
        }
    }

    /** Returns the latest changes as JSON, the oldest first. */
    String report() {
        JsonArray changes = new JsonArray();
        recent.forEach(changes::add);
        return changes + "\n";
    }
}
