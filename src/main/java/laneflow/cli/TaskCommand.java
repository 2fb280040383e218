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

/** {@code task}: what the fleet does once, and who does it, as the voters' leader sees it. */
@Command(
        name = "task",
        mixinStandardHelpOptions = true,
        description = "Shows what the fleet does once, and at which scheduler.")
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
            description = "Who holds each task, who waits for it and why, as the leader among these says;"
                    + " exit code 1 if a task is held by nobody, 3 if none of these leads.")
    int show(@Mixin PolicyCommand.Where where) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        List<String> silent = new ArrayList<>();
        String leader = "";
        for (String address : where.addresses) {
            try {
                PolicyCommand.Said answer = where.send(address, "/tasks", null);
                if (answer.statusCode() != 200) {
                    throw new IOException(answer.body().strip());
                }
                JsonObject all = JsonParser.parseString(answer.body()).getAsJsonObject();
                if (all.has("tasks")) {
                    int code = where.json ? json(out, all) : table(out, all.getAsJsonArray("tasks"));
                    out.flush();
                    return code;
                }
                leader = all.get("leader").getAsString();
            } catch (IOException | JsonParseException | IllegalStateException e) {
                silent.add(PolicyCommand.why(address, e));
            }
        }
        silent.forEach(err::println);
        err.println("laneflow: none of these leads the voters"
                + (leader.isEmpty() ? "" : "; " + leader + " does, as far as they know")
                + ": give the addresses of all voters");
        err.flush();
        return 3;
    }

    private static int json(PrintWriter out, JsonObject all) {
        out.println(all);
        return code(all.getAsJsonArray("tasks"));
    }

    private static int code(JsonArray tasks) {
        for (JsonElement one : tasks) {
            if (one.getAsJsonObject().get("holder").getAsString().isEmpty()) {
                return 1;
            }
        }
        return 0;
    }

    private static int table(PrintWriter out, JsonArray tasks) {
        out.printf("%-28s %-9s %-24s %8s %8s  %s%n", "task", "kind", "holder", "token", "lease ms", "waiting");
        for (JsonElement each : tasks) {
            JsonObject one = each.getAsJsonObject();
            String holder = one.get("holder").getAsString();
            List<String> waits = new ArrayList<>();
            one.getAsJsonArray("line").forEach(who -> {
                if (!who.getAsString().equals(holder)) {
                    waits.add(who.getAsString());
                }
            });
            out.printf(
                    "%-28s %-9s %-24s %8d %8d  %s%n",
                    one.get("task").getAsString(),
                    one.get("kind").getAsString(),
                    holder.isEmpty() ? "nobody" : holder,
                    one.get("token").getAsLong(),
                    one.get("acts_ms").getAsLong(),
                    String.join(" ", waits));
            if (one.has("why")) {
                out.println("    " + one.get("why").getAsString());
            }
        }
        return code(tasks);
    }
}
