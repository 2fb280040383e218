package laneflow.assembly;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import laneflow.control.DestinationType;
import laneflow.control.ResourceType;
import laneflow.control.SettingTypes;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.StagedUpdate;
import laneflow.decision.Dispatch.Settings;
import laneflow.durable.DurableConfig;
import laneflow.gearman.GearmanConfig;
import laneflow.http.Config;

/** The types of the stream that a scheduler with this setup takes. */
public final class StreamedTypes {
    private static final String OPEN_FILES = "Max open files";

    /** Who puts to work what was read, on the loop's thread; each returns what waits for a restart. */
    public interface Adopters extends DestinationType.Adopter {
        /** Of no scheduler: for those who only read. */
        Adopters NONE = new Adopters() {};

        @Override
        default StagedUpdate replacement(List<Entry> entries, Set<String> named) {
            throw new IllegalStateException("adopted by nobody");
        }

        default List<String> functions(GearmanConfig read) {
            return List.of();
        }

        default List<String> durable(DurableConfig read) {
            return List.of();
        }
    }

    private StreamedTypes() {}

    /** All of them, but for those that something else decides here. */
    public static List<ResourceType> all(Setup setup, Adopters adopters) throws IOException {
        Config config = setup.config();
        Settings settings = config.settings;
        List<String> classes = List.of(config.classNames);
        List<ResourceType> all = new ArrayList<>();
        all.add(new DestinationType(config.zones, classes, setup.control().allowed, setup.gearman() != null, adopters));
        all.add(SettingTypes.classes(settings, classes));
        all.add(SettingTypes.limits(settings, config, ceilings()));
        if (setup.gearman() != null) {
            GearmanConfig base = setup.gearman().copy();
            all.add(SettingTypes.table(
                    "functions",
                    resources -> {
                        JsonObject table = new JsonObject();
                        table.addProperty("listen", base.listen);
                        if (!config.zones.isEmpty()) {
                            table.addProperty("zone", config.zones.get(base.zone));
                        }
                        table.add("functions", SettingTypes.byName(resources));
                        return table;
                    },
                    table -> GearmanConfig.read(table, settings, classes, config.zones),
                    base,
                    adopters::functions));
        }
        if (setup.durable() != null) {
            all.add(SettingTypes.table(
                    "durable",
                    resources -> {
                        JsonObject table = resources.get(0).getAsJsonObject().deepCopy();
                        table.remove("name");
                        return table;
                    },
                    table -> DurableConfig.read(table, settings, classes),
                    setup.durable().copy(),
                    adopters::durable));
        }
        all.removeIf(type -> setup.notStreamed().containsKey(type.name()));
        return all;
    }

    /** What this process can hold. */
    static SettingTypes.ProcessLimits ceilings() throws IOException {
        return new SettingTypes.ProcessLimits(
                descriptors(), Runtime.getRuntime().maxMemory());
    }

    /** What the kernel lets this process open; where it does not say, as many as there are numbers. */
    private static long descriptors() throws IOException {
        Path limits = Path.of("/proc/self/limits");
        if (Files.isReadable(limits)) {
            for (String line : Files.readAllLines(limits)) {
                if (line.startsWith(OPEN_FILES)) {
                    String hard = line.substring(OPEN_FILES.length()).strip().split(" +")[1];
                    return hard.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(hard);
                }
            }
        }
        return Long.MAX_VALUE;
    }
}
