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
 * {@code policy}: what the fleet decides by, and changes of it. Addresses are those of {@code [fleet]
 * listen}; any scheduler will do, since those that can't answer point to the one that can.
 */
@Command(
        name = "policy",
        mixinStandardHelpOptions = true,
        description = "Shows and changes what all schedulers decide by.")
final class PolicyCommand implements Runnable {
    private static final int ANSWER_WITHIN_MS = 5000;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int MOST_HOPS = 4;
    private static final long PAUSE_MS = 50;
    private static final long VOTERS_WAIT_NS = 10_000_000_000L;
    private static final int MOST_NAME = 64;

    @Spec
    private CommandSpec spec;

    /** An answer. */
    record Said(int statusCode, String body) {}

    /** Whom to ask. */
    static final class Where {
        static {
            // What was asked may have been done: whether it is asked again is the operator's decision.
            System.setProperty("sun.net.http.retryPost", "false");
        }

        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                required = true,
                arity = "1",
                split = ",",
                description = "Where schedulers reach each other: ADDRESS:PORT, several with commas between.")
        List<String> addresses;

        @Option(names = "--token-file", paramLabel = "FILE", description = "The fleet's token.")
        private Path tokenFile;

        @Option(names = "--json", description = "As the scheduler says it.")
        boolean json;

        /**
         * Asks there, and goes where the answer points.
         *
         * @param body what is sent, by POST; null: GET
         */
        Said send(String address, String path, String body) throws IOException {
            Loop.parseAddress(address);
            URL to = new URL("http://" + address + path);
            for (int hop = 0; ; hop++) {
                HttpURLConnection call = (HttpURLConnection) to.openConnection(Proxy.NO_PROXY);
                call.setConnectTimeout(ANSWER_WITHIN_MS);
                call.setReadTimeout(ANSWER_WITHIN_MS);
                call.setInstanceFollowRedirects(false);
                if (tokenFile != null) {
                    call.setRequestProperty(
                            "Authorization",
                            "Bearer " + Files.readString(tokenFile).strip());
                }
                if (body != null) {
                    call.setDoOutput(true);
                    call.setRequestProperty("Content-Type", "application/json");
                    try (OutputStream out = call.getOutputStream()) {
                        out.write(body.getBytes(StandardCharsets.UTF_8));
                    }
                }
                int status = call.getResponseCode();
                if (status < 0) {
                    throw new IOException("what came is no HTTP");
                }
                InputStream in =
                        status < HttpURLConnection.HTTP_BAD_REQUEST ? call.getInputStream() : call.getErrorStream();
                String text = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
                if (status != TEMPORARY_REDIRECT || hop == MOST_HOPS) {
                    return new Said(status, text);
                }
                String next = call.getHeaderField("Location");
                if (next == null) {
                    throw new IOException(address + " points nowhere");
                }
                to = new URL(next);
            }
        }

