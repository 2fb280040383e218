package laneflow;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import laneflow.assembly.Serve;
import laneflow.assembly.ServeTrainingRun;
import laneflow.assembly.Setup;
import laneflow.cli.Cli;
import laneflow.wire.WireException;
import laneflow.wire.WireHost;

/**
 * The program's entry point. The platform's calls ({@code benchlink}, {@code serve} and {@code rehearse}, without
 * options) and the build's {@code rehearse-commands} are dispatched here, so that they start without loading
 * picocli. Every other command line goes to {@link Cli}.
 */
public final class Main {
    private Main() {}

    /** Runs the command; exits with code 2 on a usage error and 1 on input that can't be read. */
    public static void main(String[] args) {
        // XNIO logs through JBoss Logging, which does not select SLF4J by default.
        System.setProperty("org.jboss.logging.provider", "slf4j");
        try {
            String config = System.getenv("ROUTER_CONFIG");
            if (args.length == 1 && args[0].equals("benchlink")) {
                FileInputStream in = new FileInputStream(FileDescriptor.in);
                new WireHost(in, new FileOutputStream(FileDescriptor.out)).run();
            } else if (args.length == 1 && args[0].equals("serve") && config != null) {
                Serve.run(() -> Setup.fromPlatformFile(Path.of(config), null, null));
            } else if (args.length == 1 && args[0].equals("rehearse")) {
                ServeTrainingRun.run();
                System.exit(0);
            } else if (args.length == 1 && args[0].equals("rehearse-commands")) {
                laneflow.cli.CliTrainingRun.run();
                System.exit(0);
            } else {
                System.exit(Cli.run(args));
            }
        } catch (WireException | IOException | IllegalArgumentException e) {
            System.err.println("laneflow: " + e.getMessage());
            System.exit(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
