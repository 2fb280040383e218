package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import laneflow.config.Findings;
import laneflow.config.OperatorFile;
import laneflow.config.Table;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Settings;
import laneflow.http.Config;
import laneflow.net.Loop;
import laneflow.wire.SettingsReader;
import laneflow.wire.WireException;

/**
 * The resource types other than destination sets: classes, limits, functions of the Gearman front, settings of
 * durable jobs. A resource corresponds to a table of the operators' file and is read by the same reader, so
 * ranges and keywords are the same in both. Settings that can't change under open requests are reported as
 * needing a restart and take effect at the next start.
 */
public final class SettingTypes {

    /** Limits of this process: file descriptors, and bytes of heap. */
    public record ProcessLimits(long descriptors, long heap) {}

    /** Initial size of a connection's two ring buffers. */
    private static final long CONNECTION_BYTES = 2 * 2048;

    private SettingTypes() {}

    /** A type read by a function; a resource is rejected if the function adds findings. */
    private static final class Setting implements ResourceType {
        private final String name;
        private final ResourceSchema schema;
        private final BiFunction<JsonArray, List<String>, Adoption> reader;
        private final Adoption initial;

        Setting(String name, Adoption initial, BiFunction<JsonArray, List<String>, Adoption> reader) {
            this.initial = initial;
            this.name = name;
            this.schema = new ResourceSchema(name);
            this.reader = reader;
        }

        @Override
        public String name() {
            return name;
        }

        private static ParsedResources reading(List<String> findings, int count, Adoption adoption) {
            return new ParsedResources(findings, count) {
                @Override
                public List<String> adopt() {
                    return adoption.run();
                }
            };
        }

        @Override
        public ParsedResources initial() {
            return reading(List.of(), 0, initial);
        }

        @Override
        public ParsedResources read(JsonArray resources) {
            List<String> findings = schema.findings(resources);
            Adoption adoption = findings.isEmpty() ? reader.apply(resources, findings) : null;
            return reading(findings, resources.size(), adoption);
        }
    }

    /** Adopts the settings and returns what needs a restart. */
    private interface Adoption {
        List<String> run();
    }

    /**
     * The type of classes. Aims, deadlines, stretches and worths change under traffic and apply to later requests.
     * Effects and deduplication windows need a restart: open requests and durable jobs rely on them.
     *
     * @param settings the running settings, whose classes are replaced on the loop's thread
     */
    public static ResourceType classes(Settings settings, List<String> names) {
        JobClass[] initialClasses = settings.classes.clone();
        Adoption initial = () -> {
            System.arraycopy(initialClasses, 0, settings.classes, 0, initialClasses.length);
            return List.of();
        };
        return new Setting("classes", initial, (resources, errors) -> {
            Findings findings = Findings.paths();
            JsonArray classes = new JsonArray();
            JsonArray stretches = new JsonArray();
            List<String> named = new ArrayList<>();
            for (int i = 0; i < resources.size(); i++) {
                JsonObject resource = resources.get(i).getAsJsonObject().deepCopy();
                String name = resource.remove("name").getAsString();
                String path = "resources[" + i + "]";
                OperatorFile.classOf(name, Table.of(resource, path, findings), classes, stretches);
                named.add(name);
                int index = names.indexOf(name);
                boolean never = !resource.has("repeat")
                        || resource.get("repeat").getAsString().equals("never");
                if (index >= 0 && initialClasses[index].effect == Effect.UNSAFE && !never) {
                    findings.add(
                            path,
                            "repeat",
                            "'" + name + "' must not run twice here: no version declares" + " it safe to repeat");
                }
            }
            for (String name : names) {
                if (!named.contains(name)) {
                    findings.add("resources", "", "class '" + name + "' is missing: it may have open requests");
                }
            }
            errors.addAll(findings.all());
            if (!errors.isEmpty()) {
                return null;
            }
            JsonObject json = new JsonObject();
            json.add("classes", classes);
            json.add("familyInfo", OperatorFile.familyInfo(stretches));
            JobClass[] read;
            try {
                read = SettingsReader.read(json.toString()).settings.classes;
            } catch (WireException e) {
                errors.add("resources: " + e.getMessage());
                return null;
            }
            return () -> {
                List<String> needRestart = new ArrayList<>();
                for (int i = 0; i < read.length; i++) {
                    int index = names.indexOf(named.get(i));
                    if (index < 0) {
                        needRestart.add(named.get(i) + ": is a class from the next start on");
                    } else {
                        adopt(named.get(i), settings.classes, index, read[i], needRestart);
                    }
                }
                return needRestart;
            };
        });
    }

    private static void adopt(String name, JobClass[] classes, int index, JobClass to, List<String> needRestart) {
        JobClass from = classes[index];
        if (from.effect != to.effect || from.dedupWindow != to.dedupWindow) {
            needRestart.add(name + ": repeat and window_ms from the next start on");
        }
        JobClass next = new JobClass();
        next.aim = to.aim;
        next.stretch = to.stretch;
        next.deadline = to.deadline;
        next.worth = to.worth;
        next.lateWorth = from.lateWorth;
        next.effect = from.effect;
        next.group = from.group;
        next.dedupWindow = from.dedupWindow;
        next.kind = from.kind;
        next.stream = from.stream;
        classes[index] = next;
    }

