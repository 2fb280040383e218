package laneflow.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.StreamSupport;
import laneflow.config.ConfigException;
import laneflow.maintenance.RequestFile;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Plan.Freeze;
import laneflow.maintenance.decision.Request;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code maintenance}: windows in which racks go down, as their owners and crews ask for them. All that is
 * asked here may be asked again: the same request is the same window, and who has begun has begun.
 */
@Command(
        name = "maintenance",
        mixinStandardHelpOptions = true,
        description = "Asks for maintenance windows, shows them, and tells the fleet of work at racks.")
final class MaintenanceCommand implements Runnable {
    private static final long PAUSE_MS = 100;
    private static final long MS = 1_000_000;
    /** Occurrences of a rule are asked for so far ahead; the file is handed in again for those behind. */
    private static final Duration AHEAD = Duration.ofDays(56);
    /** States from which nobody gets leave any more, or has to ask for it. */
    private static final Set<String> PAST_LEAVE = Set.of("overrun", "returning", "done", "refused", "aborted");

    private static final Set<String> OVER = Set.of("done", "refused");

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    // ---- request ----

    @Command(
            name = "request",
            mixinStandardHelpOptions = true,
            description = "Asks for the windows of a file and waits until each has a time: exit code 0 if all"
                    + " have, 1 if one is turned down, 2 if the file is wrong, 3 if it is not known yet. Asked again"
                    + " with the same file it asks for nothing new.")
    int request(
            @Parameters(paramLabel = "FILE", description = "The request in TOML, see docs/maintenance-windows.md.")
                    Path file,
            @Option(
                            names = "--calendar",
                            paramLabel = "FILE",
                            description = "Freezes in TOML: nothing of this request is down in them.")
                    Path calendar,
            @Option(
                            names = "--dry-run",
                            description = "Only tell which time they would have, or who stands against them.")
                    boolean dryRun,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "10000",
                            description = "How long to wait for their times (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin PolicyCommand.Where where,
            @Mixin WindowTable table)
            throws IOException, InterruptedException {
        try {
            read(file, calendar, null);
        } catch (ConfigException e) {
            // All at once: racks that nobody has are told beside the rest, where somebody can say.
            read(file, calendar, known(where));
            throw e;
        }
        try {
            return ask(file, calendar, dryRun, System.nanoTime() + waitMs * MS, where, table);
        } catch (Unknown e) {
            return unknown(e);
        }
    }

