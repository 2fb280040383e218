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

/** The resource types that a scheduler with a given setup accepts from the configuration stream. */
public final class StreamedTypes {
    private static final String OPEN_FILES_LIMIT = "Max open files";

    /** Applies parsed resources on the loop; each method returns the changes that need a restart. */
    public interface Adopters extends DestinationType.Adopter {
        /** For validation without a running scheduler. */
        Adopters NONE = new Adopters() {};

        @Override
        default StagedUpdate replacement(List<Entry> entries, Set<String> names) {
            throw new IllegalStateException("no running scheduler to apply a destination set to");
        }

        default List<String> functions(GearmanConfig config) {
            return List.of();
        }

        default List<String> durable(DurableConfig config) {
            return List.of();
        }
    }

    private StreamedTypes() {}

    /** Returns all types except those that another source decides, see {@link Setup#notStreamed}. */
    public static List<ResourceType> all(Setup setup, Adopters adopters) throws IOException {
        Config config = setup.config();
        Settings settings = config.settings;
        List<String> classes = List.of(config.classNames);
        List<ResourceType> types = new ArrayList<>();
        types.add(
                new DestinationType(config.zones, classes, setup.control().allowed, setup.gearman() != null, adopters));
        types.add(SettingTypes.classes(settings, classes));
        types.add(SettingTypes.limits(settings, config, processLimits()));
        if (setup.gearman() != null) {
            GearmanConfig base = setup.gearman().copy();
            types.add(SettingTypes.table(
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
            types.add(SettingTypes.table(
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
        types.removeIf(type -> setup.notStreamed().containsKey(type.name()));
        return types;
    }

    /** The limits of this process on open files and memory. */
    static SettingTypes.ProcessLimits processLimits() throws IOException {
        return new SettingTypes.ProcessLimits(
                maxOpenFiles(), Runtime.getRuntime().maxMemory());
    }

    /** The kernel's hard limit on open files, or {@code Long.MAX_VALUE} where it is unlimited or unknown. */
    private static long maxOpenFiles() throws IOException {
        Path limits = Path.of("/proc/self/limits");
        if (Files.isReadable(limits)) {
            for (String line : Files.readAllLines(limits)) {
                if (line.startsWith(OPEN_FILES_LIMIT)) {
                    String hardLimit =
                            line.substring(OPEN_FILES_LIMIT.length()).strip().split(" +")[1];
                    return hardLimit.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(hardLimit);
                }
            }
        }
        return Long.MAX_VALUE;
    }
}
