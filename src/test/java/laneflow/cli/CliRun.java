package laneflow.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** One run of the command line: its exit code and the text printed on standard output and standard error. */
public record CliRun(int code, String text) {
    public static CliRun of(String... args) {
        StringWriter text = new StringWriter();
        CommandLine commandLine = Cli.commandLine(args);
        commandLine.setOut(new PrintWriter(text));
        commandLine.setErr(new PrintWriter(text));
        int code = commandLine.execute(args);
        return new CliRun(code, text.toString());
    }
}
