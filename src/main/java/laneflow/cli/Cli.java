package laneflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import laneflow.config.ConfigException;
import laneflow.importer.Importer;
import laneflow.lab.Lab;
import laneflow.wire.WireException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command line. Exit codes: 0 done, 1 the input or the state of things forbids it, 2 a wrong call or
 * a configuration that can't be used. A mistyped word is answered with the nearest one.
 */
@Command(name = "laneflow", mixinStandardHelpOptions = true, versionProvider = Cli.Version.class,
        description = "Job scheduler and protocol translator: old clients reach new servers.",
        subcommands = {ServeCommand.class, BenchlinkCommand.class, JobsCommand.class,
            ConfigCommand.class, PolicyCommand.class, FleetCommand.class, TaskCommand.class,
            MaintenanceCommand.class, Lab.class})
public final class Cli implements Runnable {
    @Spec
    private CommandSpec spec;

    /** Runs the command named there and returns the exit code. */
    public static int run(String... args) {
        return line().execute(args);
    }

    static CommandLine line() {
        CommandLine line = new CommandLine(new Cli());
        line.addSubcommand(new Importer(System.out, System.err));
        line.setExecutionExceptionHandler((e, at, parsed) -> {
            if (!(e instanceof IOException || e instanceof WireException
                    || e instanceof IllegalArgumentException)) {
                throw e;
            }
            PrintWriter err = at.getErr();
            boolean config = e instanceof ConfigException;
            err.println(config ? e.getMessage() : "laneflow: " + e.getMessage());
            err.flush();
            return config ? 2 : 1;
        });
        return line;
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** The version that the jar's manifest holds. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"laneflow " + (version == null ? "(not from a jar)" : version)};
        }
    }
}
