package laneflow.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import laneflow.durable.JobRow;
import laneflow.durable.State;
import laneflow.durable.Store;
import laneflow.durable.StoreMaintenance;
import laneflow.durable.decision.AttemptRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code jobs}: inspects and maintains a store of durable jobs while no scheduler has it open; a store that is in use
 * is an error. A running scheduler offers {@code GET /jobs/ID} and {@code DELETE /jobs/ID} instead.
 */
@Command(
        name = "jobs",
        mixinStandardHelpOptions = true,
        subcommands = {
            JobsCommand.Show.class,
            JobsCommand.Cancel.class,
            JobsCommand.Verify.class,
            JobsCommand.Compact.class,
            JobsCommand.Adopt.class
        },
        description = "Inspects and maintains a store of durable jobs that no scheduler has open.")
final class JobsCommand implements Runnable {
    private static final String ROW_FORMAT = "%-16s  %-9s  %-14s  %8s  %-24s  %s%n";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** The options and helpers that the commands on a store share. */
    private abstract static class StoreCommand implements Callable<Integer> {
        @Spec
        protected CommandSpec spec;

        @Option(names = "--json", description = "Print JSON.")
        protected boolean json;

        protected PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Opens an existing store; never creates one. */
        protected static Store open(Path dir) throws IOException {
            if (!Files.exists(dir.resolve("jobs.db"))) {
                throw new IOException(dir + ": there is no store");
            }
            return Store.open(dir, StoreMaintenance.NO_LIMIT);
        }

        protected void print(JsonElement element, String text) {
            out().println(
                            json
                                    ? new GsonBuilder()
                                            .setPrettyPrinting()
                                            .disableHtmlEscaping()
                                            .create()
                                            .toJson(element)
                                    : text);
            out().flush();
        }

        protected long parseId(String text) {
            try {
                if (text.length() == 16) {
                    return Long.parseUnsignedLong(text, 16);
                }
            } catch (NumberFormatException e) {
                throw new ParameterException(spec.commandLine(), "'" + text + "' is not a job id", e);
            }
            throw new ParameterException(spec.commandLine(), "'" + text + "' is not a job id: 16 hex digits");
        }

