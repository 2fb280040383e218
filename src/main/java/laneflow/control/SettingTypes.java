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
 * The types of the stream besides destination sets: classes, limits, functions of the Gearman front, settings
 * of durable jobs. A resource is what the operators' file has as a table, and is read by the same readers:
 * ranges and words are the same in both. What can't change under open requests is said to wait for a restart,
 * and the next start begins with it.
 */
public final class SettingTypes {

    /** What this process can hold: descriptors, and bytes of heap. */
    public record ProcessLimits(long descriptors, long heap) {}

    /** A connection's two rings, as they begin. */
    private static final long CONNECTION_BYTES = 2 * 2048;

    private SettingTypes() {}

    /** A type whose reading is a function; what that adds to the findings turns it down. */
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

    /** Adopts, and returns what waits for a restart. */
    private interface Adopting {
        List<String> run();
    }

    /**
     * Classes: aims, deadlines, stretches and worths change under traffic, and hold for requests that come
     * from then on. Effects and windows do not: open requests and kept jobs were promised them.
     *
     * @param settings what runs; its classes are replaced, on the loop's thread
     */
    public static ResourceType classes(Settings settings, List<String> names) {
        JobClass[] first = settings.classes.clone();
        Adopting base = () -> {
            System.arraycopy(first, 0, settings.classes, 0, first.length);
            return List.of();
        };
        return new Setting("classes", base, (resources, said) -> {
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
            said.addAll(findings.all());
            if (!said.isEmpty()) {
                return null;
            }
            JsonObject all = new JsonObject();
            all.add("classes", classes);
            all.add("familyInfo", OperatorFile.familyInfo(stretches));
            JobClass[] read;
            try {
                read = SettingsReader.read(all.toString()).settings.classes;
            } catch (WireException e) {
                said.add("resources: " + e.getMessage());
                return null;
            }
            return () -> {
                List<String> later = new ArrayList<>();
                for (int i = 0; i < read.length; i++) {
                    int at = names.indexOf(named.get(i));
                    if (at < 0) {
                        later.add(named.get(i) + ": is a class from the next start on");
                    } else {
                        adopt(named.get(i), settings.classes, at, read[i], later);
                    }
                }
                return later;
            };
        });
    }

    private static void adopt(String name, JobClass[] classes, int at, JobClass to, List<String> later) {
        JobClass from = classes[at];
        if (from.effect != to.effect || from.window != to.window) {
            later.add(name + ": repeat and window_ms from the next start on");
        }
        JobClass next = new JobClass();
        next.aim = to.aim;
        next.stretch = to.stretch;
        next.deadline = to.deadline;
        next.worth = to.worth;
        next.lateWorth = from.lateWorth;
        next.effect = from.effect;
        next.group = from.group;
        next.window = from.window;
        next.kind = from.kind;
        next.stream = from.stream;
        classes[at] = next;
    }

