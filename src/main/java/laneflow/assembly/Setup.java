package laneflow.assembly;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laneflow.capacity.CapacityConfig;
import laneflow.config.Findings;
import laneflow.config.OperatorFile;
import laneflow.control.ControlConfig;
import laneflow.durable.DurableConfig;
import laneflow.fleet.FleetConfig;
import laneflow.gearman.GearmanConfig;
import laneflow.http.Config;
import laneflow.maintenance.MaintenanceConfig;
import laneflow.membership.MembersConfig;
import laneflow.policy.PolicyConfig;
import laneflow.task.TaskConfig;
import laneflow.wire.WireException;

/** All that a scheduler is told at its start; null stands for a front or a subsystem that is off. */
public record Setup(
        Config config,
        GearmanConfig gearman,
        DurableConfig durable,
        ControlConfig control,
        FleetConfig fleet,
        PolicyConfig policy,
        MembersConfig members,
        TaskConfig tasks,
        CapacityConfig capacity,
        MaintenanceConfig maintenance,
        Map<String, String> fixed) {
    private static final String PLATFORM = "the platform's file decides this here";
    private static final List<String> FLEETS = List.of("classes", "limits");
    private static final String FLEET = "the fleet decides this together: laneflow policy propose";

    /**
     * What keeps types from the stream, by type: those decided elsewhere, and those that the fleet decides.
     */
    Map<String, String> notStreamed() {
        Map<String, String> all = new HashMap<>(fixed);
        if (policy != null) {
            FLEETS.forEach(type -> all.putIfAbsent(type, FLEET));
        }
        return all;
    }

    /** Nothing of the stream's types is decided elsewhere. */
    public Setup(Config config, GearmanConfig gearman, DurableConfig durable, ControlConfig control) {
        this(config, gearman, durable, control, null, null, null, null, null, null, Map.of());
    }

    /** The platform's file, with a Gearman file and a destination set beside it, each unless null. */
    public static Setup platform(Path file, Path gearman, Path destinations) throws IOException, WireException {
        Config config = Config.read(file, destinations);
        return new Setup(
                config,
                gearman == null
                        ? null
                        : GearmanConfig.read(gearman, config.settings, List.of(config.classNames), config.zones),
                null,
                null);
    }

    /**
     * The operators' file, and the platform's unless null: what that names, it decides. All that is wrong
     * with the operators' file is told at once, in a {@link laneflow.config.ConfigException}.
     */
    public static Setup operators(Path file, Path platform, Path destinations) throws IOException, WireException {
        OperatorFile plain = OperatorFile.read(file);
        Map<String, JsonArray> streamed =
                plain.control() == null || !plain.findings().isEmpty()
                        ? new HashMap<>()
                        : PersistedSettings.read(ControlConfig.read(plain.control()));
        if (plain.policy() != null) {
            // What the fleet decides is learned from it, not from a disk.
            FLEETS.forEach(streamed::remove);
        }
        if (!streamed.isEmpty()) {
            Setup under = PersistedSettings.unless(
                    () -> operators(OperatorFile.read(file, streamed), platform, destinations));
            if (under != null) {
                return under;
            }
        }
        return operators(OperatorFile.read(file), platform, destinations);
    }

    private static Setup operators(OperatorFile operators, Path platform, Path destinations)
            throws IOException, WireException {
        Findings findings = operators.findings();
        JsonObject all = operators.platform();
        Map<String, String> fixed = new HashMap<>();
        if (platform != null) {
            JsonObject named = Config.readJson(platform);
            JsonObject settings = named.has("settings") ? named.getAsJsonObject("settings") : new JsonObject();
            if (settings.has("classes")) {
                fixed.put("classes", PLATFORM);
            }
            if (settings.has("limits") || named.has("limits") || named.has("listen")) {
                fixed.put("limits", PLATFORM);
            }
            if (settings.has("rules")) {
                fixed.put("module", PLATFORM);
            }
            all = operators.withDefaults(named);
        }
        if (all.has("discovery")) {
            // Two sources of one set would undo each other's changes.
            fixed.put("destinations", "discovery names the endpoints here");
        }
        if (destinations != null) {
            Config.setDestinations(all, destinations);
        }
        JsonObject settings = all.getAsJsonObject("settings");
        if (!all.has("listen")) {
            findings.add("", "listen", "is missing");
        }
        if (settings == null || !settings.has("classes")) {
            findings.add("", "classes", "no [classes.NAME]");
            findings.throwIfAny();
        }
        Config config = Config.parse(all.toString());
        List<String> classes = List.of(config.classNames);
        GearmanConfig gearman = operators.gearman() == null
                ? null
                : GearmanConfig.read(operators.gearman(), config.settings, classes, config.zones);
        DurableConfig durable =
                operators.durable() == null ? null : DurableConfig.read(operators.durable(), config.settings, classes);
        if (gearman != null && durable == null) {
            gearman.functions.values().stream()
                    .filter(GearmanConfig.Function::durable)
                    .forEach(function -> findings.add(
                            "gearman.functions." + function.name(),
                            "durable",
                            "is true, but there is no [durable] that says where such jobs are kept"));
        }
        ControlConfig control = operators.control() == null ? null : ControlConfig.read(operators.control());
        FleetConfig fleet = operators.fleet() == null ? null : FleetConfig.read(operators.fleet(), config.name);
        PolicyConfig policy = operators.policy() == null ? null : PolicyConfig.read(operators.policy(), fleet);
        MembersConfig members = operators.members() == null ? null : MembersConfig.read(operators.members(), fleet);
        TaskConfig tasks = operators.tasks() == null ? null : TaskConfig.read(operators.tasks(), policy);
        if (tasks != null
                && tasks.stores != null
                && (durable == null
                        || fleet == null
                        || !tasks.stores.resolve(fleet.name).equals(durable.dir))) {
            findings.add(
                    "tasks",
                    "stores",
                    "is where the stores of all schedulers lie: [durable] dir must be"
                            + " in it, by the scheduler's own name"
                            + (fleet == null ? "" : ", " + tasks.stores.resolve(fleet.name)));
        }
        CapacityConfig capacity =
                operators.capacity() == null ? null : CapacityConfig.read(operators.capacity(), members);
        MaintenanceConfig maintenance = operators.maintenance() == null
                ? null
                : MaintenanceConfig.read(operators.maintenance(), policy, tasks, settings, hosts(all));
        if (policy != null && policy.tellsPolicy && control != null && control.tellVersions) {
            findings.add("policy", "tell_policy", "and [control] tell_versions name one header: only one of them");
        }
        findings.throwIfAny();
        return new Setup(
                config, gearman, durable, control, fleet, policy, members, tasks, capacity, maintenance, fixed);
    }

    /** The endpoints that are known at the start, in the platform's form. */
    private static JsonArray hosts(JsonObject all) {
        JsonObject known = all.has("known") ? all.getAsJsonObject("known") : new JsonObject();
        return known.has("hosts") ? known.getAsJsonArray("hosts") : new JsonArray();
    }
}