        protected static JsonObject toJson(JobRow row) {
            JsonObject job = new JsonObject();
            job.addProperty("id", StoreMaintenance.hex(row.id()));
            job.addProperty("state", row.state().name().toLowerCase(Locale.ROOT));
            job.addProperty("reason", row.reason());
            job.addProperty("class", row.jobClass());
            job.addProperty("function", row.function());
            job.addProperty("key", row.key());
            job.addProperty("body_bytes", row.bodyBytes());
            job.addProperty("accepted_ms", row.acceptedMs());
            job.addProperty("changed_ms", row.changedMs());
            JsonArray attempts = new JsonArray();
            for (AttemptRecord attempt : row.attempts()) {
                JsonObject attemptJson = new JsonObject();
                attemptJson.addProperty("lease", attempt.number());
                attemptJson.addProperty("endpoint", attempt.endpoint());
                attemptJson.addProperty("leased_ms", attempt.leasedMs());
                attemptJson.addProperty("end_ms", attempt.endMs());
                attemptJson.addProperty("known", attempt.known().name().toLowerCase(Locale.ROOT));
                attempts.add(attemptJson);
            }
            job.add("attempts", attempts);
            return job;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists jobs, the oldest first.")
    int list(
            @Parameters(paramLabel = "DIR") Path dir,
            @Option(
                            names = "--state",
                            paramLabel = "STATE",
                            description = "Only jobs in this state: ${COMPLETION-CANDIDATES}.")
                    State state,
            @Option(names = "--class", paramLabel = "NAME", description = "Only jobs of this class.") String jobClass,
            @Option(
                            names = "--most",
                            paramLabel = "N",
                            defaultValue = "1000",
                            description = "The most jobs to list (default: 1000).")
                    int limit,
            @Option(names = "--json", description = "Print JSON.") boolean json)
            throws IOException {
        JsonArray jobs = new JsonArray();
        PrintWriter out = spec.commandLine().getOut();
        long[] matchedAndOmitted = new long[2];
        try (Store store = StoreCommand.open(dir)) {
            if (!json) {
                out.printf(ROW_FORMAT, "id", "state", "class", "bytes", "accepted", "why");
            }
            store.read(false, row -> {
                if (state != null && row.state() != state
                        || jobClass != null && !row.jobClass().equals(jobClass)) {
                    return;
                }
                if (matchedAndOmitted[0]++ >= limit) {
                    matchedAndOmitted[1]++;
                } else if (json) {
                    jobs.add(StoreCommand.toJson(row));
                } else {
                    out.printf(
                            ROW_FORMAT,
                            StoreMaintenance.hex(row.id()),
                            row.state().name().toLowerCase(Locale.ROOT),
                            row.jobClass(),
                            row.bodyBytes(),
                            Instant.ofEpochMilli(row.acceptedMs()),
                            row.reason());
                }
            });
        }
        if (json) {
            out.println(new GsonBuilder()
                    .setPrettyPrinting()
                    .disableHtmlEscaping()
                    .create()
                    .toJson(jobs));
        } else if (matchedAndOmitted[1] > 0) {
            out.println("... and " + matchedAndOmitted[1] + " more: --most");
        }
        out.flush();
        return 0;
    }

    /** Prints one job with its attempts, body and result. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows one job with its attempts.")
    static final class Show extends StoreCommand {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Parameters(index = "1", paramLabel = "ID")
        private String id;

        @Override
        public Integer call() throws IOException {
            long jobId = parseId(id);
            try (Store store = open(dir)) {
                JobRow row = StoreMaintenance.find(store, jobId);
                if (row == null) {
                    throw new IOException(dir + ": no job " + id);
                }
                JsonObject job = toJson(row);
                job.addProperty("body_base64", Base64.getEncoder().encodeToString(row.body()));
                byte[] result = store.result(jobId);
                if (result != null) {
                    job.addProperty("result_base64", Base64.getEncoder().encodeToString(result));
                }
                StringBuilder text = new StringBuilder();
                text.append(id)
                        .append(' ')
                        .append(job.get("state").getAsString())
                        .append(' ')
                        .append(row.jobClass())
                        .append(row.reason().isEmpty() ? "" : ": " + row.reason())
                        .append('\n');
                text.append("  accepted ")
                        .append(Instant.ofEpochMilli(row.acceptedMs()))
                        .append(", ")
                        .append(row.bodyBytes())
                        .append(" bytes\n");
                for (AttemptRecord attempt : row.attempts()) {
                    text.append("  lease ")
                            .append(attempt.number())
                            .append(" at ")
                            .append(attempt.endpoint())
                            .append(", ")
                            .append(Instant.ofEpochMilli(attempt.leasedMs()))
                            .append(" to ")
                            .append(Instant.ofEpochMilli(attempt.endMs()))
                            .append(": ")
                            .append(attempt.known().name().toLowerCase(Locale.ROOT))
                            .append('\n');
                }
                if (result != null) {
                    text.append("  result: ").append(new String(result, StandardCharsets.UTF_8));
                }
                print(job, text.toString().stripTrailing());
            }
            return 0;
        }
    }

    /** Cancels a job that has not begun. */
    @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job that has not begun.")
    static final class Cancel extends StoreCommand {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Parameters(index = "1", paramLabel = "ID")
        private String id;

        @Override
        public Integer call() throws IOException {
            long jobId = parseId(id);
            try (Store store = open(dir)) {
                StoreMaintenance.cancel(store, jobId, System.currentTimeMillis());
            }
            JsonObject result = new JsonObject();
            result.addProperty("cancelled", id);
            print(result, id + " cancelled");
            return 0;
        }
    }

    /** Checks a store for damage. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Checks the whole store and reports damage; exit code 1 if there is any.")
    static final class Verify extends StoreCommand {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Option(names = "--accept-loss", description = "Continue without missing commits.")
        private boolean acceptLoss;

        @Override
        public Integer call() throws IOException {
            long commitsLost = acceptLoss ? Store.acceptLoss(dir) : 0;
            List<String> damage = new ArrayList<>();
            long commits;
            try (Store store = open(dir)) {
                store.verify(damage::add);
                commits = store.commits();
            }
            JsonObject result = new JsonObject();
            JsonArray findings = new JsonArray();
            damage.forEach(findings::add);
            result.addProperty("commits", commits);
            result.addProperty("commits_lost", commitsLost);
            result.add("damage", findings);
            print(
                    result,
                    (commitsLost > 0 ? commitsLost + " commits given up\n" : "")
                            + (damage.isEmpty() ? "sound, " + commits + " commits" : String.join("\n", damage)));
            return damage.isEmpty() ? 0 : 1;
        }
    }

    /** Returns the free space of a store to the file system. */
    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = "Returns all free space to the file system.")
    static final class Compact extends StoreCommand {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Override
        public Integer call() throws IOException {
            long bytesBefore = Files.size(dir.resolve("jobs.db"));
            try (Store store = open(dir)) {
                store.compact();
            }
            long bytesAfter = Files.size(dir.resolve("jobs.db"));
            JsonObject result = new JsonObject();
            result.addProperty("bytes_before", bytesBefore);
            result.addProperty("bytes_after", bytesAfter);
            print(result, bytesBefore + " bytes before, " + bytesAfter + " after");
            return 0;
        }
    }

    /** Moves all jobs of a dead scheduler's store into another store. */
    @Command(
            name = "adopt",
            mixinStandardHelpOptions = true,
            description = "Moves all jobs of a dead scheduler's store into another store.")
    static final class Adopt extends StoreCommand {
        @Parameters(index = "0", paramLabel = "FROM", description = "The dead scheduler's store.")
        private Path from;

        @Parameters(index = "1", paramLabel = "INTO", description = "The store that takes them over.")
        private Path into;

        @Override
        public Integer call() throws IOException {
            StoreMaintenance.AdoptionResult adoption;
            try (Store source = open(from);
                    Store target = Store.open(into, StoreMaintenance.NO_LIMIT)) {
                adoption = StoreMaintenance.adopt(source, target);
            }
            JsonObject result = new JsonObject();
            result.addProperty("moved", adoption.moved());
            result.addProperty("there_already", adoption.alreadyPresent());
            JsonArray conflicts = new JsonArray();
            adoption.keyConflicts().forEach(conflicts::add);
            result.add("keys_taken", conflicts);
            String text = adoption.moved() + " jobs moved, " + adoption.alreadyPresent() + " were there already";
            print(
                    result,
                    adoption.keyConflicts().isEmpty()
                            ? text
                            : text
                                    + "\nkept apart, their keys belong to other jobs: "
                                    + String.join(", ", adoption.keyConflicts()));
            return 0;
        }
    }
}
