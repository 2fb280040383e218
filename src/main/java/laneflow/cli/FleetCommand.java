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
 * {@code fleet}: shows the members of the fleet. Each scheduler reports its own view of the membership; if several
 * are asked, differences between their views are reported.
 */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Shows the members of the fleet, as the schedulers see each other.")
final class FleetCommand implements Runnable {
    private static final long POLL_INTERVAL_MS = 100;
    private static final long NANOS_PER_MS = 1_000_000;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    private static JsonObject fetchView(PolicyCommand.SchedulerClient client, String address)
            throws IOException, InterruptedException {
        PolicyCommand.Response response = client.send(address, "/fleet", null);
        if (response.statusCode() != 200) {
            throw new IOException(response.body().strip());
        }
        try {
            return JsonParser.parseString(response.body()).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new IOException("the response is not a report: " + e.getMessage(), e);
        }
    }

    private static List<JsonObject> members(JsonObject view) {
        List<JsonObject> members = new ArrayList<>();
        members.add(view.getAsJsonObject("self"));
        view.getAsJsonArray("members").forEach(member -> members.add(member.getAsJsonObject()));
        return members;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows the members that each of these schedulers knows; exit code 1 if one can't be"
                    + " reached, is not a member, or their views differ.")
    int show(@Mixin PolicyCommand.SchedulerClient client) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> digests = new HashMap<>();
        int code = 0;
        for (String address : client.addresses) {
            try {
                JsonObject view = fetchView(client, address);
                digests.putIfAbsent(view.get("digest").getAsString(), address);
                code = view.get("name_taken").getAsBoolean() ? 1 : code;
                if (client.json) {
                    out.println(view);
                } else {
                    printTable(out, view);
                }
            } catch (IOException e) {
                out.println(PolicyCommand.describeFailure(address, e));
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

    private static void printTable(PrintWriter out, JsonObject view) {
        out.printf(
                "%s sees %d live, %s%s%n",
                view.getAsJsonObject("self").get("name").getAsString(),
                view.get("live").getAsInt(),
                view.get("settled").getAsBoolean() ? "settled" : "not settled",
                view.get("name_taken").getAsBoolean() ? "; ITS NAME IS TAKEN by an elder process" : "");
        out.printf(
                "  %-16s %-8s %-9s %-12s %6s %5s %7s  %-21s %s%n",
                "member", "state", "clients", "zone", "policy", "load", "rate", "at", "since");
        for (JsonObject member : members(view)) {
            long policy = member.get("policy").getAsLong();
            out.printf(
                    "  %-16s %-8s %-9s %-12s %6s %4d%% %7s  %-21s %s%s%n",
                    member.get("name").getAsString(),
                    member.get("state").getAsString(),
                    member.get("condition").getAsString(),
                    member.get("zone").getAsString(),
                    policy < 0 ? "-" : String.valueOf(policy),
                    member.get("load_sixteenths").getAsInt() * 100 / 16,
                    rate(member.get("rate_below").getAsLong()),
                    member.get("at").getAsString(),
                    member.has("changed_ms")
                            ? Instant.ofEpochMilli(member.get("changed_ms").getAsLong())
                                    .truncatedTo(ChronoUnit.SECONDS)
                            : "-",
                    member.get("late").getAsBoolean() ? "  its loop is late" : "");
        }
    }

    private static String rate(long upperBound) {
        return upperBound == 0 ? "0" : "<" + upperBound;
    }

    @Command(
            name = "watch",
            mixinStandardHelpOptions = true,
            description = "Prints each change in the view of the first scheduler that responds, until interrupted.")
    int watch(
            @Option(
                            names = "--for-ms",
                            paramLabel = "N",
                            defaultValue = "0",
                            description = "End after this time, in ms; 0: never.")
                    long forMs,
            @Mixin PolicyCommand.SchedulerClient client)
            throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Map<String, String> lastSeen = new HashMap<>();
        long endNanos = System.nanoTime() + forMs * NANOS_PER_MS;
        String reportedFailure = "";
        while (forMs == 0 || System.nanoTime() < endNanos) {
            String failure = "";
            for (String address : client.addresses) {
                try {
                    JsonObject view = fetchView(client, address);
                    failure = "";
                    printChanges(out, view, lastSeen, client.json);
                    break;
                } catch (IOException e) {
                    failure = PolicyCommand.describeFailure(address, e);
                }
            }
            if (!failure.equals(reportedFailure) && !failure.isEmpty()) {
                out.println(failure);
            }
            reportedFailure = failure;
            out.flush();
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return reportedFailure.isEmpty() ? 0 : 1;
    }

    private static void printChanges(PrintWriter out, JsonObject view, Map<String, String> lastSeen, boolean json) {
        for (JsonObject member : members(view)) {
            String name = member.get("name").getAsString();
            String status = member.get("state").getAsString() + " "
                    + member.get("condition").getAsString()
                    + " policy=" + member.get("policy") + " life=" + member.get("generation")
                    + (member.get("late").getAsBoolean() ? " late" : "");
            if (!status.equals(lastSeen.put(name, status))) {
                out.println(
                        json
                                ? member.toString()
                                : Instant.now().truncatedTo(ChronoUnit.MILLIS) + "  " + name + "  " + status);
            }
        }
    }

    @Command(
            name = "wait",
            mixinStandardHelpOptions = true,
            description = "Waits until each of these schedulers sees this many live members: exit code 0,"
                    + " or 3 on a timeout.")
    int await(
            @Option(
                            names = "--members",
                            paramLabel = "N",
                            required = true,
                            description = "The number of members, including the schedulers asked.")
                    int members,
            @Option(names = "--settled", description = "Also wait until all of them hold the same settled view.")
                    boolean settled,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "30000",
                            description = "How long to wait, in ms (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin PolicyCommand.SchedulerClient client)
            throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
        while (true) {
            String unmet = unmetCondition(client, members, settled);
            if (unmet.isEmpty()) {
                return 0;
            }
            if (System.nanoTime() > endNanos) {
                spec.commandLine().getErr().println("laneflow: " + unmet);
                return 3;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static String unmetCondition(PolicyCommand.SchedulerClient client, int members, boolean settled)
            throws InterruptedException {
        TreeSet<String> digests = new TreeSet<>();
        for (String address : client.addresses) {
            try {
                JsonObject view = fetchView(client, address);
                JsonElement live = view.get("live");
                digests.add(view.get("digest").getAsString());
                if (live.getAsInt() != members) {
                    return address + " sees " + live + " live";
                }
                if (settled && !view.get("settled").getAsBoolean()) {
                    return address + " is not settled";
                }
            } catch (IOException e) {
                return PolicyCommand.describeFailure(address, e);
            }
        }
        return settled && digests.size() > 1 ? "their views differ" : "";
    }
}
