package laneflow.control;

import com.google.gson.JsonArray;
import java.util.List;

/**
 * One type of resources on the stream. Reading is apart from adopting: it is done on a thread of its own,
 * touches nothing that runs, and says all that is wrong; adopting happens on the loop, within one turn.
 */
public interface ResourceType {
    /** All types' names on the stream begin so. */
    String PREFIX = "type.laneflow/";

    /**
     * What a whole state of the type was read as. All but its making happens on the loop's thread; it may be
     * adopted as often as wanted, as when a later one is taken back.
     */
    abstract class ParsedResources {
        /** All that is wrong, each with the path to its value; adopted is only what has none. */
        public final List<String> findings;
        /** How many resources there are. */
        public final int count;

        protected ParsedResources(List<String> findings, int count) {
            this.findings = findings;
            this.count = count;
        }

        /**
         * A step, in a turn of its own, that makes adopting a short one and changes nothing that runs; false
         * once there is nothing left to prepare.
         */
        public boolean prepare() {
            return false;
        }

        /** Puts it to work, whole; returns what of it waits for a restart, and why. */
        public abstract List<String> adopt();

        /** A step of what can be done behind adopting; false once there is nothing left. */
        public boolean cleanUp() {
            return false;
        }
    }

    /** The type's short name: of its file, and behind {@link #PREFIX} on the stream. */
    String name();

    /** The type's name on the stream. */
    default String url() {
        return PREFIX + name();
    }

    /** What runs before any version has come, or null where nothing does. */
    default ParsedResources initial() {
        return null;
    }

    /** True if the next start does with it what adopting did: what is kept was laid under the file then. */
    default boolean isAppliedAtStart() {
        return true;
    }

    /** Reads a whole state, in form and in sense. Any thread; nothing that runs is touched. */
    ParsedResources read(JsonArray resources);
}
