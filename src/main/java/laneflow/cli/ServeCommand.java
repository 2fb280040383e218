package laneflow.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import laneflow.Serve;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** One scheduler. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Runs one scheduler until a signal ends it. ROUTER_CONFIG names the platform's file.")
final class ServeCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Option(names = "--gearman", paramLabel = "FILE", description = "The Gearman front's own file.")
    private Path gearman;
    @Option(names = "--destinations", paramLabel = "FILE", description = "A set in place of discovery.")
    private Path destinations;

    @Override
    public Integer call() throws Exception {
        String config = System.getenv("ROUTER_CONFIG");
        if (config == null) {
            throw new ParameterException(spec.commandLine(), "ROUTER_CONFIG names no configuration");
        }
        Serve.run(Path.of(config), gearman, destinations);
        return 0;
    }
}
