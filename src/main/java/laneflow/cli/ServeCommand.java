package laneflow.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code serve}: runs one scheduler. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one scheduler until a signal ends it. It reads the platform's file, "
                + "named by ROUTER_CONFIG, or the operators', or both.")
final class ServeCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "The operators' file, such as "
                    + "deploy/laneflow.toml; settings in ROUTER_CONFIG's file take precedence.")
    private Path config;

    @Option(names = "--gearman", paramLabel = "FILE", description = "The Gearman front's configuration file.")
    private Path gearman;

    @Option(
            names = "--destinations",
            paramLabel = "FILE",
            description = "A destination set to use in place of discovery.")
    private Path destinations;

    @Override
    public Integer call() throws Exception {
        String platformPath = System.getenv("ROUTER_CONFIG");
        Path platformConfig = platformPath == null ? null : Path.of(platformPath);
        if (platformConfig == null && config == null) {
            throw new ParameterException(spec.commandLine(), "no configuration: set ROUTER_CONFIG or give --config");
        }
        if (gearman != null && config != null) {
            throw new ParameterException(
                    spec.commandLine(), "--gearman can't be combined with --config: use its [gearman] table");
        }
        Serve.run(() -> config == null
                ? Setup.fromPlatformFile(platformConfig, gearman, destinations)
                : Setup.fromOperatorsFile(config, platformConfig, destinations));
        return 0;
    }
}
