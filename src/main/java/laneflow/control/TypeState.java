package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import laneflow.control.decision.Version;
import laneflow.control.decision.VersionTracker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state of one resource type at this scheduler: the running version with its time and source, the last good
 * version, and the file that saves it. Runs on the loop's thread, except for file I/O.
 */
final class TypeState {
    private static final Logger LOG = LoggerFactory.getLogger(TypeState.class);

    final ResourceType type;
    final VersionTracker tracker = new VersionTracker();
    /** The running resources; null before the first version. Never modified. */
    JsonArray running;

    String source = "";
    /** Parts of the running version that need a restart. */
    List<String> needRestart = List.of();
    /** Nonce of the latest response on the current stream. */
    String nonce = "";

    private JsonArray goodResources;
    private ResourceType.ParsedResources runningParsed;
    private ResourceType.ParsedResources goodParsed;
    private String goodSource = "";
    private long adoptedMs;
    private long goodAdoptedMs;
    private final LastGood lastGood;
    private final Executor disk;

    /** @param lastGood null if versions are not saved */
    TypeState(ResourceType type, LastGood lastGood, Executor disk) {
        this.type = type;
        this.lastGood = lastGood;
        this.disk = disk;
        runningParsed = type.initial();
        goodParsed = runningParsed;
    }

    /** Returns whether there is a good state to compare a version with and to roll back to. */
    boolean hasGood() {
        return goodParsed != null;
    }

    /** Starts with the saved version, which counts as good. */
    void startAt(LastGood.SavedVersion saved, ResourceType.ParsedResources parsed) {
        runningParsed = parsed;
        goodParsed = parsed;
        tracker.startAt(saved.version());
        running = saved.resources().getAsJsonArray("resources");
        source = "last-good";
        adoptedMs = saved.adoptedMs();
        // If the settings were already loaded from this version, adopting it reports nothing that needs a restart.
        needRestart = parsed.adopt();
        goodResources = running;
        goodSource = source;
        goodAdoptedMs = adoptedMs;
    }

    void adopt(Version version, JsonArray resources, ResourceType.ParsedResources parsed, String address, long nowMs) {
        needRestart = parsed.adopt();
        runningParsed = parsed;
        tracker.accept(version);
        running = resources;
        source = address;
        adoptedMs = nowMs;
    }

    /** Marks the running version as good and saves it for the next start. */
    void settle() {
        tracker.settle();
        goodResources = running;
        goodParsed = runningParsed;
        goodSource = source;
        goodAdoptedMs = adoptedMs;
        if (lastGood == null) {
            return;
        }
        JsonObject json = new JsonObject();
        json.add("resources", running);
        LastGood.SavedVersion saved = new LastGood.SavedVersion(type.url(), tracker.running(), adoptedMs, json);
        disk.execute(() -> {
            try {
                lastGood.write(saved);
            } catch (IOException e) {
                LOG.error("the last good version of {} could not be saved: {}", type.name(), e.getMessage());
            }
        });
    }

    /** Rolls back to the last good version, or to the state before the first version. */
    void takeBack(String reason) {
        tracker.takeBack(reason);
        running = goodResources;
        runningParsed = goodParsed;
        needRestart = goodParsed.adopt();
        source = goodSource;
        adoptedMs = goodAdoptedMs;
    }

    JsonObject report() {
        JsonObject report = new JsonObject();
        report.addProperty("version", tracker.running().toString());
        report.addProperty("since_ms", adoptedMs);
        report.addProperty("from", source);
        report.addProperty("on_trial", tracker.isOnTrial());
        report.addProperty("gaps", tracker.gaps());
        if (!needRestart.isEmpty()) {
            report.add("restart_needed", toJson(needRestart));
        }
        Map.Entry<Version, String> last = tracker.lastRefused();
        if (last != null) {
            JsonObject refused = new JsonObject();
            refused.addProperty("version", last.getKey().toString());
            refused.addProperty("reason", last.getValue());
            report.add("last_refused", refused);
        }
        return report;
    }

    static JsonArray toJson(List<String> texts) {
        JsonArray array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }
}
