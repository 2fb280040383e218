package laneflow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Suggestions and help on the command line, and the exit codes that scripts rely on. */
class CliTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        CommandLine commandLine = Cli.commandLine(args);
        return commandLine
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    @Test
    void aMistypedCommandOrOptionGetsASuggestion() {
        assertEquals(2, run("serv"));
        assertTrue(err.toString().contains("Did you mean: laneflow serve?"), err.toString());
        assertEquals(2, run("import", "--balancr", "x", "f"));
        assertTrue(err.toString().contains("--balancer"), err.toString());
    }

    @Test
    void helpAndVersionSucceedAndAMissingCommandIsAUsageError() {
        assertEquals(0, run("--help"));
        assertTrue(out.toString().contains("benchlink"), out.toString());
        assertEquals(0, run("--version"));
        assertTrue(out.toString().contains("laneflow "), out.toString());
        assertEquals(2, run());
        assertEquals(2, run("import"));
        assertEquals(2, run("import", "--address", "a=b:c:z.q", "f"));
        assertEquals(1, run("import", "no-such-file"));
    }
}