    private int ask(Path file, Path calendar, boolean dryRun, long end, PolicyCommand.Where where, WindowTable table)
            throws IOException, InterruptedException {
        JsonObject body = read(file, calendar, racks(ask(where, end, "/maintenance", null)));
        body.addProperty("dry_run", dryRun);
        JsonArray told =
                ask(where, end, "/maintenance/requests", body.toString()).getAsJsonArray("windows");
        Set<String> names = new HashSet<>();
        told.forEach(one -> names.add(one.getAsJsonObject().get("name").getAsString()));
        while (!dryRun && hasNoTime(told) && System.nanoTime() < end) {
            Thread.sleep(PAUSE_MS);
            told = named(ask(where, end, "/maintenance", null).getAsJsonArray("windows"), names);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (where.json) {
            out.println(told);
        } else {
            table.asked(out, told);
        }
        out.flush();
        if (!dryRun && hasNoTime(told)) {
            spec.commandLine().getErr().println("laneflow: not all of them have a time yet; see maintenance" + " show");
            return 3;
        }
        return any(told, "refused", "aborted") ? 1 : 0;
    }

    private static Set<String> known(PolicyCommand.Where where) throws InterruptedException {
        try {
            return racks(ask(where, 0, "/maintenance", null));
        } catch (IOException e) {
            return null;
        }
    }

    private static Set<String> racks(JsonObject now) {
        if (!now.has("racks")) {
            return null;
        }
        Set<String> racks = new HashSet<>();
        now.getAsJsonArray("racks").forEach(one -> racks.add(one.getAsString()));
        return racks;
    }

    private static JsonObject read(Path file, Path calendar, Set<String> racks) throws IOException {
        long until = System.currentTimeMillis() + AHEAD.toMillis();
        List<String> findings = new ArrayList<>();
        List<Request> requests = List.of();
        List<Freeze> freezes = List.of();
        try {
            requests = RequestFile.read(text(file), file.toString(), racks, until);
        } catch (ConfigException e) {
            findings.add(e.getMessage());
        }
        try {
            freezes = calendar == null ? freezes : RequestFile.freezes(text(calendar), calendar.toString(), until);
        } catch (ConfigException e) {
            findings.add(e.getMessage());
        }
        if (!findings.isEmpty()) {
            throw new ConfigException(findings);
        }
        JsonObject body = new JsonObject();
        JsonArray asked = new JsonArray();
        for (Request one : requests) {
            asked.add(MaintenanceJson.write(one.withFreezes(freezes)));
        }
        body.add("requests", asked);
        return body;
    }

    private static String text(Path file) throws IOException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": there is no such file", e);
        }
    }

    private static boolean is(JsonElement window, Set<String> states) {
        return states.contains(window.getAsJsonObject().get("state").getAsString());
    }

    private static boolean any(JsonArray windows, String... states) {
        return StreamSupport.stream(windows.spliterator(), false).anyMatch(one -> is(one, Set.of(states)));
    }

    private static boolean hasNoTime(JsonArray windows) {
        return any(windows, "requested", "postponed");
    }

    private static JsonArray named(JsonArray windows, Set<String> names) {
        JsonArray these = new JsonArray();
        windows.forEach(one -> {
            if (names.contains(one.getAsJsonObject().get("name").getAsString())) {
                these.add(one);
            }
        });
        return these;
    }

    // ---- show ----

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "All windows, or that one, and why it stands where it does: exit code 1 if one has"
                    + " overrun, if nobody coordinates, or if there is none of that name; 3 if none of these"
                    + " schedulers knows.")
    int show(
            @Parameters(paramLabel = "NAME", arity = "0..1", description = "The window's name.") String name,
            @Mixin PolicyCommand.Where where,
            @Mixin WindowTable table)
            throws IOException, InterruptedException {
        JsonObject all;
        try {
            all = ask(where, 0, "/maintenance", null);
        } catch (Unknown e) {
            return unknown(e);
        }
        PrintWriter out = spec.commandLine().getOut();
        JsonArray windows = all.getAsJsonArray("windows");
        if (name != null) {
            windows = named(windows, Set.of(name));
            if (windows.isEmpty()) {
                throw new IOException("there is no window '" + name + "'");
            }
        }
        // Behind the name stands the process's life, which tells people nothing.
        String coordinator = all.get("coordinator").getAsString().split("#")[0];
        if (where.json) {
            out.println(name == null ? all : windows.get(0));
        } else if (name == null) {
            out.println((coordinator.isEmpty() ? "nobody coordinates" : coordinator + " coordinates")
                    + (windows.isEmpty() ? "; no windows" : ""));
            table.all(out, windows);
        } else {
            table.one(out, windows.get(0).getAsJsonObject());
        }
        out.flush();
        return coordinator.isEmpty() || any(windows, "overrun") ? 1 : 0;
    }

    // ---- what crews say ----

    @Command(
            name = "begin",
            mixinStandardHelpOptions = true,
            description = "A crew asks for leave to begin. Exit code 0: nobody sends to these racks any more,"
                    + " and work may begin. Any other: keep away from them; 1 if there is no leave, 3 if it is not"
                    + " known.")
    int begin(
            @Parameters(paramLabel = "NAME", description = "The window's name.") String name,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "0",
                            description = "How long to wait for leave (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin PolicyCommand.Where where)
            throws IOException, InterruptedException {
        return tell(where, name, "begin", waitMs);
    }

    @Command(
            name = "finish",
            mixinStandardHelpOptions = true,
            description = "A crew has finished: its racks are given back. Exit code 1 if there was no work,"
                    + " 3 if it is not known to be taken.")
    int finish(
            @Parameters(paramLabel = "NAME", description = "The window's name.") String name,
            @Mixin PolicyCommand.Where where)
            throws IOException, InterruptedException {
        return tell(where, name, "finish", 0);
    }

    @Command(
            name = "abort",
            mixinStandardHelpOptions = true,
            description = "Calls a window off. One whose crew is at work ends with finish; past its abort"
                    + " point it can't be called off: exit code 1, or 3 if it is not known to be taken.")
    int abort(
            @Parameters(paramLabel = "NAME", description = "The window's name.") String name,
            @Mixin PolicyCommand.Where where)
            throws IOException, InterruptedException {
        return tell(where, name, "abort", 0);
    }

    private int tell(PolicyCommand.Where where, String name, String what, long waitMs)
            throws IOException, InterruptedException {
        JsonObject said = new JsonObject();
        said.addProperty("do", what);
        long end = System.nanoTime() + waitMs * MS;
        PrintWriter out = spec.commandLine().getOut();
        while (true) {
            try {
                JsonObject now = ask(where, end, "/maintenance/windows/" + name, said.toString());
                String state = now.get("state").getAsString();
                out.println(where.json ? now : name + ": " + words(what, state));
                out.flush();
                // What is over is told so, and nothing has been called off.
                return what.equals("abort") && OVER.contains(state) ? 1 : 0;
            } catch (Unknown e) {
                return unknown(e);
            } catch (Refused e) {
                // Turned down by where it stands: leave may still come.
                if (!e.later || System.nanoTime() > end || isPast(where, name)) {
                    throw e;
                }
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    private static String words(String what, String state) {
        return switch (what) {
            case "begin" -> "leave given: work may begin";
            case "finish" -> state.equals("returning") ? "finished: its racks are given back" : state;
            default ->
                OVER.contains(state)
                        ? "is " + state + " already: nothing is called off"
                        : state.equals("aborted")
                                ? "called off"
                                : "called off; it is " + state + " and comes back in order";
        };
    }

    private static boolean isPast(PolicyCommand.Where where, String name) throws InterruptedException {
        try {
            JsonObject all = ask(where, 0, "/maintenance", null);
            JsonArray one = named(all.getAsJsonArray("windows"), Set.of(name));
            return one.isEmpty() || is(one.get(0), PAST_LEAVE);
        } catch (IOException e) {
            return false;
        }
    }

    // ---- asking ----

    /** Turned down, in the scheduler's own words. */
    private static final class Refused extends IOException {
        private static final long serialVersionUID = 1L;
        private final boolean later;

        private Refused(String message, boolean later) {
            super(message);
            this.later = later;
        }
    }

    /** None of them could say: it may have been taken or not. */
    private static final class Unknown extends IOException {
        private static final long serialVersionUID = 1L;

        private Unknown(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }

    private int unknown(Unknown e) {
        PrintWriter err = spec.commandLine().getErr();
        err.println("laneflow: not known: " + e.getMessage());
        err.flush();
        return 3;
    }

    /** Asks until one of them can say, at least once, and no longer than to that instant. */
    private static JsonObject ask(PolicyCommand.Where where, long endNs, String path, String body)
            throws IOException, InterruptedException {
        while (true) {
            try {
                PolicyCommand.Said answer = where.ask(path, body);
                String text = answer.body().strip();
                if (answer.statusCode() == 200) {
                    return JsonParser.parseString(text).getAsJsonObject();
                }
                if (answer.statusCode() == 400) {
                    throw new ConfigException(List.of(text));
                }
                throw new Refused(
                        text.isEmpty() ? "answered " + answer.statusCode() : text, answer.statusCode() == 409);
            } catch (Refused e) {
                throw e;
            } catch (JsonParseException | IllegalStateException e) {
                throw new IOException("the answer is none: " + e.getMessage(), e);
            } catch (IOException e) {
                if (System.nanoTime() > endNs) {
                    throw new Unknown(e);
                }
            }
            Thread.sleep(PAUSE_MS);
        }
    }
}
