package laneflow.control;

import com.google.gson.JsonArray;
import java.util.List;

/**
 * A resource type of the stream. Reading and adopting are separate: reading runs on its own thread, reports all
 * errors and changes no running state; adopting happens on the event loop, within one turn.
 */
public interface ResourceType {
    /** Prefix of all type names on the stream. */
    String PREFIX = "type.laneflow/";

    /**
     * The parsed full state of a type. Created on the reading thread, otherwise used on the loop's thread. It may
     * be adopted several times, for example when a later version is rolled back.
     */
    abstract class ParsedResources {
        /** All errors, each with the path to its value; only a state without any is adopted. */
        public final List<String> findings;
        /** Number of resources. */
        public final int count;

        protected ParsedResources(List<String> findings, int count) {
            this.findings = findings;
            this.count = count;
        }

        /**
         * Runs one step of preparation, in its own turn, that shortens adoption and changes no running state;
         * returns false once nothing is left to prepare.
         */
        public boolean prepare() {
            return false;
        }

        /** Adopts the whole state; returns the parts that need a restart, with reasons. */
        public abstract List<String> adopt();

        /** Runs one step of the work deferred until after adoption; returns false once nothing is left. */
        public boolean cleanUp() {
            return false;
        }
    }

    /** The type's short name: used for its file, and after {@link #PREFIX} on the stream. */
    String name();

    /** The type's name on the stream. */
    default String url() {
        return PREFIX + name();
    }

    /** The state in effect before the first version, or null if there is none. */
    default ParsedResources initial() {
        return null;
    }

    /** Whether the saved version is merged into the operators' file at the next start, as adoption applied it. */
    default boolean isAppliedAtStart() {
        return true;
    }

    /** Parses and validates a full state. Callable on any thread; changes no running state. */
    ParsedResources read(JsonArray resources);
}
