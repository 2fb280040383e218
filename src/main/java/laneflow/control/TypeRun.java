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
final class TypeRun {
    private static final Logger LOG = LoggerFactory.getLogger(TypeRun.class);

    final ResourceType type;
    final VersionTracker track = new VersionTracker();
    /** The running resources; null before the first version. Never modified. */
    JsonArray running;

    String from = "";
    /** Parts of the running version that need a restart. */
    List<String> needRestart = List.of();
    /** Nonce of the latest response on the current stream. */
    String nonce = "";

    private JsonArray goodResources;
    private ResourceType.ParsedResources runningRead;
    private ResourceType.ParsedResources goodRead;
    private String goodFrom = "";
    private long since;
    private long goodSince;
    private final LastGood lastGood;
    private final Executor disk;

    /** @param lastGood null if versions are not saved */
    TypeRun(ResourceType type, LastGood lastGood, Executor disk) {
        this.type = type;
        this.lastGood = lastGood;
        this.disk = disk;
        runningRead = type.initial();
        goodRead = runningRead;
    }

    /** Returns whether there is a good state to compare a version with and to roll back to. */
    boolean hasGood() {
        return goodRead != null;
    }

    /** Starts with the saved version, which counts as good. */
    void startAt(LastGood.SavedVersion kept, ResourceType.ParsedResources read) {
        runningRead = read;
        goodRead = read;
        track.startAt(kept.version());
        running = kept.resources().getAsJsonArray("resources");
        from = "last-good";
        since = kept.adoptedMs();
        // If the settings were already loaded from this version, adopting it reports nothing that needs a restart.
        needRestart = read.adopt();
        goodResources = running;
        goodFrom = from;
        goodSince = since;
    }

    void adopt(Version version, JsonArray resources, ResourceType.ParsedResources read, String at, long nowMs) {
        needRestart = read.adopt();
        runningRead = read;
        track.accept(version);
        running = resources;
        from = at;
        since = nowMs;
    }

    /** Marks the running version as good and saves it for the next start. */
    void settle() {
        track.settle();
        goodResources = running;
        goodRead = runningRead;
        goodFrom = from;
        goodSince = since;
        if (lastGood == null) {
            return;
        }
        JsonObject all = new JsonObject();
        all.add("resources", running);
        LastGood.SavedVersion kept = new LastGood.SavedVersion(type.url(), track.running(), since, all);
        disk.execute(() -> {
            try {
                lastGood.write(kept);
            } catch (IOException e) {
                LOG.error("the last good version of {} could not be saved: {}", type.name(), e.getMessage());
            }
        });
    }

    /** Rolls back to the last good version, or to the state before the first version. */
    void takeBack(String reason) {
        track.takeBack(reason);
        running = goodResources;
        runningRead = goodRead;
        needRestart = goodRead.adopt();
        from = goodFrom;
        since = goodSince;
    }

    JsonObject report() {
        JsonObject one = new JsonObject();
        one.addProperty("version", track.running().toString());
        one.addProperty("since_ms", since);
        one.addProperty("from", from);
        one.addProperty("on_trial", track.isOnTrial());
        one.addProperty("gaps", track.gaps());
        if (!needRestart.isEmpty()) {
            one.add("restart_needed", toJson(needRestart));
        }
        Map.Entry<Version, String> last = track.lastRefused();
        if (last != null) {
            JsonObject refused = new JsonObject();
            refused.addProperty("version", last.getKey().toString());
            refused.addProperty("reason", last.getValue());
            one.add("last_refused", refused);
        }
        return one;
    }

    static JsonArray toJson(List<String> texts) {
        JsonArray all = new JsonArray();
        texts.forEach(all::add);
        return all;
    }
}
