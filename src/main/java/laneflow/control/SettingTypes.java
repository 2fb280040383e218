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
        private final Form form;
        private final BiFunction<JsonArray, List<String>, Adopting> reader;
        private final Adopting base;

        Setting(String name, Adopting base, BiFunction<JsonArray, List<String>, Adopting> reader) {
            this.base = base;
            this.name = name;
            this.form = new Form(name);
            this.reader = reader;
        }

        @Override
        public String name() {
            return name;
        }

        private static ParsedResources reading(List<String> findings, int count, Adopting adopting) {
            return new ParsedResources(findings, count) {
                @Override
                public List<String> adopt() {
                    return adopting.run();
                }
            };
        }

        @Override
        public ParsedResources initial() {
            return reading(List.of(), 0, base);
        }

        @Override
        public ParsedResources read(JsonArray resources) {
            List<String> findings = form.findings(resources);
            Adopting adopting = findings.isEmpty() ? reader.apply(resources, findings) : null;
            return reading(findings, resources.size(), adopting);
        }
    }

    /** Adopts the settings and returns what needs a restart. */
    private interface Adopting {
        List<String> run();
    }

    /**
     * The type of classes. Aims, deadlines, stretches and worths change under traffic and apply to later requests.
     * Effects and deduplication windows need a restart: open requests and durable jobs rely on them.
     *
     * @param settings the running settings, whose classes are replaced on the loop's thread
     */
    public static ResourceType classes(Settings settings, List<String> names) {
        JobClass[] first = settings.classes.clone();
        Adopting base = () -> {
            System.arraycopy(first, 0, settings.classes, 0, first.length);
            return List.of();
        };
        return new Setting("classes", base, (resources, errors) -> {
            Findings findings = Findings.paths();
            JsonArray classes = new JsonArray();
            JsonArray stretches = new JsonArray();
            List<String> named = new ArrayList<>();
            for (int i = 0; i < resources.size(); i++) {
                JsonObject one = resources.get(i).getAsJsonObject().deepCopy();
                String name = one.remove("name").getAsString();
                String path = "resources[" + i + "]";
                OperatorFile.classOf(name, Table.of(one, path, findings), classes, stretches);
                named.add(name);
                int at = names.indexOf(name);
                boolean never =
                        !one.has("repeat") || one.get("repeat").getAsString().equals("never");
                if (at >= 0 && first[at].effect == Effect.UNSAFE && !never) {
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
            JsonObject all = new JsonObject();
            all.add("classes", classes);
            all.add("familyInfo", OperatorFile.familyInfo(stretches));
            JobClass[] read;
            try {
                read = SettingsReader.read(all.toString()).settings.classes;
            } catch (WireException e) {
                errors.add("resources: " + e.getMessage());
                return null;
            }
            return () -> {
                List<String> needRestart = new ArrayList<>();
                for (int i = 0; i < read.length; i++) {
                    int at = names.indexOf(named.get(i));
                    if (at < 0) {
                        needRestart.add(named.get(i) + ": is a class from the next start on");
                    } else {
                        adopt(named.get(i), settings.classes, at, read[i], needRestart);
                    }
                }
                return needRestart;
            };
        });
    }

    private static void adopt(String name, JobClass[] classes, int at, JobClass to, List<String> needRestart) {
        JobClass from = classes[at];
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
        classes[at] = next;
    }

    /** The type of limits: those on retries and refusals change under traffic, the others need a restart. */
    public static ResourceType limits(Settings settings, Config runs, ProcessLimits ceilings) {
        int maxAttempts = settings.maxAttempts;
        boolean retryAfter = settings.retryAfter;
        double maxRetryAfter = settings.maxRetryAfter;
        int sockets = runs.maxSockets;
        Adopting base = () -> {
            settings.maxAttempts = maxAttempts;
            settings.retryAfter = retryAfter;
            settings.maxRetryAfter = maxRetryAfter;
            return List.of();
        };
        return new Setting("limits", base, (resources, errors) -> {
            Findings findings = Findings.paths();
            JsonObject one = resources.get(0).getAsJsonObject().deepCopy();
            one.remove("name");
            JsonElement listen = one.remove("listen");
            checkListen(listen, findings);
            JsonObject platform = new JsonObject();
            JsonObject read = new JsonObject();
            OperatorFile.limits(Table.of(one, "resources[0]", findings), platform, read);
            int newSockets = platform.getAsJsonObject("limits").get("sockets").getAsInt();
            if (newSockets > ceilings.descriptors()) {
                findings.add(
                        "resources[0]",
                        "sockets",
                        newSockets + " is more than the " + ceilings.descriptors()
                                + " descriptors that this process may have");
            }
            if (newSockets * CONNECTION_BYTES > ceilings.heap() / 2) {
                findings.add(
                        "resources[0]",
                        "sockets",
                        newSockets + " connections begin with "
                                + newSockets * CONNECTION_BYTES + " bytes, more than half of the " + ceilings.heap()
                                + " that this process may have");
            }
            errors.addAll(findings.all());
            JsonObject limits = read.getAsJsonObject("limits");
            return () -> {
                List<String> needRestart = new ArrayList<>();
                settings.maxAttempts = limits.get("maxAttempts").getAsInt();
                settings.retryAfter = limits.get("retryAfter").getAsBoolean();
                settings.maxRetryAfter = limits.get("maxRetryAfter").getAsDouble();
                if (listen != null && !listen.getAsString().equals(runs.listen)) {
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
                if (limits.get("connIdle").getAsDouble() != runs.idleConnectionSeconds) {
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
        double[] first = {settings.crossEachWay, settings.retryFree, settings.retryShare, settings.retryWindow};
        return new Setting("module", () -> adopt(settings, first), (resources, errors) -> {
            Findings findings = Findings.paths();
            JsonObject one = resources.get(0).getAsJsonObject().deepCopy();
            one.remove("name");
            JsonObject rules = new JsonObject();
            OperatorFile.module(Table.of(one, "resources[0]", findings), rules);
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
     * @param base the settings in effect before the first version
     * @param reader reads that table and adds errors to its findings
     * @param adopting adopts the result on the loop's thread and returns what needs a restart
     */
    public static <T> ResourceType table(
            String name,
            Function<JsonArray, JsonObject> shape,
            Function<Table, T> reader,
            T base,
            Function<T, List<String>> adopting) {
        return new Setting(name, () -> adopting.apply(base), (resources, errors) -> {
            Findings findings = Findings.paths();
            T read = reader.apply(Table.of(shape.apply(resources), "resources", findings));
            errors.addAll(findings.all());
            return () -> adopting.apply(read);
        });
    }

    /** Returns the resources keyed by name, with the name removed from each. */
    public static JsonObject byName(JsonArray resources) {
        JsonObject all = new JsonObject();
        resources.forEach(resource -> {
            JsonObject one = resource.getAsJsonObject().deepCopy();
            all.add(one.remove("name").getAsString(), one);
        });
        return all;
    }
}
