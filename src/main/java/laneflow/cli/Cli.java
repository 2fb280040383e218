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
 * The root command. Exit codes: 0 for success, 1 if the input or the current state does not allow the command, 2 for
 * a usage error or an invalid configuration. For a mistyped command the most similar one is suggested.
 */
@Command(
        name = "laneflow",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Job scheduler and protocol translator: old clients reach new servers.")
public final class Cli implements Runnable {
    /** In the order in which the help lists them. */
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

    /** Runs the command that the arguments name and returns the exit code. */
    public static int run(String... args) {
        return commandLine(args).execute(args);
    }

    /**
     * Builds the command line for these arguments. Reflecting over the options of every command takes longer than most
     * commands run, so it is done only for commands that the arguments name. The others are added by name and
     * description, which is all that the help and the suggestions for mistyped commands need.
     */
    static CommandLine commandLine(String... args) {
        CommandLine commandLine = new CommandLine(new Cli());
        Set<String> named = Set.copyOf(List.of(args));
        for (Class<?> commandClass : COMMANDS) {
            Command annotation = commandClass.getAnnotation(Command.class);
            commandLine.addSubcommand(
                    annotation.name(),
                    named.contains(annotation.name()) ? subcommand(commandClass) : nameAndDescription(annotation));
        }
        commandLine.setExecutionExceptionHandler((e, failedCommand, parseResult) -> {
            if (!(e instanceof IOException || e instanceof WireException || e instanceof IllegalArgumentException)) {
                throw e;
            }
            PrintWriter errorOutput = failedCommand.getErr();
            boolean configError = e instanceof ConfigException;
            errorOutput.println(configError ? e.getMessage() : "laneflow: " + e.getMessage());
            errorOutput.flush();
            return configError ? 2 : 1;
        });
        return commandLine;
    }

    private static Object subcommand(Class<?> command) {
        return command == Importer.class ? new Importer(System.out, System.err) : command;
    }

    private static CommandSpec nameAndDescription(Command annotation) {
        CommandSpec spec = CommandSpec.create().name(annotation.name());
        spec.usageMessage().description(annotation.description());
        return spec;
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    /** Reports the version from the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"laneflow " + (version == null ? "(not from a jar)" : version)};
        }
    }
}
