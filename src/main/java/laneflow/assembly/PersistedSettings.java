package laneflow.assembly;

import com.google.gson.JsonArray;
import java.io.IOException;
import java.nio.file.Files;
import java.util.LinkedHashMap;
import java.util.Map;
import laneflow.config.ConfigException;
import laneflow.control.ControlConfig;
import laneflow.control.LastGood;
import laneflow.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Streamed settings of the last run: laid under the operators' file before a start reads it, so that what had
 * to wait for a restart holds from then on. Destination sets are not among them: they are adopted live.
 */
final class PersistedSettings {
    private static final Logger LOG = LoggerFactory.getLogger(PersistedSettings.class);
    private static final String[] TYPES = {"classes", "limits", "functions", "durable"};

    private PersistedSettings() {}

    /** The resources kept there, by type; what can't be read is logged and left out. */
    static Map<String, JsonArray> read(ControlConfig config) {
        Map<String, JsonArray> all = new LinkedHashMap<>();
        for (String type : TYPES) {
            LastGood.SavedVersion kept = config.folder == null || !Files.isDirectory(config.folder)
                    ? null
                    : read(new LastGood(config.folder, type));
            if (kept != null) {
                all.put(type, kept.resources().getAsJsonArray("resources"));
            }
        }
        return all;
    }

    /** Reads a setup under what was kept. */
    interface Reading {
        Setup read() throws IOException, WireException;
    }

    /** What was read, or null where what was kept does not fit the operators' file. */
    static Setup unless(Reading reading) throws IOException, WireException {
        try {
            return reading.read();
        } catch (ConfigException e) {
            LOG.error("the last good versions do not fit the file: it is used alone. {}", e.getMessage());
            return null;
        }
    }

    /** What a file holds, or null. */
    static LastGood.SavedVersion read(LastGood file) {
        try {
            return file.read();
        } catch (IOException e) {
            LOG.error("config: the last good version is passed over: {}", e.getMessage());
            return null;
        }
    }
}