        /** The first answer that is one: of a scheduler that knows. */
        Said ask(String path, String body) throws IOException, InterruptedException {
            IOException last = new IOException("nobody to ask");
            for (String address : addresses) {
                try {
                    Said answer = send(address, path, body);
                    if (answer.statusCode() < 500) {
                        return answer;
                    }
                    last = new IOException(address + ": " + answer.body().strip());
                } catch (IOException e) {
                    last = new IOException(why(address, e), e);
                }
            }
            throw last;
        }
    }

    /** What went wrong there, in a line. */
    static String why(String address, Exception e) {
        boolean away = e instanceof ConnectException;
        String said = away ? "can't be reached" : e.getMessage();
        return address + ": " + (said == null ? e.toString() : said);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "What each of these schedulers decides by; exit code 1 if one can't be"
                    + " asked, does not decide, or they differ.")
    int show(@Mixin Where where) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        TreeMap<Long, List<String>> policies = new TreeMap<>();
        int code = 0;
        if (!where.json) {
            out.printf("%-14s %-22s %8s %9s %-14s %s%n", "scheduler", "state", "policy", "lease ms", "leader", "open");
        }
        for (String address : where.addresses) {
            try {
                Said answer = where.send(address, "/policy", null);
                if (answer.statusCode() != 200) {
                    throw new IOException(answer.body().strip());
                }
                if (where.json) {
                    out.println(answer.body().strip());
                }
                JsonObject all = JsonParser.parseString(answer.body()).getAsJsonObject();
                String name = all.get("scheduler").getAsString();
                policies.computeIfAbsent(all.get("policy").getAsLong(), key -> new ArrayList<>())
                        .add(name);
                code = all.get("state").getAsString().equals("deciding") ? code : 1;
                if (!where.json) {
                    show(out, all);
                }
            } catch (IOException | JsonParseException | IllegalStateException e) {
                out.println(why(address, e));
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

    private static void show(PrintWriter out, JsonObject all) {
        out.printf(
                "%-14s %-22s %8d %9d %-14s %s%n",
                all.get("scheduler").getAsString(),
                all.get("state").getAsString(),
                all.get("policy").getAsLong(),
                all.get("lease_ms").getAsLong(),
                all.get("leader").getAsString(),
                all.get("open").getAsLong() == 0 ? "-" : all.get("open"));
        if (all.has("turned_down")) {
            all.getAsJsonObject("turned_down")
                    .entrySet()
                    .forEach(one -> one.getValue()
                            .getAsJsonArray()
                            .forEach(reason ->
                                    out.println("    turns down " + one.getKey() + ": " + reason.getAsString())));
        }
        if (all.has("restart_needed")) {
            all.getAsJsonArray("restart_needed")
                    .forEach(waits -> out.println("    waits for a restart: " + waits.getAsString()));
        }
        if (all.has("leads")) {
            JsonObject leads = all.getAsJsonObject("leads");
            if (leads.has("waits_for")) {
                out.println("    waits for " + leads.get("waits_for"));
            }
        }
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description = "Proposes a change and waits for its outcome: exit code 0 if it was applied,"
                    + " 1 if it was abandoned, 3 if the outcome is not known yet. Asked again with the same name it"
                    + " proposes nothing new.")
    int propose(
            @Parameters(
                            paramLabel = "FILE",
                            description = "The change: the tables of the operators' file that"
                                    + " are to hold, [classes.NAME], [limits], [module],"
                                    + " and bans = [\"ENDPOINT\"]; or JSON"
                                    + " with 'types', or a control service's whole state of one type.")
                    Path file,
            @Option(names = "--name", description = "The change's name; else the file's own.") String name,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "10000",
                            description = "How long to wait for the outcome (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin Where where)
            throws IOException, InterruptedException {
        JsonObject change = read(file);
        if (name != null) {
            change.addProperty("name", name);
        }
        if (!change.has("name")) {
            throw new IllegalArgumentException(file + ": the change has no name; give it one with --name");
        }
        change.addProperty("by", System.getProperty("user.name"));
        long end = System.nanoTime() + waitMs * 1_000_000;
        String path = "/policy/changes";
        String body = change.toString();
        String wait = "";
        while (true) {
            try {
                Said answer = where.ask(path, body);
                if (answer.statusCode() != 200) {
                    throw new IllegalArgumentException(answer.body().strip());
                }
                JsonObject now = JsonParser.parseString(answer.body()).getAsJsonObject();
                body = null;
                path = "/policy/changes/" + now.get("name").getAsString();
                if (isDecided(now) || System.nanoTime() > end) {
                    return outcome(now, where.json);
                }
            } catch (IOException e) {
                wait = e.getMessage();
                if (System.nanoTime() > end) {
                    spec.commandLine().getErr().println("laneflow: the outcome is not known: " + wait);
                    return 3;
                }
            }
            Thread.sleep(PAUSE_MS);
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
            line(out, change);
        }
        out.flush();
        return state.equals("applied") ? 0 : state.equals("abandoned") ? 1 : 3;
    }

    private static void line(PrintWriter out, JsonObject change) {
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
            description = "Where a change stands: exit code 0 if it was applied, 1 if it was abandoned or"
                    + " is not known, 3 if it is undecided.")
    int status(@Parameters(paramLabel = "NAME", description = "The change's name.") String name, @Mixin Where where)
            throws IOException, InterruptedException {
        Said answer = where.ask("/policy/changes/" + name, null);
        if (answer.statusCode() != 200) {
            throw new IOException(answer.body().strip());
        }
        return outcome(JsonParser.parseString(answer.body()).getAsJsonObject(), where.json);
    }

    @Command(name = "history", mixinStandardHelpOptions = true, description = "The last changes, the newest first.")
    int history(@Mixin Where where) throws IOException, InterruptedException {
        Said answer = where.ask("/policy/history", null);
        PrintWriter out = spec.commandLine().getOut();
        if (answer.statusCode() != 200) {
            throw new IOException(answer.body().strip());
        }
        if (where.json) {
            out.println(answer.body().strip());
        } else {
            for (JsonElement one : JsonParser.parseString(answer.body()).getAsJsonArray()) {
                line(out, one.getAsJsonObject());
            }
        }
        out.flush();
        return 0;
    }

    @Command(
            name = "voters",
            mixinStandardHelpOptions = true,
            description = "Who votes, and which of these schedulers' stores have lost their vote; exit"
                    + " code 1 if one has, or can't be asked.")
    int voters(
            @Option(
                            names = "--replace",
                            paramLabel = "NAME",
                            description = "Take this voter's new store in, in the place of the one that it has lost.")
                    String replace,
            @Option(
                            names = "--add",
                            paramLabel = "NAME",
                            description = "Let this scheduler vote from now on; it has an empty store of votes.")
                    String add,
            @Option(names = "--remove", paramLabel = "NAME", description = "Let this voter vote no more.")
                    String remove,
            @Mixin Where where)
            throws IOException, InterruptedException {
        JsonObject asked = new JsonObject();
        asked.addProperty("replace", replace);
        asked.addProperty("add", add);
        asked.addProperty("remove", remove);
        asked.entrySet().removeIf(one -> one.getValue().isJsonNull());
        if (asked.size() > 1) {
            throw new ParameterException(spec.commandLine(), "one voter at a time: --add, --remove or --replace");
        }
        if (asked.size() == 1) {
            Said answer = order(where, asked.toString());
            if (answer.statusCode() != 200) {
                throw new IOException(answer.body().strip());
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        int code = 0;
        for (String address : where.addresses) {
            try {
                Said answer = where.send(address, "/policy", null);
                JsonObject all = JsonParser.parseString(answer.body()).getAsJsonObject();
                JsonElement own = all.get("voter");
                if (where.json) {
                    out.println(own == null ? "null" : own);
                } else if (own == null) {
                    out.printf("%-14s does not vote%n", all.get("scheduler").getAsString());
                } else {
                    JsonObject voter = own.getAsJsonObject();
                    boolean votes = voter.get("votes").getAsBoolean();
                    boolean waits = is(voter, "candidate") || is(voter, "removed");
                    code = votes || waits ? code : 1;
                    out.printf(
                            "%-14s %s as %s, term %d, with %s%n",
                            all.get("scheduler").getAsString(),
                            votes
                                    ? "votes"
                                    : is(voter, "removed")
                                            ? "was taken out"
                                            : is(voter, "candidate")
                                                    ? "may be taken in"
                                                    : is(voter, "lost") ? "has lost its vote" : "does not vote yet",
                            voter.get("store").getAsString(),
                            voter.get("term").getAsInt(),
                            voter.get("voters"));
                }
            } catch (IOException | JsonParseException | IllegalStateException e) {
                out.println(why(address, e));
                code = 1;
            }
        }
        out.flush();
        return code;
    }

    /** Asks again while the leader hands over, or a link to a new voter comes up. */
    private static Said order(Where where, String order) throws IOException, InterruptedException {
        long end = System.nanoTime() + VOTERS_WAIT_NS;
        while (true) {
            try {
                return where.ask("/policy/voters", order);
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    private static boolean is(JsonObject voter, String what) {
        return voter.has(what) && voter.get(what).getAsBoolean();
    }

    // ---- the file ----

    /** A change as its file has it: in the operators' file's words, or JSON. */
    static JsonObject read(Path file) throws IOException {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": there is no such file", e);
        }
        if (text.stripLeading().startsWith("{")) {
            try {
                JsonObject all = JsonParser.parseString(text).getAsJsonObject();
                return all.has("type_url") ? streamed(all) : all;
            } catch (JsonParseException e) {
                throw new IllegalArgumentException(file + ": is no JSON: " + e.getMessage());
            }
        }
        UnmodifiableConfig toml;
        try {
            toml = new TomlParser().parse(new StringReader(text));
        } catch (ParsingException e) {
            throw new IllegalArgumentException(
                    file + ": is no TOML: " + e.getMessage().split("\n")[0]);
        }
        JsonObject all = json(toml);
        JsonObject change = new JsonObject();
        JsonObject types = new JsonObject();
        for (Map.Entry<String, JsonElement> one : all.entrySet()) {
            JsonArray resources = new JsonArray();
            switch (one.getKey()) {
                case "name" -> {
                    change.add("name", one.getValue());
                    continue;
                }
                case "classes" ->
                    one.getValue()
                            .getAsJsonObject()
                            .entrySet()
                            .forEach(each -> resources.add(
                                    named(each.getKey(), each.getValue().getAsJsonObject())));
                case "limits", "module" ->
                    resources.add(named(one.getKey(), one.getValue().getAsJsonObject()));
                case "bans" ->
                    one.getValue()
                            .getAsJsonArray()
                            .forEach(each -> resources.add(named(each.getAsString(), new JsonObject())));
                default ->
                    throw new IllegalArgumentException(file + ": " + one.getKey() + ": is no part of a"
                            + " policy; known are name, classes, limits, module, bans");
            }
            types.add(one.getKey(), resources);
        }
        change.add("types", types);
        return change;
    }

    /** A control service's message, whole, as a change: named by its version. */
    private static JsonObject streamed(JsonObject message) {
        String type = message.get("type_url").getAsString();
        String version =
                message.has("version_info") ? message.get("version_info").getAsString() : "";
        JsonObject change = new JsonObject();
        if (!message.has("resources") || message.has("from_version")) {
            throw new IllegalArgumentException("only a type's whole state can be proposed, with 'resources'");
        }
        String name = type.substring(type.lastIndexOf('/') + 1);
        if (!version.isEmpty()) {
            String full = name + "-" + version;
            change.addProperty("name", full.substring(0, Math.min(MOST_NAME, full.length())));
        }
        JsonObject types = new JsonObject();
        types.add(name, message.get("resources"));
        change.add("types", types);
        return change;
    }

    private static JsonObject named(String name, JsonObject more) {
        JsonObject all = new JsonObject();
        all.addProperty("name", name);
        more.entrySet().forEach(one -> all.add(one.getKey(), one.getValue()));
        return all;
    }

    private static JsonObject json(UnmodifiableConfig from) {
        JsonObject all = new JsonObject();
        for (UnmodifiableConfig.Entry entry : from.entrySet()) {
            Object value = entry.getValue();
            all.add(
                    entry.getKey(),
                    value instanceof UnmodifiableConfig table ? json(table) : new Gson().toJsonTree(value));
        }
        return all;
    }
}
