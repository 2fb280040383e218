package laneflow.transcripts;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import laneflow.cli.CliRun;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The exact output of commands, and the exit codes that scripts rely on. */
class CliTranscriptsTest {
    @TempDir
    private Path folder;

    private static void run(Transcript transcript, String... args) {
        CliRun run = CliRun.of(args);
        transcript.message("laneflow " + String.join(" ", args), "exit code " + run.code(), sorted(run.text()));
    }

    /** Sorts the list of commands, which picocli collects in no fixed order where commands are methods. */
    private static String sorted(String text) {
        int headingIndex = text.indexOf("Commands:\n");
        if (headingIndex < 0) {
            return text;
        }
        int listIndex = headingIndex + "Commands:\n".length();
        String[] commands = text.substring(listIndex).split("\n(?=  \\S)");
        Arrays.setAll(commands, i -> commands[i].stripTrailing());
        Arrays.sort(commands);
        return text.substring(0, listIndex) + String.join("\n", commands) + "\n";
    }

    @Test
    void help() throws Exception {
        Transcript.of("The help of each command; lists of commands are sorted.", transcript -> {
            for (String command : new String[] {
                "serve",
                "benchlink",
                "import",
                "jobs",
                "jobs list",
                "jobs show",
                "jobs cancel",
                "jobs verify",
                "jobs compact",
                "jobs adopt",
                "config",
                "policy",
                "fleet",
                "fleet show",
                "fleet watch",
                "fleet wait",
                "task",
                "task show",
                "lab",
                "lab quickstart",
                "lab conformance"
            }) {
                run(transcript, (command + " --help").strip().split(" "));
            }
        });
    }

    @Test
    void wrongCalls() throws Exception {
        Transcript.of(
                "Usage errors: exit code 2 and the correct usage; missing input: 1. Lists of commands are sorted.",
                transcript -> {
                    for (String call : new String[] {
                        "serv",
                        "import",
                        "import --balancr x f",
                        "jobs",
                        "config",
                        "policy",
                        "fleet",
                        "lab",
                        "fleet wait",
                        "fleet show --at nowhere",
                        "jobs list no-such-folder",
                        "config show 127.0.0.1:1",
                        "fleet show --at 127.0.0.1:1",
                        "policy show --at 127.0.0.1:1",
                        "policy propose no-such-file --at 127.0.0.1:1"
                    }) {
                        run(transcript, call.split(" "));
                    }
                });
    }

    @Test
    void operatorsFile() throws Exception {
        Transcript.of(
                "Invalid operators' files: all errors are reported at once and the scheduler does not start.",
                transcript -> {
                    transcript.alias(folder.toString(), "<folder>");
                    for (String text : new String[] {
                        "listen = ",
                        "zones = ['a']\n",
                        "listen = 'here'\nzones = ['a']\n[limits]\nsockets = '9'\nattempts = 6\n"
                                + "[classes.c]\naim_ms = 9\ndeadline_ms = 3\nrepeat = 'keyed'\nworht = 1\n"
                                + "[endpoints.e]\nzone = 'b'\n[gearman]\nlisten = '127.0.0.1:1'\n"
                                + "[gearman.functions.f]\nclass = 'd'\ndurable = 1\n[durable]\ndir = 'x'\nstore_mib = 0\n",
                        "listen = '127.0.0.1:1'\nzones = ['a']\n[classes.c]\n[policy]\nvoters = ['x']\n",
                        "listen = '127.0.0.1:1'\nzones = ['a']\n[classes.c]\n[members]\nlisten = '127.0.0.1:2'\n"
                    }) {
                        Path file = Files.writeString(folder.resolve("laneflow.toml"), text);
                        transcript.message("laneflow.toml", "serve", text);
                        run(transcript, "serve", "--config", file.toString());
                    }
                });
    }
}
