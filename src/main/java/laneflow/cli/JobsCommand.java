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
 * {@code jobs}: a store of durable jobs, looked at and cared for while no scheduler has it open; one that is
 * held is refused in words. While a scheduler runs, its {@code GET /jobs/ID} and {@code DELETE /jobs/ID} do
 * the same.
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
        description = "Looks at and cares for a store of durable jobs that no scheduler holds.")
final class JobsCommand implements Runnable {
    private static final String FORM = "%-16s  %-9s  %-14s  %8s  %-24s  %s%n";

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** What all of them need. */
    private abstract static class Base implements Callable<Integer> {
        @Spec
        protected CommandSpec spec;

        @Option(names = "--json", description = "Answer in JSON.")
        protected boolean json;

        protected PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** Opens a store that is there: none is made by looking. */
        protected static Store open(Path dir) throws IOException {
            if (!Files.exists(dir.resolve("jobs.db"))) {
                throw new IOException(dir + ": there is no store");
            }
            return Store.open(dir, StoreMaintenance.NO_LIMIT);
        }

        protected void say(JsonElement element, String text) {
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

        protected long id(String text) {
            try {
                if (text.length() == 16) {
                    return Long.parseUnsignedLong(text, 16);
                }
            } catch (NumberFormatException e) {
                // Said below, as for any other length.
                throw new ParameterException(spec.commandLine(), "'" + text + "' is no job's id", e);
            }
            throw new ParameterException(spec.commandLine(), "'" + text + "' is no job's id: 16 hex digits");
        }

        protected static JsonObject json(JobRow row) {
            JsonObject to = new JsonObject();
            to.addProperty("id", StoreMaintenance.hex(row.id()));
            to.addProperty("state", row.state().name().toLowerCase(Locale.ROOT));
            to.addProperty("reason", row.reason());
            to.addProperty("class", row.jobClass());
            to.addProperty("function", row.function());
            to.addProperty("key", row.key());
            to.addProperty("body_bytes", row.bodyBytes());
            to.addProperty("accepted_ms", row.acceptedMs());
            to.addProperty("changed_ms", row.changedMs());
            JsonArray attempts = new JsonArray();
            for (AttemptRecord attempt : row.attempts()) {
                JsonObject one = new JsonObject();
                one.addProperty("lease", attempt.number());
                one.addProperty("endpoint", attempt.endpoint());
                one.addProperty("leased_ms", attempt.leasedMs());
                one.addProperty("end_ms", attempt.endMs());
                one.addProperty("known", attempt.known().name().toLowerCase(Locale.ROOT));
                attempts.add(one);
            }
            to.add("attempts", attempts);
            return to;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists jobs, the oldest first.")
    int list(
            @Parameters(paramLabel = "DIR") Path dir,
            @Option(names = "--state", paramLabel = "STATE", description = "Only those: ${COMPLETION-CANDIDATES}.")
                    State state,
            @Option(names = "--class", paramLabel = "NAME", description = "Only those of it.") String jobClass,
            @Option(
                            names = "--most",
                            paramLabel = "N",
                            defaultValue = "1000",
                            description = "No more than so many (default: 1000).")
                    int most,
            @Option(names = "--json", description = "Answer in JSON.") boolean json)
            throws IOException {
        JsonArray all = new JsonArray();
        PrintWriter out = spec.commandLine().getOut();
        long[] count = new long[2];
        try (Store store = Base.open(dir)) {
            if (!json) {
                out.printf(FORM, "id", "state", "class", "bytes", "accepted", "why");
            }
            store.read(false, row -> {
                if (state != null && row.state() != state
                        || jobClass != null && !row.jobClass().equals(jobClass)) {
                    return;
                }
                if (count[0]++ >= most) {
                    count[1]++;
                } else if (json) {
                    all.add(Base.json(row));
                } else {
                    out.printf(
                            FORM,
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
                    .toJson(all));
        } else if (count[1] > 0) {
            out.println("... and " + count[1] + " more: --most");
        }
        out.flush();
        return 0;
    }

    /** One job, whole. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Shows one job with its attempts.")
    static final class Show extends Base {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Parameters(index = "1", paramLabel = "ID")
        private String id;

        @Override
        public Integer call() throws IOException {
            long wanted = id(id);
            try (Store store = open(dir)) {
                JobRow row = StoreMaintenance.find(store, wanted);
                if (row == null) {
                    throw new IOException(dir + ": no job " + id);
                }
                JsonObject all = json(row);
                all.addProperty("body_base64", Base64.getEncoder().encodeToString(row.body()));
                byte[] result = store.result(wanted);
                if (result != null) {
                    all.addProperty("result_base64", Base64.getEncoder().encodeToString(result));
                }
                StringBuilder text = new StringBuilder();
                text.append(id)
                        .append(' ')
                        .append(all.get("state").getAsString())
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
                say(all, text.toString().stripTrailing());
            }
            return 0;
        }
    }

    /** Cancels. */
    @Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job that has not begun.")
    static final class Cancel extends Base {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Parameters(index = "1", paramLabel = "ID")
        private String id;

        @Override
        public Integer call() throws IOException {
            long wanted = id(id);
            try (Store store = open(dir)) {
                StoreMaintenance.cancel(store, wanted, System.currentTimeMillis());
            }
            JsonObject said = new JsonObject();
            said.addProperty("cancelled", id);
            say(said, id + " cancelled");
            return 0;
        }
    }

    /** Looks for damage. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Reads all of it and names whatever is damaged; exit code 1 if anything is.")
    static final class Verify extends Base {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Option(names = "--accept-loss", description = "Go on with what is left where commits are missing.")
        private boolean acceptLoss;

        @Override
        public Integer call() throws IOException {
            long lost = acceptLoss ? Store.acceptLoss(dir) : 0;
            List<String> damage = new ArrayList<>();
            long commits;
            try (Store store = open(dir)) {
                store.verify(damage::add);
                commits = store.commits();
            }
            JsonObject said = new JsonObject();
            JsonArray all = new JsonArray();
            damage.forEach(all::add);
            said.addProperty("commits", commits);
            said.addProperty("commits_lost", lost);
            said.add("damage", all);
            say(
                    said,
                    (lost > 0 ? lost + " commits given up\n" : "")
                            + (damage.isEmpty() ? "sound, " + commits + " commits" : String.join("\n", damage)));
            return damage.isEmpty() ? 0 : 1;
        }
    }

    /** Gives back free room. */
    @Command(name = "compact", mixinStandardHelpOptions = true, description = "Gives all free room back to the disk.")
    static final class Compact extends Base {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path dir;

        @Override
        public Integer call() throws IOException {
            long before = Files.size(dir.resolve("jobs.db"));
            try (Store store = open(dir)) {
                store.compact();
            }
            long after = Files.size(dir.resolve("jobs.db"));
            JsonObject said = new JsonObject();
            said.addProperty("bytes_before", before);
            said.addProperty("bytes_after", after);
            say(said, before + " bytes before, " + after + " after");
            return 0;
        }
    }

    /** Takes over another's jobs. */
    @Command(
            name = "adopt",
            mixinStandardHelpOptions = true,
            description = "Moves all jobs of a dead scheduler's store into another one.")
    static final class Adopt extends Base {
        @Parameters(index = "0", paramLabel = "FROM", description = "The dead scheduler's store.")
        private Path from;

        @Parameters(index = "1", paramLabel = "INTO", description = "The store that takes them over.")
        private Path into;

        @Override
        public Integer call() throws IOException {
            StoreMaintenance.AdoptionResult adopted;
            try (Store dead = open(from);
                    Store living = Store.open(into, StoreMaintenance.NO_LIMIT)) {
                adopted = StoreMaintenance.adopt(dead, living);
            }
            JsonObject said = new JsonObject();
            said.addProperty("moved", adopted.moved());
            said.addProperty("there_already", adopted.alreadyPresent());
            JsonArray keys = new JsonArray();
            adopted.keyConflicts().forEach(keys::add);
            said.add("keys_taken", keys);
            String text = adopted.moved() + " jobs moved, " + adopted.alreadyPresent() + " were there already";
            say(
                    said,
                    adopted.keyConflicts().isEmpty()
                            ? text
                            : text
                                    + "\nkept apart, their keys belong to other jobs: "
                                    + String.join(", ", adopted.keyConflicts()));
            return 0;
        }
    }
}
