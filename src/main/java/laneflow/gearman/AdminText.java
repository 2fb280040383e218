package laneflow.gearman;

import java.util.Locale;
import java.util.Map;
import laneflow.gearman.decision.Queues;
import org.slf4j.LoggerFactory;

/**
 * The text protocol: one line asked, an answer in the forms that tools of the protocol parse. Lists end
 * with a line that holds a dot alone. On the loop's thread.
 */
final class AdminText {
    private static final String END = ".\n";
    private static final String OK = "OK\n";
    private static final String UNKNOWN = "ERR UNKNOWN_COMMAND Unknown+server+command\n";
    private static final String MISSING =
            "ERR INCOMPLETE_ARGS" + " An+incomplete+set+of+arguments+was+sent+to+this+command\n";

    private final GearmanFront front;

    AdminText(GearmanFront front) {
        this.front = front;
    }

    /** Answers a line. */
    String answer(String line) {
        String[] words = line.strip().split("\\s+");
        switch (words[0].toLowerCase(Locale.ROOT)) {
            case "status":
                return status();
            case "prioritystatus":
                return priorities();
            case "workers":
                StringBuilder all = new StringBuilder();
                front.eachPeer(peer -> all.append(peer.describe()));
                return all + END;
            case "version":
                String version = AdminText.class.getPackage().getImplementationVersion();
                return "OK " + (version == null ? "laneflow" : version) + "\n";
            case "getpid":
                return "OK " + ProcessHandle.current().pid() + "\n";
            case "verbose":
                return "OK " + (LoggerFactory.getLogger(GearmanFront.class).isDebugEnabled() ? "DEBUG" : "INFO") + "\n";
            case "maxqueue":
                return words.length < 2 ? MISSING : limit(words);
            case "create":
            case "drop":
                return words.length < 3
                        ? MISSING
                        : !words[1].equals("function")
                                ? UNKNOWN
                                : words[0].equals("create") ? create(words[2]) : drop(words[2]);
            case "show":
                return words.length < 2 ? MISSING : show(words);
            case "cancel":
                return words.length < 3 ? MISSING : !words[1].equals("job") ? UNKNOWN : cancel(words[2]);
            case "shutdown":
                return words.length > 1 && !words[1].equals("graceful") ? UNKNOWN : shutdown();
            default:
                return UNKNOWN;
        }
    }

    /** Function, jobs in all, running, workers. */
    private String status() {
        StringBuilder all = new StringBuilder();
        for (Map.Entry<String, Queues.Row> one : front.queues.rows().entrySet()) {
            Queues.Row row = one.getValue();
            all.append(one.getKey())
                    .append('\t')
                    .append(row.queued() + row.running())
                    .append('\t')
                    .append(row.running())
                    .append('\t')
                    .append(row.workers())
                    .append('\n');
        }
        return all + END;
    }

    /** Function, waiting by priority, workers. */
    private String priorities() {
        StringBuilder all = new StringBuilder();
        for (Map.Entry<String, Queues.Row> one : front.queues.rows().entrySet()) {
            Queues.Row row = one.getValue();
            all.append(one.getKey())
                    .append('\t')
                    .append(row.queued(Queues.HIGH))
                    .append('\t')
                    .append(row.queued(Queues.NORMAL))
                    .append('\t')
                    .append(row.queued(Queues.LOW))
                    .append('\t')
                    .append(row.workers())
                    .append('\n');
        }
        return all + END;
    }

    /** One limit for all priorities, or one each; none: any number may wait. */
    private String limit(String[] words) {
        if (front.config.function(words[1]) == null) {
            return "ERR UNKNOWN_FUNCTION function+not+found\n";
        }
        for (int i = 2; i < words.length; i++) {
            if (!words[i].matches("-?[0-9]{1,9}") || i > 4) {
                return "ERR BAD_LIMIT a+limit+is+a+number\n";
            }
        }
        for (int priority = Queues.HIGH; priority <= Queues.LOW; priority++) {
            String most = words.length == 3 ? words[2] : words.length > 3 + priority - 1 ? words[2 + priority] : "0";
            front.queues.limit(words[1], priority, Integer.parseInt(most));
        }
        return OK;
    }

    private String create(String function) {
        if (front.config.function(function) == null) {
            return "ERR UNKNOWN_FUNCTION no+class+is+mapped+for+it\n";
        }
        front.queues.row(function);
        return OK;
    }

    private String drop(String function) {
        if (!front.queues.knows(function)) {
            return "ERR function not found\n";
        }
        if (!front.queues.row(function).isIdle()) {
            return "ERR there are still connected workers or executing clients\n";
        }
        if (!front.config.forget(function)) {
            return "ERR MAPPED the+configuration+maps+it\n";
        }
        front.queues.drop(function);
        return OK;
    }

    /**
     * 'show jobs': handle, retries, whether it is passed over, whether it waits. 'show unique jobs':
     * uniques.
     */
    private String show(String[] words) {
        StringBuilder all = new StringBuilder();
        if (words[1].equals("jobs")) {
            front.eachJob(job -> all.append(job.handle)
                    .append('\t')
                    .append(Math.max(0, job.attempts - 1))
                    .append("\t0\t")
                    .append(job.running ? 0 : 1)
                    .append('\n'));
            return all + END;
        }
        if (words.length > 2 && words[1].equals("unique") && words[2].equals("jobs")) {
            front.eachJob(job -> all.append(job.unique.isEmpty() ? "" : job.unique + "\n"));
            return all + END;
        }
        return UNKNOWN;
    }

    private String cancel(String handle) {
        switch (front.cancel(handle)) {
            case YES:
                return OK;
            case BEGUN:
                return "ERR JOB_RUNNING it+has+begun\n";
            default:
                return "ERR NO_SUCH_JOB no+job+of+that+handle\n";
        }
    }

    private String shutdown() {
        if (front.ending == null) {
            return "ERR NOT_ALLOWED the+configuration+does+not+allow+it\n";
        }
        front.loop.later(front.ending);
        return OK;
    }
}
