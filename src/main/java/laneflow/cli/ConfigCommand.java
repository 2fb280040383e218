package laneflow.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import laneflow.Setup;
import laneflow.control.AddressRange;
import laneflow.control.DestinationType;
import laneflow.control.decision.Rollout;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code config}: what a scheduler would say to a version, and who takes part in one. */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Looks at streamed configuration.")
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(name = "validate", mixinStandardHelpOptions = true,
            description = "Reads a destination set as a scheduler would; exit code 1 if it is none.")
    int validate(@Parameters(paramLabel = "FILE",
    description = "A message of the stream, or its resources.") Path file,
            @Option(names = "--config", required = true, paramLabel = "FILE",
                    description = "The scheduler's operators' file.") Path config) throws Exception {
        Setup setup = Setup.operators(config, null, null);
        JsonElement all;
        try {
            all = JsonParser.parseString(Files.readString(file));
        } catch (JsonParseException e) {
            throw new IOException(file + ": is no JSON: " + e.getMessage(), e);
        }
        JsonElement resources = all.isJsonObject() ? all.getAsJsonObject().get("resources") : all;
        if (resources == null || !resources.isJsonArray()) {
            throw new IOException(file + ": resources: must be a list");
        }
        List<AddressRange> allowed = setup.control() == null ? List.of(AddressRange.parse("0.0.0.0/0"))
                : setup.control().allowed;
        DestinationType.Read read = new DestinationType(setup.config().zones, allowed)
                .read((JsonArray) resources);
        PrintWriter out = spec.commandLine().getOut();
        read.findings().forEach(out::println);
        if (read.findings().isEmpty()) {
            out.println("sound: " + read.entries().size() + " endpoints");
        }
        out.flush();
        return read.findings().isEmpty() ? 0 : 1;
    }

    @Command(name = "who", mixinStandardHelpOptions = true,
            description = "Tells which schedulers take part in a version held back to a share.")
    int who(@Parameters(paramLabel = "SEED") long seed, @Parameters(paramLabel = "SHARE") double share,
            @Parameters(paramLabel = "NAME", arity = "1..*") List<String> names) {
        PrintWriter out = spec.commandLine().getOut();
        for (String name : names) {
            out.printf(Locale.ROOT, "%s %s (%.4f)%n", name, Rollout.takesPart(name, seed, share)
                    ? "takes part"
                    : "is held back", Rollout.place(name, seed));
        }
        out.flush();
        return 0;
    }
}
