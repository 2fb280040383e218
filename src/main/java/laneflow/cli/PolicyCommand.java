package laneflow.cli;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringReader;
import java.net.ConnectException;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laneflow.net.Loop;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code policy}: shows and changes the fleet's policy. Addresses are those of {@code [fleet] listen}. Any scheduler
 * will do, since one that can't answer a request redirects to the one that can.
 */
@Command(
        name = "policy",
        mixinStandardHelpOptions = true,
        description = "Shows and changes the policy that all schedulers share.")
final class PolicyCommand implements Runnable {
    private static final int TIMEOUT_MS = 5000;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int MAX_REDIRECTS = 4;
    private static final long POLL_INTERVAL_MS = 50;
    private static final long VOTER_CHANGE_TIMEOUT_NS = 10_000_000_000L;
    private static final int MAX_NAME_LENGTH = 64;

    @Spec
    private CommandSpec spec;

    /** The response of a scheduler. */
    record Response(int statusCode, String body) {}

    /** The options that name the schedulers to connect to, and an HTTP client for them. */
    static final class SchedulerClient {
        static {
            // A request that failed may have taken effect: whether to repeat it is the operator's decision.
            System.setProperty("sun.net.http.retryPost", "false");
        }

        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                required = true,
                arity = "1",
                split = ",",
                description = "Schedulers' addresses, each ADDRESS:PORT as in [fleet] listen, separated by commas.")
        List<String> addresses;

        @Option(names = "--token-file", paramLabel = "FILE", description = "The file with the fleet's token.")
        private Path tokenFile;

        @Option(names = "--json", description = "Print the schedulers' responses as JSON.")
        boolean json;

        /**
         * Sends a request to a scheduler and follows redirects.
         *
         * @param body the body of a POST request, or null for GET
         */
        Response send(String address, String path, String body) throws IOException {
            Loop.parseAddress(address);
            URL url = new URL("http://" + address + path);
            for (int redirects = 0; ; redirects++) {
                HttpURLConnection connection = (HttpURLConnection) url.openConnection(Proxy.NO_PROXY);
                connection.setConnectTimeout(TIMEOUT_MS);
                connection.setReadTimeout(TIMEOUT_MS);
                connection.setInstanceFollowRedirects(false);
                if (tokenFile != null) {
                    connection.setRequestProperty(
                            "Authorization",
                            "Bearer " + Files.readString(tokenFile).strip());
                }
                if (body != null) {
                    connection.setDoOutput(true);
                    connection.setRequestProperty("Content-Type", "application/json");
                    try (OutputStream out = connection.getOutputStream()) {
                        out.write(body.getBytes(StandardCharsets.UTF_8));
                    }
                }
                int status = connection.getResponseCode();
                if (status < 0) {
                    throw new IOException("the response is not HTTP");
                }
                InputStream in = status < HttpURLConnection.HTTP_BAD_REQUEST
                        ? connection.getInputStream()
                        : connection.getErrorStream();
                String responseBody = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
                if (status != TEMPORARY_REDIRECT || redirects == MAX_REDIRECTS) {
                    return new Response(status, responseBody);
                }
                String location = connection.getHeaderField("Location");
                if (location == null) {
                    throw new IOException(address + " redirects without a location");
                }
                url = new URL(location);
            }
        }

