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
 * {@code maintenance}: requests maintenance windows, in which racks are down, and reports the work of crews. Every
 * command may be repeated safely: the same request names the same window, and a begun window stays begun.
 */
@Command(
        name = "maintenance",
        mixinStandardHelpOptions = true,
        description = "Requests and shows maintenance windows, and reports work at racks to the fleet.")
final class MaintenanceCommand implements Runnable {
    private static final long POLL_INTERVAL_MS = 100;
    private static final long NANOS_PER_MS = 1_000_000;
    /** How far ahead occurrences of a recurrence rule are requested; later ones need the file submitted again. */
    private static final Duration RECURRENCE_HORIZON = Duration.ofDays(56);
    /** States in which a crew can't get leave any more, or has it already. */
    private static final Set<String> STATES_PAST_LEAVE = Set.of("overrun", "returning", "done", "refused", "aborted");

    private static final Set<String> FINAL_STATES = Set.of("done", "refused");

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
            description = "Requests the windows of a file and waits until each has a time: exit code 0 if all"
                    + " have, 1 if one is rejected, 2 if the file is invalid, 3 if it is not known yet. Repeated"
                    + " with the same file it requests nothing new.")
    int request(
            @Parameters(paramLabel = "FILE", description = "The request in TOML, see docs/maintenance-windows.md.")
                    Path file,
            @Option(
                            names = "--calendar",
                            paramLabel = "FILE",
                            description = "Freezes in TOML: no window of this request is planned in them.")
                    Path calendar,
            @Option(
                            names = "--dry-run",
                            description = "Only show which times the windows would have, or why they would have none.")
                    boolean dryRun,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "10000",
                            description = "How long to wait, in ms (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin PolicyCommand.SchedulerClient client,
            @Mixin WindowTable table)
            throws IOException, InterruptedException {
        try {
            read(file, calendar, null);
        } catch (ConfigException e) {
            // Reports all errors at once: checks again with the known racks, if a scheduler can be reached.
            read(file, calendar, knownRacks(client));
            throw e;
        }
        try {
            return submit(file, calendar, dryRun, System.nanoTime() + waitMs * NANOS_PER_MS, client, table);
        } catch (UnknownOutcomeException e) {
            return reportUnknown(e);
        }
    }

    private int submit(
            Path file,
            Path calendar,
            boolean dryRun,
            long endNanos,
            PolicyCommand.SchedulerClient client,
            WindowTable table)
            throws IOException, InterruptedException {
        JsonObject body = read(file, calendar, racks(sendUntilKnown(client, endNanos, "/maintenance", null)));
        body.addProperty("dry_run", dryRun);
        JsonArray windows = sendUntilKnown(client, endNanos, "/maintenance/requests", body.toString())
                .getAsJsonArray("windows");
        Set<String> names = new HashSet<>();
        windows.forEach(window -> names.add(window.getAsJsonObject().get("name").getAsString()));
        while (!dryRun && anyUnscheduled(windows) && System.nanoTime() < endNanos) {
            Thread.sleep(POLL_INTERVAL_MS);
            windows = withNames(
                    sendUntilKnown(client, endNanos, "/maintenance", null).getAsJsonArray("windows"), names);
        }
        PrintWriter out = spec.commandLine().getOut();
        if (client.json) {
            out.println(windows);
        } else {
            table.printRequested(out, windows);
        }
        out.flush();
        if (!dryRun && anyUnscheduled(windows)) {
            spec.commandLine().getErr().println("laneflow: not all windows have a time yet; see maintenance" + " show");
            return 3;
        }
        return anyInState(windows, "refused", "aborted") ? 1 : 0;
    }

    private static Set<String> knownRacks(PolicyCommand.SchedulerClient client) throws InterruptedException {
        try {
            return racks(sendUntilKnown(client, 0, "/maintenance", null));
        } catch (IOException e) {
            return null;
        }
    }

    private static Set<String> racks(JsonObject report) {
        if (!report.has("racks")) {
            return null;
        }
        Set<String> racks = new HashSet<>();
        report.getAsJsonArray("racks").forEach(rack -> racks.add(rack.getAsString()));
        return racks;
    }

    private static JsonObject read(Path file, Path calendar, Set<String> racks) throws IOException {
        long horizonMs = System.currentTimeMillis() + RECURRENCE_HORIZON.toMillis();
        List<String> findings = new ArrayList<>();
        List<Request> requests = List.of();
        List<Freeze> freezes = List.of();
        try {
            requests = RequestFile.read(readText(file), file.toString(), racks, horizonMs);
        } catch (ConfigException e) {
            findings.add(e.getMessage());
        }
        try {
            freezes = calendar == null
                    ? freezes
                    : RequestFile.freezes(readText(calendar), calendar.toString(), horizonMs);
        } catch (ConfigException e) {
            findings.add(e.getMessage());
        }
        if (!findings.isEmpty()) {
            throw new ConfigException(findings);
        }
        JsonObject body = new JsonObject();
        JsonArray requestArray = new JsonArray();
        for (Request request : requests) {
            requestArray.add(MaintenanceJson.write(request.withFreezes(freezes)));
        }
        body.add("requests", requestArray);
        return body;
    }

    private static String readText(Path file) throws IOException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new IOException(file + ": there is no such file", e);
        }
    }

    private static boolean hasState(JsonElement window, Set<String> states) {
        return states.contains(window.getAsJsonObject().get("state").getAsString());
    }

    private static boolean anyInState(JsonArray windows, String... states) {
        return StreamSupport.stream(windows.spliterator(), false).anyMatch(window -> hasState(window, Set.of(states)));
    }

    private static boolean anyUnscheduled(JsonArray windows) {
        return anyInState(windows, "requested", "postponed");
    }

    private static JsonArray withNames(JsonArray windows, Set<String> names) {
        JsonArray matching = new JsonArray();
        windows.forEach(window -> {
            if (names.contains(window.getAsJsonObject().get("name").getAsString())) {
                matching.add(window);
            }
        });
        return matching;
    }

    // ---- show ----

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows all windows, or the named one, with the reasons for its state: exit code 1 if"
                    + " one has overrun, if there is no coordinator, or if there is no window of that name; 3 if none"
                    + " of these schedulers knows.")
    int show(
            @Parameters(paramLabel = "NAME", arity = "0..1", description = "The window's name.") String name,
            @Mixin PolicyCommand.SchedulerClient client,
            @Mixin WindowTable table)
            throws IOException, InterruptedException {
        JsonObject report;
        try {
            report = sendUntilKnown(client, 0, "/maintenance", null);
        } catch (UnknownOutcomeException e) {
            return reportUnknown(e);
        }
        PrintWriter out = spec.commandLine().getOut();
        JsonArray windows = report.getAsJsonArray("windows");
        if (name != null) {
            windows = withNames(windows, Set.of(name));
            if (windows.isEmpty()) {
                throw new IOException("there is no window '" + name + "'");
            }
        }
        // The process's generation, which follows the name after '#', is of no use to operators.
        String coordinator = report.get("coordinator").getAsString().split("#")[0];
        if (client.json) {
            out.println(name == null ? report : windows.get(0));
        } else if (name == null) {
            out.println((coordinator.isEmpty() ? "nobody coordinates" : coordinator + " coordinates")
                    + (windows.isEmpty() ? "; no windows" : ""));
            table.printAll(out, windows);
        } else {
            table.printDetails(out, windows.get(0).getAsJsonObject());
        }
        out.flush();
        return coordinator.isEmpty() || anyInState(windows, "overrun") ? 1 : 0;
    }

    // ---- begin, finish and abort ----

    @Command(
            name = "begin",
            mixinStandardHelpOptions = true,
            description = "Requests leave for a crew to begin. Exit code 0: no scheduler sends to these racks any"
                    + " more, and work may begin. Any other: keep away from the racks; 1 if there is no leave, 3 if"
                    + " it is not known.")
    int begin(
            @Parameters(paramLabel = "NAME", description = "The window's name.") String name,
            @Option(
                            names = "--wait-ms",
                            paramLabel = "N",
                            defaultValue = "0",
                            description = "How long to wait for leave, in ms (default: ${DEFAULT-VALUE}).")
                    long waitMs,
            @Mixin PolicyCommand.SchedulerClient client)
            throws IOException, InterruptedException {
        return postAction(client, name, "begin", waitMs);
    }

    @Command(
            name = "finish",
            mixinStandardHelpOptions = true,
            description = "Reports that a crew has finished, which returns its racks to service. Exit code 1 if"
                    + " there was no work, 3 if the outcome is not known.")
    int finish(
            @Parameters(paramLabel = "NAME", description = "The window's name.") String name,
            @Mixin PolicyCommand.SchedulerClient client)
            throws IOException, InterruptedException {
        return postAction(client, name, "finish", 0);
    }

    @Command(
            name = "abort",
            mixinStandardHelpOptions = true,
            description = "Calls off a window. One whose crew is at work ends with finish; past its abort"
                    + " point it can't be called off: exit code 1, or 3 if the outcome is not known.")
    int abort(
            @Parameters(paramLabel = "NAME", description = "The window's name.") String name,
            @Mixin PolicyCommand.SchedulerClient client)
            throws IOException, InterruptedException {
        return postAction(client, name, "abort", 0);
    }

    private int postAction(PolicyCommand.SchedulerClient client, String name, String actionName, long waitMs)
            throws IOException, InterruptedException {
        JsonObject action = new JsonObject();
        action.addProperty("do", actionName);
        long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
        PrintWriter out = spec.commandLine().getOut();
        while (true) {
            try {
                JsonObject window = sendUntilKnown(client, endNanos, "/maintenance/windows/" + name, action.toString());
                String state = window.get("state").getAsString();
                out.println(client.json ? window : name + ": " + describeResult(actionName, state));
                out.flush();
                // Aborting a window that is over succeeds without an effect, which is reported as a failure.
                return actionName.equals("abort") && FINAL_STATES.contains(state) ? 1 : 0;
            } catch (UnknownOutcomeException e) {
                return reportUnknown(e);
            } catch (RejectedException e) {
                // Rejected in the window's current state: leave may still be granted later.
                if (!e.retryable || System.nanoTime() > endNanos || isPastLeave(client, name)) {
                    throw e;
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static String describeResult(String action, String state) {
        return switch (action) {
            case "begin" -> "leave given: work may begin";
            case "finish" -> state.equals("returning") ? "finished: its racks are given back" : state;
            default ->
                FINAL_STATES.contains(state)
                        ? "is " + state + " already: nothing is called off"
                        : state.equals("aborted")
                                ? "called off"
                                : "called off; it is " + state + " and comes back in order";
        };
    }

    private static boolean isPastLeave(PolicyCommand.SchedulerClient client, String name) throws InterruptedException {
        try {
            JsonObject report = sendUntilKnown(client, 0, "/maintenance", null);
            JsonArray matching = withNames(report.getAsJsonArray("windows"), Set.of(name));
            return matching.isEmpty() || hasState(matching.get(0), STATES_PAST_LEAVE);
        } catch (IOException e) {
            return false;
        }
    }

    // ---- requests to schedulers ----

    /** A scheduler rejected the request; the message is its response. */
    private static final class RejectedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final boolean retryable;

        private RejectedException(String message, boolean retryable) {
            super(message);
            this.retryable = retryable;
        }
    }

    /** No scheduler gave a definite response: the request may have taken effect or not. */
    private static final class UnknownOutcomeException extends IOException {
        private static final long serialVersionUID = 1L;

        private UnknownOutcomeException(IOException cause) {
            super(cause.getMessage(), cause);
        }
    }

    private int reportUnknown(UnknownOutcomeException e) {
        PrintWriter err = spec.commandLine().getErr();
        err.println("laneflow: not known: " + e.getMessage());
        err.flush();
        return 3;
    }

    /** Repeats the request until a scheduler gives a definite response or the time is over, at least once. */
    private static JsonObject sendUntilKnown(
            PolicyCommand.SchedulerClient client, long endNanos, String path, String body)
            throws IOException, InterruptedException {
        while (true) {
            try {
                PolicyCommand.Response response = client.sendToAny(path, body);
                String responseBody = response.body().strip();
                if (response.statusCode() == 200) {
                    return JsonParser.parseString(responseBody).getAsJsonObject();
                }
                if (response.statusCode() == 400) {
                    throw new ConfigException(List.of(responseBody));
                }
                throw new RejectedException(
                        responseBody.isEmpty() ? "answered " + response.statusCode() : responseBody,
                        response.statusCode() == 409);
            } catch (RejectedException e) {
                throw e;
            } catch (JsonParseException | IllegalStateException e) {
                throw new IOException("the response can't be parsed: " + e.getMessage(), e);
            } catch (IOException e) {
                if (System.nanoTime() > endNanos) {
                    throw new UnknownOutcomeException(e);
                }
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
