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

/**
 * The configuration of a scheduler at its start. A component is null where its front or subsystem is off.
 *
 * @param fixed the resource types that neither the stream nor the fleet may set, each with the reason
 */
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
    private static final String SET_BY_PLATFORM = "the platform's file decides this here";
    private static final List<String> FLEET_TYPES = List.of("classes", "limits");
    private static final String SET_BY_FLEET = "the fleet decides this together: laneflow policy propose";

    /**
     * Returns the resource types that the stream may not set, each with the reason: the fixed types and those that
     * the fleet decides.
     */
    Map<String, String> notStreamed() {
        Map<String, String> reasons = new HashMap<>(fixed);
        if (policy != null) {
            FLEET_TYPES.forEach(type -> reasons.putIfAbsent(type, SET_BY_FLEET));
        }
        return reasons;
    }

    /** Creates a setup without fleet subsystems and without fixed types. */
    public Setup(Config config, GearmanConfig gearman, DurableConfig durable, ControlConfig control) {
        this(config, gearman, durable, control, null, null, null, null, null, null, Map.of());
    }

    /** Reads the platform's file and, unless null, a Gearman file and a destination set. */
    public static Setup fromPlatformFile(Path file, Path gearman, Path destinations) throws IOException, WireException {
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
     * Reads the operators' file and, unless null, the platform's file, whose settings take precedence. All errors
     * in the operators' file are reported together in one {@link laneflow.config.ConfigException}.
     */
    public static Setup fromOperatorsFile(Path file, Path platform, Path destinations)
            throws IOException, WireException {
        OperatorFile withoutSaved = OperatorFile.read(file);
        Map<String, JsonArray> streamed =
                withoutSaved.control() == null || !withoutSaved.findings().isEmpty()
                        ? new HashMap<>()
                        : PersistedSettings.read(ControlConfig.read(withoutSaved.control()));
        if (withoutSaved.policy() != null) {
            // The fleet's decisions come from its policy, not from saved files.
            FLEET_TYPES.forEach(streamed::remove);
        }
        if (!streamed.isEmpty()) {
            Setup withSaved = PersistedSettings.readUnlessConflicting(
                    () -> fromOperatorsFile(OperatorFile.read(file, streamed), platform, destinations));
            if (withSaved != null) {
                return withSaved;
            }
        }
        return fromOperatorsFile(OperatorFile.read(file), platform, destinations);
    }

    private static Setup fromOperatorsFile(OperatorFile operators, Path platform, Path destinations)
            throws IOException, WireException {
        Findings findings = operators.findings();
        JsonObject platformConfig = operators.platform();
        Map<String, String> fixed = new HashMap<>();
        if (platform != null) {
            JsonObject platformJson = Config.readJson(platform);
            JsonObject settings =
                    platformJson.has("settings") ? platformJson.getAsJsonObject("settings") : new JsonObject();
            if (settings.has("classes")) {
                fixed.put("classes", SET_BY_PLATFORM);
            }
            if (settings.has("limits") || platformJson.has("limits") || platformJson.has("listen")) {
                fixed.put("limits", SET_BY_PLATFORM);
            }
            if (settings.has("rules")) {
                fixed.put("module", SET_BY_PLATFORM);
            }
            platformConfig = operators.withDefaults(platformJson);
        }
        if (platformConfig.has("discovery")) {
            // Discovery and the stream would undo each other's changes to the same set.
            fixed.put("destinations", "discovery names the endpoints here");
        }
        if (destinations != null) {
            Config.setDestinations(platformConfig, destinations);
        }
        JsonObject settings = platformConfig.getAsJsonObject("settings");
        if (!platformConfig.has("listen")) {
            findings.add("", "listen", "is missing");
        }
        if (settings == null || !settings.has("classes")) {
            findings.add("", "classes", "no [classes.NAME]");
            findings.throwIfAny();
        }
        Config config = Config.parse(platformConfig.toString());
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
                : MaintenanceConfig.read(
                        operators.maintenance(), policy, tasks, settings, initialHosts(platformConfig));
        if (policy != null && policy.tellsPolicy && control != null && control.tellVersions) {
            findings.add("policy", "tell_policy", "and [control] tell_versions name one header: only one of them");
        }
        findings.throwIfAny();
        return new Setup(
                config, gearman, durable, control, fleet, policy, members, tasks, capacity, maintenance, fixed);
    }

    /** Returns the endpoints that are known at the start, in the platform's format. */
    private static JsonArray initialHosts(JsonObject platformConfig) {
        JsonObject known = platformConfig.has("known") ? platformConfig.getAsJsonObject("known") : new JsonObject();
        return known.has("hosts") ? known.getAsJsonArray("hosts") : new JsonArray();
    }
}
