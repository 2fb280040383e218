package laneflow.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import laneflow.assembly.Setup;
import laneflow.assembly.StreamedTypes;
import laneflow.control.ResourceType;
import laneflow.control.decision.Rollout;
import laneflow.net.Loop;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code config}: what runs, what a scheduler would say to a version, and who takes part in one. */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Looks at streamed configuration.")
final class ConfigCommand implements Runnable {
    private static final int WITHIN_MS = 5000;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Asks schedulers what they run; exit code 1 if one can't be asked or they differ.")
    int show(
            @Parameters(
                            paramLabel = "ADDRESS",
                            arity = "1..*",
                            description = "Where operators ask a scheduler: ADDRESS:PORT.")
                    List<String> addresses,
            @Option(names = "--json", description = "As the schedulers say it, a line each.") boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        int code = 0;
        Map<String, TreeSet<String>> versions = new TreeMap<>();
        if (!json) {
            out.printf("%-14s %-14s %-22s %-20s %s%n", "scheduler", "type", "version", "since", "from");
        }
        for (String address : addresses) {
            try {
                String text = ask(address, "/config");
                if (json) {
                    out.println(text.strip());
                    continue;
                }
                JsonObject all = JsonParser.parseString(text).getAsJsonObject();
                all.getAsJsonObject("types").entrySet().forEach(entry -> {
                    show(
                            out,
                            all.get("scheduler").getAsString(),
                            entry.getKey(),
                            entry.getValue().getAsJsonObject());
                    versions.computeIfAbsent(entry.getKey(), key -> new TreeSet<>())
                            .add(entry.getValue()
                                    .getAsJsonObject()
                                    .get("version")
                                    .getAsString());
                });
            } catch (IOException | RuntimeException e) {
                out.println(address + ": " + e.getMessage());
                code = 1;
            }
        }
        for (Map.Entry<String, TreeSet<String>> one : versions.entrySet()) {
            if (one.getValue().size() > 1) {
                out.println("they differ in " + shortName(one.getKey()) + ": " + one.getValue());
                code = 1;
            }
        }
        out.flush();
        return code;
    }

    private static void show(PrintWriter out, String scheduler, String type, JsonObject one) {
        long since = one.get("since_ms").getAsLong();
        out.printf(
                "%-14s %-14s %-22s %-20s %s%s%n",
                scheduler,
                shortName(type),
                shortened(one.get("version").getAsString()),
                since == 0 ? "-" : Instant.ofEpochSecond(since / 1000).toString(),
                one.get("from").getAsString(),
                one.get("on_trial").getAsBoolean() ? " (on trial)" : "");
        if (one.has("restart_needed")) {
            one.getAsJsonArray("restart_needed")
                    .forEach(waits -> out.println("    waits for a restart: " + waits.getAsString()));
        }
        if (one.has("last_refused")) {
            JsonObject refused = one.getAsJsonObject("last_refused");
            out.println("    turned down " + shortened(refused.get("version").getAsString()) + ": "
                    + refused.get("reason").getAsString().replace("\n", "\n        "));
        }
    }

    private static String shortName(String type) {
        return type.startsWith(ResourceType.PREFIX) ? type.substring(ResourceType.PREFIX.length()) : type;
    }

    private static String shortened(String version) {
        int dash = version.indexOf('-');
        return dash >= 0 && version.length() > dash + 13 ? version.substring(0, dash + 13) : version;
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Tells what a scheduler adopted, turned down and took back.")
    int history(
            @Parameters(
                            paramLabel = "ADDRESS|DIR",
                            description = "Where operators ask a scheduler, or its last_good_dir.")
                    String where)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        JsonArray all = new JsonArray();
        Path folder = Path.of(where);
        if (Files.isDirectory(folder)) {
            for (String name : new String[] {"history.1.jsonl", "history.jsonl"}) {
                if (Files.exists(folder.resolve(name))) {
                    // The last line may be half written: it is told as it stands.
                    Files.readAllLines(folder.resolve(name)).forEach(line -> all.add(parsed(line)));
                }
            }
        } else {
            all.addAll(JsonParser.parseString(ask(where, "/config/history")).getAsJsonArray());
        }
        for (JsonElement one : all) {
            if (!one.isJsonObject()) {
                out.println("unreadable: " + one);
                continue;
            }
            JsonObject change = one.getAsJsonObject();
            out.printf(
                    "%-24s %-12s %-13s %s%s%n",
                    Instant.ofEpochMilli(change.get("at_ms").getAsLong()),
                    shortName(change.get("type").getAsString()),
                    change.get("verdict").getAsString(),
                    shortened(change.get("version").getAsString()),
                    change.has("reason")
                            ? ": " + change.get("reason").getAsString().replace("\n", "\n    ")
                            : "");
        }
        out.flush();
        return 0;
    }