    /** The type of limits: those on retries and refusals change under traffic, the others need a restart. */
    public static ResourceType limits(Settings settings, Config config, ProcessLimits processLimits) {
        int maxAttempts = settings.maxAttempts;
        boolean retryAfter = settings.retryAfter;
        double maxRetryAfter = settings.maxRetryAfter;
        int sockets = config.maxSockets;
        Adoption initial = () -> {
            settings.maxAttempts = maxAttempts;
            settings.retryAfter = retryAfter;
            settings.maxRetryAfter = maxRetryAfter;
            return List.of();
        };
        return new Setting("limits", initial, (resources, errors) -> {
            Findings findings = Findings.paths();
            JsonObject resource = resources.get(0).getAsJsonObject().deepCopy();
            resource.remove("name");
            JsonElement listen = resource.remove("listen");
            checkListen(listen, findings);
            JsonObject platform = new JsonObject();
            JsonObject read = new JsonObject();
            OperatorFile.limits(Table.of(resource, "resources[0]", findings), platform, read);
            int newSockets = platform.getAsJsonObject("limits").get("sockets").getAsInt();
            if (newSockets > processLimits.descriptors()) {
                findings.add(
                        "resources[0]",
                        "sockets",
                        newSockets + " is more than the " + processLimits.descriptors()
                                + " descriptors that this process may have");
            }
            if (newSockets * CONNECTION_BYTES > processLimits.heap() / 2) {
                findings.add(
                        "resources[0]",
                        "sockets",
                        newSockets + " connections begin with "
                                + newSockets * CONNECTION_BYTES + " bytes, more than half of the "
                                + processLimits.heap()
                                + " that this process may have");
            }
            errors.addAll(findings.all());
            JsonObject limits = read.getAsJsonObject("limits");
            return () -> {
                List<String> needRestart = new ArrayList<>();
                settings.maxAttempts = limits.get("maxAttempts").getAsInt();
                settings.retryAfter = limits.get("retryAfter").getAsBoolean();
                settings.maxRetryAfter = limits.get("maxRetryAfter").getAsDouble();
                if (listen != null && !listen.getAsString().equals(config.listen)) {
                    needRestart.add("listen: from the next start on");
                }
                if (newSockets != sockets) {
                    needRestart.add("sockets: " + newSockets + " from the next start on, " + sockets + " until then");
                }
                if (limits.get("connectTimeout").getAsDouble() != settings.connectTimeout) {
                    needRestart.add("connect_timeout_ms: from the next start on");
                }
                if (limits.get("cancel").getAsBoolean() != settings.mayCancel
                        || limits.get("probes").getAsBoolean() != settings.mayProbe) {
                    needRestart.add("cancel and probes: from the next start on");
                }
                if (limits.get("connIdle").getAsDouble() != config.idleConnectionSeconds) {
                    needRestart.add("endpoint_idle_ms: from the next start on");
                }
                return needRestart;
            };
        });
    }

    /**
     * The type of the module's settings, a resource named {@code module}: the probability of choosing the
     * neighbouring zone and the retry budget. They apply to later requests.
     */
    public static ResourceType module(Settings settings) {
        double[] initialValues = {settings.crossEachWay, settings.retryFree, settings.retryShare, settings.retryWindow};
        return new Setting("module", () -> adopt(settings, initialValues), (resources, errors) -> {
            Findings findings = Findings.paths();
            JsonObject resource = resources.get(0).getAsJsonObject().deepCopy();
            resource.remove("name");
            JsonObject rules = new JsonObject();
            OperatorFile.module(Table.of(resource, "resources[0]", findings), rules);
            errors.addAll(findings.all());
            double[] read = {
                rules.get("crossEachWay").getAsDouble(),
                rules.get("spareAttempts").getAsDouble(),
                rules.get("repeatRatio").getAsDouble(),
                rules.get("resendSpan").getAsDouble()
            };
            return () -> adopt(settings, read);
        });
    }

    private static List<String> adopt(Settings settings, double[] to) {
        settings.crossEachWay = to[0];
        settings.retryFree = to[1];
        settings.retryShare = to[2];
        settings.retryWindow = to[3];
        return List.of();
    }

    private static void checkListen(JsonElement listen, Findings findings) {
        try {
            if (listen != null) {
                Loop.parseAddress(listen.getAsString());
            }
        } catch (IllegalArgumentException e) {
            findings.add("resources[0]", "listen", e.getMessage());
        }
    }

    /**
     * A type whose resources are tables of a subsystem, read by that subsystem.
     *
     * @param shape converts the resources to the subsystem's table
     * @param initial the settings in effect before the first version
     * @param reader reads that table and adds errors to its findings
     * @param adoption adopts the result on the loop's thread and returns what needs a restart
     */
    public static <T> ResourceType table(
            String name,
            Function<JsonArray, JsonObject> shape,
            Function<Table, T> reader,
            T initial,
            Function<T, List<String>> adoption) {
        return new Setting(name, () -> adoption.apply(initial), (resources, errors) -> {
            Findings findings = Findings.paths();
            T read = reader.apply(Table.of(shape.apply(resources), "resources", findings));
            errors.addAll(findings.all());
            return () -> adoption.apply(read);
        });
    }

    /** Returns the resources keyed by name, with the name removed from each. */
    public static JsonObject byName(JsonArray resources) {
        JsonObject tables = new JsonObject();
        resources.forEach(resource -> {
            JsonObject table = resource.getAsJsonObject().deepCopy();
            tables.add(table.remove("name").getAsString(), table);
        });
        return tables;
    }
}
