package laneflow.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** One run of the command line, and what it printed on either stream. */
public record CliRun(int code, String text) {
    public static CliRun of(String... args) {
        StringWriter text = new StringWriter();
        CommandLine line = Cli.commandLine(args);
        line.setOut(new PrintWriter(text));
        line.setErr(new PrintWriter(text));
        int code = line.execute(args);
        return new CliRun(code, text.toString());
    }
}