        /** Sends the request to each address in turn until one responds with a status below 500. */
        Response sendToAny(String path, String body) throws IOException, InterruptedException {
            IOException lastFailure = new IOException("no address given");
            for (String address : addresses) {
                try {
                    Response response = send(address, path, body);
                    if (response.statusCode() < 500) {
                        return response;
                    }
                    lastFailure =
                            new IOException(address + ": " + response.body().strip());
                } catch (IOException e) {
                    lastFailure = new IOException(describeFailure(address, e), e);
                }
            }
            throw lastFailure;
        }
    }

    /** Describes a failed request in one line. */
    static String describeFailure(String address, Exception e) {
        boolean refused = e instanceof ConnectException;
        String message = refused ? "can't be reached" : e.getMessage();
        return address + ": " + (message == null ? e.toString() : message);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows the policy of each of these schedulers; exit code 1 if one can't be"
                    + " reached, is not deciding, or they differ.")
    int show(@Mixin SchedulerClient client) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        TreeMap<Long, List<String>> policies = new TreeMap<>();
        int code = 0;
        if (!client.json) {
            out.printf("%-14s %-22s %8s %9s %-14s %s%n", "scheduler", "state", "policy", "lease ms", "leader", "open");
        }
        for (String address : client.addresses) {
            try {
                Response response = client.send(address, "/policy", null);
                if (response.statusCode() != 200) {
                    throw new IOException(response.body().strip());
                }
                if (client.json) {
                    out.println(response.body().strip());
                }
                JsonObject report = JsonParser.parseString(response.body()).getAsJsonObject();
                String scheduler = report.get("scheduler").getAsString();
                policies.computeIfAbsent(report.get("policy").getAsLong(), key -> new ArrayList<>())
                        .add(scheduler);
                code = report.get("state").getAsString().equals("deciding") ? code : 1;
                if (!client.json) {
                    printStatus(out, report);
                }
            } catch (IOException | JsonParseException | IllegalStateException e) {
                out.println(describeFailure(address, e));
                code = 1;
            }
        }
        if (policies.size() > 1) {
            out.println("they differ: " + policies);
            code = 1;
        }
        out.flush();
        return code;
    }

    private static void printStatus(PrintWriter out, JsonObject report) {
        out.printf(
                "%-14s %-22s %8d %9d %-14s %s%n",
                report.get("scheduler").getAsString(),
                report.get("state").getAsString(),
                report.get("policy").getAsLong(),
                report.get("lease_ms").getAsLong(),
                report.get("leader").getAsString(),
                report.get("open").getAsLong() == 0 ? "-" : report.get("open"));
        if (report.has("turned_down")) {
            report.getAsJsonObject("turned_down")
                    .entrySet()
                    .forEach(rejected -> rejected.getValue()
                            .getAsJsonArray()
                            .forEach(reason ->
                                    out.println("    turns down " + rejected.getKey() + ": " + reason.getAsString())));
        }
        if (report.has("restart_needed")) {
            report.getAsJsonArray("restart_needed")
                    .forEach(setting -> out.println("    waits for a restart: " + setting.getAsString()));
        }
        if (report.has("leads")) {
            JsonObject leaderState = report.getAsJsonObject("leads");
            if (leaderState.has("waits_for")) {
                out.println("    waits for " + leaderState.get("waits_for"));
            }
        }
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description = "Proposes a change and waits for its outcome: exit code 0 if it was applied,"
                    + " 1 if it was abandoned, 3 if the outcome is not known yet. Repeated with the same name it"
                    + " proposes nothing new.")
    int propose(
            @Parameters(
                            paramLabel = "FILE",
                            description = "The change: the tables of the operators' file that"
                                    + " are to apply, [classes.NAME], [limits], [module],"
                                    + " and bans = [\"ENDPOINT\"]; or JSON"
                                    + " with 'types', or a control service's whole state of one type.")
                    Path file,
            @Option(names = "--name", description = "The change's name; by default the name in the file.") String name,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "10000",
                            description = "How long to wait for the outcome, in ms (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin SchedulerClient client)
            throws IOException, InterruptedException {
        JsonObject change = read(file);
        if (name != null) {
            change.addProperty("name", name);
        }
        if (!change.has("name")) {
            throw new IllegalArgumentException(file + ": the change has no name; give it one with --name");
        }
        change.addProperty("by", System.getProperty("user.name"));
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        String path = "/policy/changes";
        String body = change.toString();
        String lastFailure = "";
        while (true) {
            try {
                Response response = client.sendToAny(path, body);
                if (response.statusCode() != 200) {
                    throw new IllegalArgumentException(response.body().strip());
                }
                JsonObject current = JsonParser.parseString(response.body()).getAsJsonObject();
                body = null;
                path = "/policy/changes/" + current.get("name").getAsString();
                if (isDecided(current) || System.nanoTime() > endNanos) {
                    return outcome(current, client.json);
                }
            } catch (IOException e) {
                lastFailure = e.getMessage();
                if (System.nanoTime() > endNanos) {
                    spec.commandLine().getErr().println("laneflow: the outcome is not known: " + lastFailure);
                    return 3;
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static boolean isDecided(JsonObject change) {
        String state = change.get("state").getAsString();
        return state.equals("applied") || state.equals("abandoned");
    }

    private int outcome(JsonObject change, boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        String state = change.get("state").getAsString();
        if (json) {
            out.println(change);
        } else {
            printChange(out, change);
        }
        out.flush();
        return state.equals("applied") ? 0 : state.equals("abandoned") ? 1 : 3;
    }

    private static void printChange(PrintWriter out, JsonObject change) {
        out.printf(
                "%-24s %-10s %8s  %s  by %s%n",
                change.get("name").getAsString(),
                change.get("state").getAsString(),
                change.get("number").getAsLong() == 0
                        ? "-"
                        : change.get("number").getAsString(),
                Instant.ofEpochMilli(change.get("proposed_ms").getAsLong()),
                change.get("by").getAsString());
        if (change.has("reasons")) {
            change.getAsJsonArray("reasons").forEach(reason -> out.println("    " + reason.getAsString()));
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows the state of a change: exit code 0 if it was applied, 1 if it was abandoned or"
                    + " is not known, 3 if it is undecided.")
    int status(
            @Parameters(paramLabel = "NAME", description = "The change's name.") String name,
            @Mixin SchedulerClient client)
            throws IOException, InterruptedException {
        Response response = client.sendToAny("/policy/changes/" + name, null);
        if (response.statusCode() != 200) {
            throw new IOException(response.body().strip());
        }
        return outcome(JsonParser.parseString(response.body()).getAsJsonObject(), client.json);
    }

    @Command(
            name = "history",
            mixinStandardHelpOptions = true,
            description = "Lists the latest changes, the newest first.")
    int history(@Mixin SchedulerClient client) throws IOException, InterruptedException {
        Response response = client.sendToAny("/policy/history", null);
        PrintWriter out = spec.commandLine().getOut();
        if (response.statusCode() != 200) {
            throw new IOException(response.body().strip());
        }
        if (client.json) {
            out.println(response.body().strip());
        } else {
            for (JsonElement change : JsonParser.parseString(response.body()).getAsJsonArray()) {
                printChange(out, change.getAsJsonObject());
            }
        }
        out.flush();
        return 0;
    }

    @Command(
            name = "voters",
            mixinStandardHelpOptions = true,
            description = "Shows the voters and which of these schedulers' stores have lost their vote;"
                    + " exit code 1 if one has, or can't be reached.")
    int voters(
            @Option(
                            names = "--replace",
                            paramLabel = "NAME",
                            description = "Replace this voter's lost store by its new one.")
                    String replace,
            @Option(
                            names = "--add",
                            paramLabel = "NAME",
                            description = "Add this scheduler, whose store of votes is empty, to the voters.")
                    String add,
            @Option(names = "--remove", paramLabel = "NAME", description = "Remove this scheduler from the voters.")
                    String remove,
            @Mixin SchedulerClient client)
            throws IOException, InterruptedException {
        JsonObject voterChange = new JsonObject();
        voterChange.addProperty("replace", replace);
        voterChange.addProperty("add", add);
        voterChange.addProperty("remove", remove);
        voterChange.entrySet().removeIf(entry -> entry.getValue().isJsonNull());
        if (voterChange.size() > 1) {
            throw new ParameterException(spec.commandLine(), "one voter at a time: --add, --remove or --replace");
        }
        if (voterChange.size() == 1) {
            Response response = changeVoters(client, voterChange.toString());
            if (response.statusCode() != 200) {
                throw new IOException(response.body().strip());
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        int code = 0;
        for (String address : client.addresses) {
            try {
                Response response = client.send(address, "/policy", null);
                JsonObject report = JsonParser.parseString(response.body()).getAsJsonObject();
                JsonElement voterElement = report.get("voter");
                if (client.json) {
                    out.println(voterElement == null ? "null" : voterElement);
                } else if (voterElement == null) {
                    out.printf("%-14s does not vote%n", report.get("scheduler").getAsString());
                } else {
                    JsonObject voter = voterElement.getAsJsonObject();
                    boolean votes = voter.get("votes").getAsBoolean();
                    boolean expectedNonVoter = hasFlag(voter, "candidate") || hasFlag(voter, "removed");
                    code = votes || expectedNonVoter ? code : 1;
                    out.printf(
                            "%-14s %s as %s, term %d, with %s%n",
                            report.get("scheduler").getAsString(),
                            votes
                                    ? "votes"
                                    : hasFlag(voter, "removed")
                                            ? "was taken out"
                                            : hasFlag(voter, "candidate")
                                                    ? "may be taken in"
                                                    : hasFlag(voter, "lost")
                                                            ? "has lost its vote"
                                                            : "does not vote yet",
                            voter.get("store").getAsString(),
                            voter.get("term").getAsInt(),
                            voter.get("voters"));
                }
            } catch (IOException | JsonParseException | IllegalStateException e) {
                out.println(describeFailure(address, e));
                code = 1;
            }
        }
        out.flush();
        return code;
    }

    /** Sends the change, with retries while leadership moves or the connection to a new voter is established. */
    private static Response changeVoters(SchedulerClient client, String change)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + VOTER_CHANGE_TIMEOUT_NS;
        while (true) {
            try {
                return client.sendToAny("/policy/voters", change);
            } catch (IOException e) {
                if (System.nanoTime() > endNanos) {
                    throw e;
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static boolean hasFlag(JsonObject voter, String flag) {
        return voter.has(flag) && voter.get(flag).getAsBoolean();
    }

    // ---- change files ----

    /** Reads a change from a file: in TOML with tables of the operators' file, or in JSON. */
    static JsonObject read(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": there is no such file", e);
        }
        if (text.stripLeading().startsWith("{")) {
            try {
                JsonObject message = JsonParser.parseString(text).getAsJsonObject();
                return message.has("type_url") ? fromStreamMessage(message) : message;
            } catch (JsonParseException e) {
                throw new IllegalArgumentException(file + ": is not valid JSON: " + e.getMessage());
            }
        }
        UnmodifiableConfig toml;
        try {
            toml = new TomlParser().parse(new StringReader(text));
        } catch (ParsingException e) {
            throw new IllegalArgumentException(
                    file + ": is not valid TOML: " + e.getMessage().split("\n")[0]);
        }
        JsonObject tables = toJson(toml);
        JsonObject change = new JsonObject();
        JsonObject types = new JsonObject();
        for (Map.Entry<String, JsonElement> table : tables.entrySet()) {
            JsonArray resources = new JsonArray();
            switch (table.getKey()) {
                case "name" -> {
                    change.add("name", table.getValue());
                    continue;
                }
                case "classes" ->
                    table.getValue()
                            .getAsJsonObject()
                            .entrySet()
                            .forEach(entry -> resources.add(
                                    withName(entry.getKey(), entry.getValue().getAsJsonObject())));
                case "limits", "module" ->
                    resources.add(withName(table.getKey(), table.getValue().getAsJsonObject()));
                case "bans" ->
                    table.getValue()
                            .getAsJsonArray()
                            .forEach(entry -> resources.add(withName(entry.getAsString(), new JsonObject())));
                default ->
                    throw new IllegalArgumentException(file + ": " + table.getKey() + ": is not part of a"
                            + " policy; known are name, classes, limits, module, bans");
            }
            types.add(table.getKey(), resources);
        }
        change.add("types", types);
        return change;
    }

    /** Converts a control service's message with a type's complete state to a change, named after its version. */
    private static JsonObject fromStreamMessage(JsonObject message) {
        String type = message.get("type_url").getAsString();
        String version =
                message.has("version_info") ? message.get("version_info").getAsString() : "";
        JsonObject change = new JsonObject();
        if (!message.has("resources") || message.has("from_version")) {
            throw new IllegalArgumentException("only a type's complete state can be proposed, with 'resources'");
        }
        String name = type.substring(type.lastIndexOf('/') + 1);
        if (!version.isEmpty()) {
            String fullName = name + "-" + version;
            change.addProperty("name", fullName.substring(0, Math.min(MAX_NAME_LENGTH, fullName.length())));
        }
        JsonObject types = new JsonObject();
        types.add(name, message.get("resources"));
        change.add("types", types);
        return change;
    }

    private static JsonObject withName(String name, JsonObject properties) {
        JsonObject resource = new JsonObject();
        resource.addProperty("name", name);
        properties.entrySet().forEach(property -> resource.add(property.getKey(), property.getValue()));
        return resource;
    }

    private static JsonObject toJson(UnmodifiableConfig config) {
        JsonObject object = new JsonObject();
        for (UnmodifiableConfig.Entry entry : config.entrySet()) {
            Object value = entry.getValue();
            object.add(
                    entry.getKey(),
                    value instanceof UnmodifiableConfig table ? toJson(table) : new Gson().toJsonTree(value));
        }
        return object;
    }
}
