package laneflow.gearman;

import java.util.Locale;
import java.util.Map;
import laneflow.gearman.decision.Queues;
import org.slf4j.LoggerFactory;

/**
 * Administrative commands of the text protocol: one line per command, answered in the format that Gearman
 * tools parse. Lists end with a line that holds a single dot. Runs on the loop's thread.
 */
final class AdminCommands {
    private static final String END = ".\n";
    private static final String OK = "OK\n";
    private static final String UNKNOWN_COMMAND = "ERR UNKNOWN_COMMAND Unknown+server+command\n";
    private static final String MISSING_ARGUMENT =
            "ERR INCOMPLETE_ARGS" + " An+incomplete+set+of+arguments+was+sent+to+this+command\n";

    private final GearmanFront front;

    AdminCommands(GearmanFront front) {
        this.front = front;
    }

    /** Executes the command on a line and returns the reply, line end included. */
    String execute(String line) {
        String[] words = line.strip().split("\\s+");
        switch (words[0].toLowerCase(Locale.ROOT)) {
            case "status":
                return status();
            case "prioritystatus":
                return priorities();
            case "workers":
                StringBuilder reply = new StringBuilder();
                front.eachPeer(peer -> reply.append(peer.describe()));
                return reply + END;
            case "version":
                String version = AdminCommands.class.getPackage().getImplementationVersion();
                return "OK " + (version == null ? "laneflow" : version) + "\n";
            case "getpid":
                return "OK " + ProcessHandle.current().pid() + "\n";
            case "verbose":
                return "OK " + (LoggerFactory.getLogger(GearmanFront.class).isDebugEnabled() ? "DEBUG" : "INFO") + "\n";
            case "maxqueue":
                return words.length < 2 ? MISSING_ARGUMENT : setLimits(words);
            case "create":
            case "drop":
                return words.length < 3
                        ? MISSING_ARGUMENT
                        : !words[1].equals("function")
                                ? UNKNOWN_COMMAND
                                : words[0].equals("create") ? create(words[2]) : drop(words[2]);
            case "show":
                return words.length < 2 ? MISSING_ARGUMENT : show(words);
            case "cancel":
                return words.length < 3
                        ? MISSING_ARGUMENT
                        : !words[1].equals("job") ? UNKNOWN_COMMAND : cancel(words[2]);
            case "shutdown":
                return words.length > 1 && !words[1].equals("graceful") ? UNKNOWN_COMMAND : shutdown();
            default:
                return UNKNOWN_COMMAND;
        }
    }

    /** One line per function: name, queued and running jobs, running jobs, workers. */
    private String status() {
        StringBuilder reply = new StringBuilder();
        for (Map.Entry<String, Queues.FunctionCounts> entry :
                front.queues.byFunction().entrySet()) {
            Queues.FunctionCounts counts = entry.getValue();
            reply.append(entry.getKey())
                    .append('\t')
                    .append(counts.queued() + counts.running())
                    .append('\t')
                    .append(counts.running())
                    .append('\t')
                    .append(counts.workers())
                    .append('\n');
        }
        return reply + END;
    }

    /** One line per function: name, queued jobs by priority, workers. */
    private String priorities() {
        StringBuilder reply = new StringBuilder();
        for (Map.Entry<String, Queues.FunctionCounts> entry :
                front.queues.byFunction().entrySet()) {
            Queues.FunctionCounts counts = entry.getValue();
            reply.append(entry.getKey())
                    .append('\t')
                    .append(counts.queued(Queues.HIGH))
                    .append('\t')
                    .append(counts.queued(Queues.NORMAL))
                    .append('\t')
                    .append(counts.queued(Queues.LOW))
                    .append('\t')
                    .append(counts.workers())
                    .append('\n');
        }
        return reply + END;
    }

    /** Sets one limit for all priorities or one for each; a missing limit means unlimited. */
    private String setLimits(String[] words) {
        if (front.config.function(words[1]) == null) {
            return "ERR UNKNOWN_FUNCTION function+not+found\n";
        }
        for (int i = 2; i < words.length; i++) {
            if (!words[i].matches("-?[0-9]{1,9}") || i > 4) {
                return "ERR BAD_LIMIT a+limit+is+a+number\n";
            }
        }
        for (int priority = Queues.HIGH; priority <= Queues.LOW; priority++) {
            String limit = words.length == 3 ? words[2] : words.length > 3 + priority - 1 ? words[2 + priority] : "0";
            front.queues.setLimit(words[1], priority, Integer.parseInt(limit));
        }
        return OK;
    }

    private String create(String function) {
        if (front.config.function(function) == null) {
            return "ERR UNKNOWN_FUNCTION no+class+is+mapped+for+it\n";
        }
        front.queues.counts(function);
        return OK;
    }

    private String drop(String function) {
        if (!front.queues.contains(function)) {
            return "ERR function not found\n";
        }
        if (!front.queues.counts(function).isIdle()) {
            return "ERR there are still connected workers or executing clients\n";
        }
        if (!front.config.forgetUnmapped(function)) {
            return "ERR MAPPED the+configuration+maps+it\n";
        }
        front.queues.removeIfIdle(function);
        return OK;
    }

    /**
     * 'show jobs': handle, retries, whether it is ignored (always 0), whether it is queued. 'show unique
     * jobs': unique ids.
     */
    private String show(String[] words) {
        StringBuilder reply = new StringBuilder();
        if (words[1].equals("jobs")) {
            front.eachJob(job -> reply.append(job.handle)
                    .append('\t')
                    .append(Math.max(0, job.attempts - 1))
                    .append("\t0\t")
                    .append(job.running ? 0 : 1)
                    .append('\n'));
            return reply + END;
        }
        if (words.length > 2 && words[1].equals("unique") && words[2].equals("jobs")) {
            front.eachJob(job -> reply.append(job.unique.isEmpty() ? "" : job.unique + "\n"));
            return reply + END;
        }
        return UNKNOWN_COMMAND;
    }

    private String cancel(String handle) {
        switch (front.cancel(handle)) {
            case CANCELLED:
                return OK;
            case STARTED:
                return "ERR JOB_RUNNING it+has+begun\n";
            default:
                return "ERR NO_SUCH_JOB no+job+of+that+handle\n";
        }
    }

    private String shutdown() {
        if (front.shutdownCommand == null) {
            return "ERR NOT_ALLOWED the+configuration+does+not+allow+it\n";
        }
        front.loop.later(front.shutdownCommand);
        return OK;
    }
}
