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
            description = "The operators' file, as "
                    + "deploy/laneflow.toml; what ROUTER_CONFIG's file names too, that decides.")
    private Path config;

    @Option(names = "--gearman", paramLabel = "FILE", description = "The Gearman front's own file.")
    private Path gearman;

    @Option(names = "--destinations", paramLabel = "FILE", description = "A set in place of discovery.")
    private Path destinations;

    @Override
    public Integer call() throws Exception {
        String platformPath = System.getenv("ROUTER_CONFIG");
        Path platformConfig = platformPath == null ? null : Path.of(platformPath);
        if (platformConfig == null && config == null) {
            throw new ParameterException(
                    spec.commandLine(), "ROUTER_CONFIG names no configuration, and there is no --config");
        }
        if (gearman != null && config != null) {
            throw new ParameterException(spec.commandLine(), "--gearman's file is a table of --config's");
        }
        Serve.run(() -> config == null
                ? Setup.platform(platformConfig, gearman, destinations)
                : Setup.operators(config, platformConfig, destinations));
        return 0;
    }
}
