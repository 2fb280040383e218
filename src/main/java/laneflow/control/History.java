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
 * What was adopted, turned down and taken back, when and why: one log line a change, the last ones in memory
 * for whoever asks, and a line each in a file where there is a folder. The file is for people: it is appended
 * to without a sync, and begun anew once it is large, with one former part kept. On the loop's thread, but
 * for the file.
 */
final class History {
    private static final Logger LOG = LoggerFactory.getLogger(History.class);
    private static final int MOST_HELD = 200;
    private static final long MOST_BYTES = 1 << 20;

    private final ArrayDeque<JsonObject> held = new ArrayDeque<>();
    private final Path file;
    private final Executor disk;
    private final LongSupplier wall;

    /** @param folder where the file lies; null: none is written */
    History(Path folder, Executor disk, LongSupplier wall) {
        file = folder == null ? null : folder.resolve("history.jsonl");
        this.disk = disk;
        this.wall = wall;
    }

    /** A change; empty texts are left out. */
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
        held.addLast(change);
        if (held.size() > MOST_HELD) {
            held.removeFirst();
        }
        String said =
                reason.isEmpty() ? "" : " reason=\"" + reason.replace('\n', ';').replace('"', '\'') + "\"";
        if (verdict.equals("adopted") || verdict.equals("running") || verdict.equals("settled")) {
            LOG.info("config type={} version={} verdict={} from={}{}", type, version, verdict, from, said);
        } else {
            LOG.warn("config type={} version={} verdict={} from={}{}", type, version, verdict, from, said);
        }
        if (file != null) {
            disk.execute(() -> append(change + "\n"));
        }
    }

    private void append(String line) {
        try {
            if (Files.exists(file) && Files.size(file) > MOST_BYTES) {
                Files.move(file, file.resolveSibling("history.1.jsonl"), StandardCopyOption.REPLACE_EXISTING);
            }
            Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            LOG.warn("config: the history could not be written: {}", e.getMessage());
        }
    }

    /** The last changes, the oldest first. */
    String report() {
        JsonArray all = new JsonArray();
        held.forEach(all::add);
        return all + "\n";
    }
}
