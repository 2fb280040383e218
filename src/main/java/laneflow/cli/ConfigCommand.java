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

/** {@code config}: shows, compares and validates versions of the streamed configuration. */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Inspects streamed configuration.")
final class ConfigCommand implements Runnable {
    private static final int TIMEOUT_MS = 5000;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows the versions that schedulers run; exit code 1 if one can't be reached or they differ.")
    int show(
            @Parameters(
                            paramLabel = "ADDRESS",
                            arity = "1..*",
                            description = "The operators' port of a scheduler: ADDRESS:PORT.")
                    List<String> addresses,
            @Option(names = "--json", description = "Print the schedulers' responses, one per line.") boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        int code = 0;
        Map<String, TreeSet<String>> versions = new TreeMap<>();
        if (!json) {
            out.printf("%-14s %-14s %-22s %-20s %s%n", "scheduler", "type", "version", "since", "from");
        }
        for (String address : addresses) {
            try {
                String responseBody = fetch(address, "/config");
                if (json) {
                    out.println(responseBody.strip());
                    continue;
                }
                JsonObject report = JsonParser.parseString(responseBody).getAsJsonObject();
                report.getAsJsonObject("types").entrySet().forEach(entry -> {
                    show(
                            out,
                            report.get("scheduler").getAsString(),
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
        for (Map.Entry<String, TreeSet<String>> entry : versions.entrySet()) {
            if (entry.getValue().size() > 1) {
                out.println("they differ in " + shortName(entry.getKey()) + ": " + entry.getValue());
                code = 1;
            }
        }
        out.flush();
        return code;
    }

    private static void show(PrintWriter out, String scheduler, String type, JsonObject status) {
        long since = status.get("since_ms").getAsLong();
        out.printf(
                "%-14s %-14s %-22s %-20s %s%s%n",
                scheduler,
                shortName(type),
                abbreviated(status.get("version").getAsString()),
                since == 0 ? "-" : Instant.ofEpochSecond(since / 1000).toString(),
                status.get("from").getAsString(),
                status.get("on_trial").getAsBoolean() ? " (on trial)" : "");
        if (status.has("restart_needed")) {
            status.getAsJsonArray("restart_needed")
                    .forEach(setting -> out.println("    waits for a restart: " + setting.getAsString()));
        }
        if (status.has("last_refused")) {
            JsonObject rejected = status.getAsJsonObject("last_refused");
            out.println("    turned down " + abbreviated(rejected.get("version").getAsString()) + ": "
                    + rejected.get("reason").getAsString().replace("\n", "\n        "));
        }
    }

    private static String shortName(String type) {
        return type.startsWith(ResourceType.PREFIX) ? type.substring(ResourceType.PREFIX.length()) : type;
    }

    private static String abbreviated(String version) {
        int dash = version.indexOf('-');
        return dash >= 0 && version.length() > dash + 13 ? version.substring(0, dash + 13) : version;
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Lists the versions that a scheduler adopted, refused and took back.")
    int history(
            @Parameters(
                            paramLabel = "ADDRESS|DIR",
                            description = "The operators' port of a scheduler, or its last_good_dir.")
                    String source)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        JsonArray changes = new JsonArray();
        Path folder = Path.of(source);
        if (Files.isDirectory(folder)) {
            for (String name : new String[] {"history.1.jsonl", "history.jsonl"}) {
                if (Files.exists(folder.resolve(name))) {
                    // The last line may be incomplete: it is printed as it is.
                    Files.readAllLines(folder.resolve(name)).forEach(line -> changes.add(parseHistoryLine(line)));
                }
            }
        } else {
            changes.addAll(
                    JsonParser.parseString(fetch(source, "/config/history")).getAsJsonArray());
        }
        for (JsonElement element : changes) {
            if (!element.isJsonObject()) {
                out.println("unreadable: " + element);
                continue;
            }
            JsonObject change = element.getAsJsonObject();
            out.printf(
                    "%-24s %-12s %-13s %s%s%n",
                    Instant.ofEpochMilli(change.get("at_ms").getAsLong()),
                    shortName(change.get("type").getAsString()),
                    change.get("verdict").getAsString(),
                    abbreviated(change.get("version").getAsString()),
                    change.has("reason")
                            ? ": " + change.get("reason").getAsString().replace("\n", "\n    ")
                            : "");
        }
        out.flush();
        return 0;
    }

    private static JsonElement parseHistoryLine(String line) {
        try {
            JsonElement element = JsonParser.parseString(line);
            return element.isJsonObject() ? element : new JsonPrimitive(line);
        } catch (JsonParseException e) {
            return new JsonPrimitive(line);
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Compares two states of a type by resource; exit code 1 if they differ.")
    int diff(
            @Parameters(
                            paramLabel = "FROM",
                            description = "A message of the stream, its resources, or a last good file.")
                    Path from,
            @Parameters(paramLabel = "TO") Path to)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, JsonObject> fromResources = byName(from);
        Map<String, JsonObject> toResources = byName(to);
        TreeSet<String> names = new TreeSet<>(fromResources.keySet());
        names.addAll(toResources.keySet());
        int differing = 0;
        for (String name : names) {
            JsonObject before = fromResources.get(name);
            JsonObject after = toResources.get(name);
            if (before == null || after == null) {
                out.println((before == null ? "+ " : "- ") + (before == null ? after : before));
                differing++;
            } else if (!before.equals(after)) {
                TreeSet<String> keys = new TreeSet<>(before.keySet());
                keys.addAll(after.keySet());
                keys.removeIf(key -> before.has(key) && before.get(key).equals(after.get(key)));
                keys.forEach(
                        key -> out.println("~ " + name + "." + key + ": " + before.get(key) + " -> " + after.get(key)));
                differing++;
            }
        }
        out.println(differing == 0 ? "no difference" : differing + " of " + names.size() + " resources differ");
        out.flush();
        return differing == 0 ? 0 : 1;
    }

    private static Map<String, JsonObject> byName(Path file) throws IOException {
        Map<String, JsonObject> resources = new TreeMap<>();
        for (JsonElement resource : resources(file, read(file))) {
            if (!resource.isJsonObject() || !resource.getAsJsonObject().has("name")) {
                throw new IOException(file + ": a resource without a name: " + resource);
            }
            resources.put(resource.getAsJsonObject().get("name").getAsString(), resource.getAsJsonObject());
        }
        return resources;
    }

    private static JsonElement read(Path file) throws IOException {
        String text = Files.readString(file);
        // A last good file has a header line before its JSON.
        text = text.startsWith("laneflow-config ") ? text.substring(text.indexOf('\n') + 1) : text;
        try {
            return JsonParser.parseString(text);
        } catch (JsonParseException e) {
            throw new IOException(file + ": is not valid JSON: " + e.getMessage(), e);
        }
    }

    private static JsonArray resources(Path file, JsonElement document) throws IOException {
        JsonElement resources =
                document.isJsonObject() ? document.getAsJsonObject().get("resources") : document;
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
            description = "Checks a version as a scheduler would; exit code 1 if it would be rejected.")
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
                            description = "The type, if the file is not a message that names it.")
                    String type)
            throws Exception {
        Setup setup = Setup.fromOperatorsFile(config, null, null);
        if (setup.control() == null) {
            throw new IOException(config + ": there is no [control] table: streamed configuration is off");
        }
        JsonElement document = read(file);
        String typeName = type != null
                ? type
                : document.isJsonObject() && document.getAsJsonObject().has("type_url")
                        ? shortName(document.getAsJsonObject().get("type_url").getAsString())
                        : "destinations";
        List<ResourceType> acceptedTypes = StreamedTypes.all(setup, StreamedTypes.Adopters.NONE);
        ResourceType resourceType = acceptedTypes.stream()
                .filter(candidate -> candidate.name().equals(typeName))
                .findFirst()
                .orElseThrow(() -> new IOException("type '" + typeName + "' is not taken here; taken are "
                        + String.join(
                                ", ",
                                acceptedTypes.stream().map(ResourceType::name).toList())));
        ResourceType.ParsedResources parsed = resourceType.read(resources(file, document));
        PrintWriter out = spec.commandLine().getOut();
        parsed.findings.forEach(out::println);
        if (parsed.findings.isEmpty()) {
            out.println("sound: " + parsed.count + " " + typeName);
            if (resourceType.isAppliedAtStart()) {
                parsed.adopt().forEach(setting -> out.println("waits for a restart: " + setting));
            }
        }
        out.flush();
        return parsed.findings.isEmpty() ? 0 : 1;
    }

    @Command(
            name = "who",
            mixinStandardHelpOptions = true,
            description = "Shows which schedulers take part in a version rolled out to a share.")
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

    /** Sends a GET request and returns the response body; any status except 200 is an error. */
    private static String fetch(String address, String path) throws IOException {
        InetSocketAddress socketAddress = Loop.parseAddress(address);
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int headerEnd = response.indexOf("\r\n\r\n");
            if (headerEnd < 0 || !response.startsWith("HTTP/1.1 200 ")) {
                throw new IOException(address + path + ": " + response.split("\r\n", 2)[0]);
            }
            return response.substring(headerEnd + 4);
        }
    }
}
