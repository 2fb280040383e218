package laneflow.lab;

import laneflow.lab.measure.Conformance;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The commands under {@code lab}: stand-ins and measurements. A running scheduler loads none of these classes. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        subcommands = {Measure.class, Quickstart.class, LocalFleet.class, Conformance.class},
        description = "Stand-ins and measurements.")
public final class Lab implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }
}
