package laneflow.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code task}: shows the fleet's tasks, each run by one scheduler at a time, as the voters' leader reports them. */
@Command(
        name = "task",
        mixinStandardHelpOptions = true,
        description = "Shows the fleet's tasks and the schedulers that hold them.")
final class TaskCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows who holds each task, who waits for it and why, as the leader reports;"
                    + " exit code 1 if a task has no holder, 3 if none of these schedulers leads.")
    int show(@Mixin PolicyCommand.SchedulerClient client) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        List<String> failures = new ArrayList<>();
        String leader = "";
        for (String address : client.addresses) {
            try {
                PolicyCommand.Response response = client.send(address, "/tasks", null);
                if (response.statusCode() != 200) {
                    throw new IOException(response.body().strip());
                }
                JsonObject report = JsonParser.parseString(response.body()).getAsJsonObject();
                if (report.has("tasks")) {
                    int exitCode =
                            client.json ? printJson(out, report) : printTable(out, report.getAsJsonArray("tasks"));
                    out.flush();
                    return exitCode;
                }
                leader = report.get("leader").getAsString();
            } catch (IOException | JsonParseException | IllegalStateException e) {
                failures.add(PolicyCommand.describeFailure(address, e));
            }
        }
        failures.forEach(err::println);
        err.println("laneflow: none of these leads the voters"
                + (leader.isEmpty() ? "" : "; " + leader + " does, as far as they know")
                + ": give the addresses of all voters");
        err.flush();
        return 3;
    }

    private static int printJson(PrintWriter out, JsonObject report) {
        out.println(report);
        return exitCode(report.getAsJsonArray("tasks"));
    }

    private static int exitCode(JsonArray tasks) {
        for (JsonElement task : tasks) {
            if (task.getAsJsonObject().get("holder").getAsString().isEmpty()) {
                return 1;
            }
        }
        return 0;
    }

    private static int printTable(PrintWriter out, JsonArray tasks) {
        out.printf("%-28s %-9s %-24s %8s %8s  %s%n", "task", "kind", "holder", "token", "lease ms", "waiting");
        for (JsonElement element : tasks) {
            JsonObject task = element.getAsJsonObject();
            String holder = task.get("holder").getAsString();
            List<String> waiting = new ArrayList<>();
            task.getAsJsonArray("line").forEach(scheduler -> {
                if (!scheduler.getAsString().equals(holder)) {
                    waiting.add(scheduler.getAsString());
                }
            });
            out.printf(
                    "%-28s %-9s %-24s %8d %8d  %s%n",
                    task.get("task").getAsString(),
                    task.get("kind").getAsString(),
                    holder.isEmpty() ? "nobody" : holder,
                    task.get("token").getAsLong(),
                    task.get("acts_ms").getAsLong(),
                    String.join(" ", waiting));
            if (task.has("why")) {
                out.println("    " + task.get("why").getAsString());
            }
        }
        return exitCode(tasks);
    }
}
