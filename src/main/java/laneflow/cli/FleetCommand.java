package laneflow.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code fleet}: who is there, as schedulers see it. Each tells its own view; where several are asked, views
 * that differ are told.
 */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Shows which schedulers are there, as they see each other.")
final class FleetCommand implements Runnable {
    private static final long PAUSE_MS = 100;
    private static final long MS = 1_000_000;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    private static JsonObject ask(PolicyCommand.Where where, String address) throws IOException, InterruptedException {
        PolicyCommand.Said answer = where.send(address, "/fleet", null);
        if (answer.statusCode() != 200) {
            throw new IOException(answer.body().strip());
        }
        try {
            return JsonParser.parseString(answer.body()).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IOException("the answer is no report: " + e.getMessage(), e);
        }
    }

    private static List<JsonObject> all(JsonObject view) {
        List<JsonObject> all = new ArrayList<>();
        all.add(view.getAsJsonObject("self"));
        view.getAsJsonArray("members").forEach(one -> all.add(one.getAsJsonObject()));
        return all;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Every member that each of these schedulers knows; exit code 1 if one can't be"
                    + " asked, is not a member, or their views differ.")
    int show(@Mixin PolicyCommand.Where where) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> digests = new HashMap<>();
        int code = 0;
        for (String address : where.addresses) {
            try {
                JsonObject view = ask(where, address);
                digests.putIfAbsent(view.get("digest").getAsString(), address);
                code = view.get("name_taken").getAsBoolean() ? 1 : code;
                if (where.json) {
                    out.println(view);
                } else {
                    table(out, view);
                }
            } catch (IOException e) {
                out.println(PolicyCommand.why(address, e));
                code = 1;
            }
        }
        if (digests.size() > 1) {
            out.println("their views differ: " + new TreeSet<>(digests.values()) + " say different things");
            code = 1;
        }
        out.flush();
        return code;
    }

    private static void table(PrintWriter out, JsonObject view) {
        out.printf(
                "%s sees %d live, %s%s%n",
                view.getAsJsonObject("self").get("name").getAsString(),
                view.get("live").getAsInt(),
                view.get("settled").getAsBoolean() ? "settled" : "not settled",
                view.get("name_taken").getAsBoolean() ? "; ITS NAME IS TAKEN by an elder process" : "");
        out.printf(
                "  %-16s %-8s %-9s %-12s %6s %5s %7s  %-21s %s%n",
                "member", "state", "clients", "zone", "policy", "load", "rate", "at", "since");
        for (JsonObject one : all(view)) {
            long policy = one.get("policy").getAsLong();
            out.printf(
                    "  %-16s %-8s %-9s %-12s %6s %4d%% %7s  %-21s %s%s%n",
                    one.get("name").getAsString(),
                    one.get("state").getAsString(),
                    one.get("condition").getAsString(),
                    one.get("zone").getAsString(),
                    policy < 0 ? "-" : String.valueOf(policy),
                    one.get("load_sixteenths").getAsInt() * 100 / 16,
                    rate(one.get("rate_below").getAsLong()),
                    one.get("at").getAsString(),
                    one.has("changed_ms")
                            ? Instant.ofEpochMilli(one.get("changed_ms").getAsLong())
                                    .truncatedTo(ChronoUnit.SECONDS)
                            : "-",
                    one.get("late").getAsBoolean() ? "  its loop is late" : "");
        }
    }

    private static String rate(long below) {
        return below == 0 ? "0" : "<" + below;
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Tells each change of the first scheduler's view that answers, until it is ended.")
    int watch(
            @Option(
                            names = "--for-ms",
                            paramLabel = "N",
                            defaultValue = "0",
                            description = "End after so long; 0: never.")
                    long forMs,
            @Mixin PolicyCommand.Where where)
            throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> known = new HashMap<>();
        long end = System.nanoTime() + forMs * MS;
        String trouble = "";
        while (forMs == 0 || System.nanoTime() < end) {
            String now = "";
            for (String address : where.addresses) {
                try {
                    JsonObject view = ask(where, address);
                    now = "";
                    tell(out, view, known, where.json);
                    break;
                } catch (IOException e) {
                    now = PolicyCommand.why(address, e);
                }
            }
            if (!now.equals(trouble) && !now.isEmpty()) {
                out.println(now);
            }
            trouble = now;
            out.flush();
            Thread.sleep(PAUSE_MS);
        }
        return trouble.isEmpty() ? 0 : 1;
    }

    private static void tell(PrintWriter out, JsonObject view, Map<String, String> known, boolean json) {
        for (JsonObject one : all(view)) {
            String name = one.get("name").getAsString();
            String now =
                    one.get("state").getAsString() + " " + one.get("condition").getAsString()
                            + " policy=" + one.get("policy") + " life=" + one.get("generation")
                            + (one.get("late").getAsBoolean() ? " late" : "");
            if (!now.equals(known.put(name, now))) {
                out.println(
                        json
                                ? one.toString()
                                : Instant.now().truncatedTo(ChronoUnit.MILLIS) + "  " + name + "  " + now);
            }
        }
    }

    @Command(
            name = "wait",
            mixinStandardHelpOptions = true,
            description = "Waits until every one of these schedulers sees so many live members: exit code 0,"
                    + " or 3 if that takes too long.")
    int await(
            @Option(
                            names = "--members",
                            paramLabel = "N",
                            required = true,
                            description = "How many, those asked among them.")
                    int members,
            @Option(names = "--settled", description = "And until all of them hold the same view, still.")
                    boolean settled,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "30000",
                            description = "How long (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin PolicyCommand.Where where)
            throws InterruptedException {
        long end = System.nanoTime() + waitMs * MS;
        while (true) {
            String missing = missing(where, members, settled);
            if (missing.isEmpty()) {
                return 0;
            }
            if (System.nanoTime() > end) {
                spec.commandLine().getErr().println("laneflow: " + missing);
                return 3;
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    private static String missing(PolicyCommand.Where where, int members, boolean settled) throws InterruptedException {
        TreeSet<String> digests = new TreeSet<>();
        for (String address : where.addresses) {
            try {
                JsonObject view = ask(where, address);
                JsonElement live = view.get("live");
                digests.add(view.get("digest").getAsString());
                if (live.getAsInt() != members) {
                    return address + " sees " + live + " live";
                }
                if (settled && !view.get("settled").getAsBoolean()) {
                    return address + " is not settled";
                }
            } catch (IOException e) {
                return PolicyCommand.why(address, e);
            }
        }
        return settled && digests.size() > 1 ? "their views differ" : "";
    }
}
