package laneflow.durable;

import java.util.List;
import laneflow.decision.Dispatch.EarlierRun;

/** The names of zones in stored records: a zone's number follows from the order in one process's configuration. */
public record ZoneNames(List<String> names) {

    /** The name of the zone with this number, or the number itself if the configuration names no such zone. */
    String name(int zone) {
        return zone >= 0 && zone < names.size() ? names.get(zone) : Integer.toString(zone);
    }

    /** The number of a zone in this process; {@link EarlierRun#UNKNOWN} if its configuration has no such zone. */
    int number(String name) {
        int zone = names.isEmpty() ? List.of(name(0)).indexOf(name) : names.indexOf(name);
        return zone < 0 ? EarlierRun.UNKNOWN : zone;
    }
}
