package laneflow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Set;
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
@Command(
        name = "laneflow",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Job scheduler and protocol translator: old clients reach new servers.")
public final class Cli implements Runnable {
    /** In the order in which they are told. */
    private static final List<Class<?>> COMMANDS = List.of(
            ServeCommand.class,
            BenchlinkCommand.class,
            JobsCommand.class,
            ConfigCommand.class,
            PolicyCommand.class,
            FleetCommand.class,
            TaskCommand.class,
            MaintenanceCommand.class,
            Lab.class,
            Importer.class);

    @Spec
    private CommandSpec spec;

    /** Runs the command named there and returns the exit code. */
    public static int run(String... args) {
        return line(args).execute(args);
    }

    /**
     * The command line for these words. Looking through all options of all commands takes longer than most
     * commands do, so it is done for those alone that are named; of the others there are name and purpose,
     * which is what the help and the nearest word to a mistyped one need.
     */
    static CommandLine line(String... args) {
        CommandLine line = new CommandLine(new Cli());
        Set<String> named = Set.copyOf(List.of(args));
        for (Class<?> one : COMMANDS) {
            Command told = one.getAnnotation(Command.class);
            line.addSubcommand(told.name(), named.contains(told.name()) ? made(one) : purpose(told));
        }
        line.setExecutionExceptionHandler((e, at, parsed) -> {
            if (!(e instanceof IOException || e instanceof WireException || e instanceof IllegalArgumentException)) {
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

    private static Object made(Class<?> command) {
        return command == Importer.class ? new Importer(System.out, System.err) : command;
    }

    private static CommandSpec purpose(Command told) {
        CommandSpec spec = CommandSpec.create().name(told.name());
        spec.usageMessage().description(told.description());
        return spec;
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