    private static JsonElement parsed(String line) {
        try {
            JsonElement read = JsonParser.parseString(line);
            return read.isJsonObject() ? read : new JsonPrimitive(line);
        } catch (JsonParseException e) {
            return new JsonPrimitive(line);
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Tells two states of a type apart by resources; exit code 1 if they differ.")
    int diff(
            @Parameters(
                            paramLabel = "FROM",
                            description = "A message of the stream, its resources, or a file of a last good version.")
                    Path from,
            @Parameters(paramLabel = "TO") Path to)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, JsonObject> was = byName(from);
        Map<String, JsonObject> is = byName(to);
        TreeSet<String> names = new TreeSet<>(was.keySet());
        names.addAll(is.keySet());
        int differ = 0;
        for (String name : names) {
            JsonObject before = was.get(name);
            JsonObject after = is.get(name);
            if (before == null || after == null) {
                out.println((before == null ? "+ " : "- ") + (before == null ? after : before));
                differ++;
            } else if (!before.equals(after)) {
                TreeSet<String> keys = new TreeSet<>(before.keySet());
                keys.addAll(after.keySet());
                keys.removeIf(key -> before.has(key) && before.get(key).equals(after.get(key)));
                keys.forEach(
                        key -> out.println("~ " + name + "." + key + ": " + before.get(key) + " -> " + after.get(key)));
                differ++;
            }
        }
        out.println(differ == 0 ? "no difference" : differ + " of " + names.size() + " resources differ");
        out.flush();
        return differ == 0 ? 0 : 1;
    }

    private static Map<String, JsonObject> byName(Path file) throws IOException {
        Map<String, JsonObject> all = new TreeMap<>();
        for (JsonElement one : resources(file, read(file))) {
            if (!one.isJsonObject() || !one.getAsJsonObject().has("name")) {
                throw new IOException(file + ": a resource without a name: " + one);
            }
            all.put(one.getAsJsonObject().get("name").getAsString(), one.getAsJsonObject());
        }
        return all;
    }

    private static JsonElement read(Path file) throws IOException {
        String text = Files.readString(file);
        // A last good file has a line of its own before its JSON.
        text = text.startsWith("laneflow-config ") ? text.substring(text.indexOf('\n') + 1) : text;
        try {
            return JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new IOException(file + ": is no JSON: " + e.getMessage(), e);
        }
    }

    private static JsonArray resources(Path file, JsonElement all) throws IOException {
        JsonElement resources = all.isJsonObject() ? all.getAsJsonObject().get("resources") : all;
        if (resources != null && resources.isJsonObject()) {
            resources = resources.getAsJsonObject().get("resources");
        }
        if (resources == null || !resources.isJsonArray()) {
            throw new IOException(file + ": resources: must be a list");
        }
        return resources.getAsJsonArray();
    }

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description = "Reads a version as a scheduler would; exit code 1 if it would turn it down.")
    int validate(
            @Parameters(paramLabel = "FILE", description = "A message of the stream, or its resources.") Path file,
            @Option(
                            names = "--config",
                            required = true,
                            paramLabel = "FILE",
                            description = "The scheduler's operators' file.")
                    Path config,
            @Option(
                            names = "--type",
                            paramLabel = "TYPE",
                            description = "The type, where the file is no message that names it.")
                    String type)
            throws Exception {
        Setup setup = Setup.operators(config, null, null);
        if (setup.control() == null) {
            throw new IOException(config + ": there is no [control]: nothing is streamed here");
        }
        JsonElement all = read(file);
        String named = type != null
                ? type
                : all.isJsonObject() && all.getAsJsonObject().has("type_url")
                        ? shortName(all.getAsJsonObject().get("type_url").getAsString())
                        : "destinations";
        List<ResourceType> types = StreamedTypes.all(setup, StreamedTypes.Adopters.NONE);
        ResourceType taken = types.stream()
                .filter(one -> one.name().equals(named))
                .findFirst()
                .orElseThrow(() -> new IOException("type '" + named + "' is not taken here; taken are "
                        + String.join(
                                ", ", types.stream().map(ResourceType::name).toList())));
        ResourceType.ParsedResources read = taken.read(resources(file, all));
        PrintWriter out = spec.commandLine().getOut();
        read.findings.forEach(out::println);
        if (read.findings.isEmpty()) {
            out.println("sound: " + read.count + " " + named);
            if (taken.isAppliedAtStart()) {
                read.adopt().forEach(waits -> out.println("waits for a restart: " + waits));
            }
        }
        out.flush();
        return read.findings.isEmpty() ? 0 : 1;
    }

    @Command(
            name = "who",
            mixinStandardHelpOptions = true,
            description = "Tells which schedulers take part in a version held back to a share.")
    int who(
            @Parameters(paramLabel = "SEED") long seed,
            @Parameters(paramLabel = "SHARE") double share,
            @Parameters(paramLabel = "NAME", arity = "1..*") List<String> names) {
        PrintWriter out = spec.commandLine().getOut();
        for (String name : names) {
            out.printf(
                    Locale.ROOT,
                    "%s %s (%.4f)%n",
                    name,
                    Rollout.includes(name, seed, share) ? "takes part" : "is held back",
                    Rollout.position(name, seed));
        }
        out.flush();
        return 0;
    }

    /** One GET, whole; what is no 200 is an IOException. */
    private static String ask(String address, String path) throws IOException {
        InetSocketAddress at = Loop.parseAddress(address);
        try (Socket socket = new Socket()) {
            socket.connect(at, WITHIN_MS);
            socket.setSoTimeout(WITHIN_MS);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int body = answer.indexOf("\r\n\r\n");
            if (body < 0 || !answer.startsWith("HTTP/1.1 200 ")) {
                throw new IOException(address + path + ": " + answer.split("\r\n", 2)[0]);
            }
            return answer.substring(body + 4);
        }
    }
}