    /** Limits: those on retries and refusals change under traffic, the rest waits for a restart. */
    public static ResourceType limits(Settings settings, Config runs, ProcessLimits ceilings) {
        int attempts = settings.maxAttempts;
        boolean toldWhen = settings.retryAfter;
        double longest = settings.maxRetryAfter;
        int sockets = runs.sockets;
        Adopting base = () -> {
            settings.maxAttempts = attempts;
            settings.retryAfter = toldWhen;
            settings.maxRetryAfter = longest;
            return List.of();
        };
        return new Setting("limits", base, (resources, said) -> {
            Findings findings = Findings.paths();
            JsonObject one = resources.get(0).getAsJsonObject().deepCopy();
            one.remove("name");
            JsonElement listen = one.remove("listen");
            listen(listen, findings);
            JsonObject platform = new JsonObject();
            JsonObject read = new JsonObject();
            OperatorFile.limits(Table.of(one, "resources[0]", findings), platform, read);
            int most = platform.getAsJsonObject("limits").get("sockets").getAsInt();
            if (most > ceilings.descriptors()) {
                findings.add(
                        "resources[0]",
                        "sockets",
                        most + " is more than the " + ceilings.descriptors()
                                + " descriptors that this process may have");
            }
            if (most * CONNECTION_BYTES > ceilings.heap() / 2) {
                findings.add(
                        "resources[0]",
                        "sockets",
                        most + " connections begin with "
                                + most * CONNECTION_BYTES + " bytes, more than half of the " + ceilings.heap()
                                + " that this process may have");
            }
            said.addAll(findings.all());
            JsonObject limits = read.getAsJsonObject("limits");
            return () -> {
                List<String> later = new ArrayList<>();
                settings.maxAttempts = limits.get("maxAttempts").getAsInt();
                settings.retryAfter = limits.get("retryAfter").getAsBoolean();
                settings.maxRetryAfter = limits.get("maxRetryAfter").getAsDouble();
                if (listen != null && !listen.getAsString().equals(runs.listen)) {
                    later.add("listen: from the next start on");
                }
                if (most != sockets) {
                    later.add("sockets: " + most + " from the next start on, " + sockets + " until then");
                }
                if (limits.get("connectTimeout").getAsDouble() != settings.connectTimeout) {
                    later.add("connect_timeout_ms: from the next start on");
                }
                if (limits.get("cancel").getAsBoolean() != settings.mayCancel
                        || limits.get("probes").getAsBoolean() != settings.mayProbe) {
                    later.add("cancel and probes: from the next start on");
                }
                if (limits.get("connIdle").getAsDouble() != runs.connIdle) {
                    later.add("endpoint_idle_ms: from the next start on");
                }
                return later;
            };
        });
    }

    /**
     * The module's own choices, a resource of the name {@code module}: the coin between neighbouring zones
     * and the budget of further attempts. They hold for the requests that come from then on.
     */
    public static ResourceType module(Settings settings) {
        double[] first = {settings.crossEachWay, settings.furtherFree, settings.furtherShare, settings.furtherWithin};
        return new Setting("module", () -> adopt(settings, first), (resources, said) -> {
            Findings findings = Findings.paths();
            JsonObject one = resources.get(0).getAsJsonObject().deepCopy();
            one.remove("name");
            JsonObject rules = new JsonObject();
            OperatorFile.module(Table.of(one, "resources[0]", findings), rules);
            said.addAll(findings.all());
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
        settings.furtherFree = to[1];
        settings.furtherShare = to[2];
        settings.furtherWithin = to[3];
        return List.of();
    }

    private static void listen(JsonElement listen, Findings findings) {
        try {
            if (listen != null) {
                Loop.address(listen.getAsString());
            }
        } catch (IllegalArgumentException e) {
            findings.add("resources[0]", "listen", e.getMessage());
        }
    }

    /**
     * A type whose resources are the tables of a subsystem, read by its own reader.
     *
     * @param shape makes the subsystem's table of the resources
     * @param base what runs before any version
     * @param reader reads that table; what is wrong becomes findings of the table's
     * @param adopting takes what was read, on the loop's thread, and tells what waits for a restart
     */
    public static <T> ResourceType table(
            String name,
            Function<JsonArray, JsonObject> shape,
            Function<Table, T> reader,
            T base,
            Function<T, List<String>> adopting) {
        return new Setting(name, () -> adopting.apply(base), (resources, said) -> {
            Findings findings = Findings.paths();
            T read = reader.apply(Table.of(shape.apply(resources), "resources", findings));
            said.addAll(findings.all());
            return () -> adopting.apply(read);
        });
    }

    /** Resources by their names, which are taken out of them. */
    public static JsonObject byName(JsonArray resources) {
        JsonObject all = new JsonObject();
        resources.forEach(resource -> {
            JsonObject one = resource.getAsJsonObject().deepCopy();
            all.add(one.remove("name").getAsString(), one);
        });
        return all;
    }
}
