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
 * One type at this scheduler: which version runs, since when and from where, the last one that stood its
 * trial, and the file that keeps it. On the loop's thread, but for the file.
 */
final class TypeRun {
    private static final Logger LOG = LoggerFactory.getLogger(TypeRun.class);

    final ResourceType type;
    final VersionTracker track = new VersionTracker();
    /** What runs; null where nothing does that came by a version. Its content is never changed. */
    JsonArray running;

    String from = "";
    /** What of it waits for a restart. */
    List<String> later = List.of();
    /** The newest response's nonce on the present stream. */
    String nonce = "";

    private JsonArray good;
    private ResourceType.ParsedResources runningRead;
    private ResourceType.ParsedResources goodRead;
    private String goodFrom = "";
    private long since;
    private long goodSince;
    private final LastGood lastGood;
    private final Executor disk;

    /** @param lastGood null where none is kept */
    TypeRun(ResourceType type, LastGood lastGood, Executor disk) {
        this.type = type;
        this.lastGood = lastGood;
        this.disk = disk;
        runningRead = type.initial();
        goodRead = runningRead;
    }

    /** True if something runs that a version can be compared with and taken back to. */
    boolean hasGood() {
        return goodRead != null;
    }

    /** At the start: what the file holds runs, as good. */
    void startAt(LastGood.SavedVersion kept, ResourceType.ParsedResources read) {
        runningRead = read;
        goodRead = read;
        track.startAt(kept.version());
        running = kept.resources().getAsJsonArray("resources");
        from = "last-good";
        since = kept.adoptedMs();
        // Where the start itself was made with it, adopting it again tells that nothing waits any more.
        later = read.adopt();
        good = running;
        goodFrom = from;
        goodSince = since;
    }

    void adopt(Version version, JsonArray resources, ResourceType.ParsedResources read, String at, long nowMs) {
        later = read.adopt();
        runningRead = read;
        track.accept(version);
        running = resources;
        from = at;
        since = nowMs;
    }

    /** What runs is good: the next start may begin with it. */
    void settle() {
        track.settle();
        good = running;
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
                LOG.error("the last good {} could not be kept: {}", type.name(), e.getMessage());
            }
        });
    }

    /** Back to the last good one, or to what ran before any version. */
    void takeBack(String reason) {
        track.takeBack(reason);
        running = good;
        runningRead = goodRead;
        later = goodRead.adopt();
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
        if (!later.isEmpty()) {
            one.add("restart_needed", words(later));
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

    static JsonArray words(List<String> texts) {
        JsonArray all = new JsonArray();
        texts.forEach(all::add);
        return all;
    }
}
