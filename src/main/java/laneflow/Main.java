package laneflow;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import laneflow.importer.Importer;
import laneflow.wire.WireException;
import laneflow.wire.WireHost;

/**
 * The command line: {@code serve} is the real scheduler, {@code import} makes a destination set of a balancer
 * file, {@code benchlink} serves the simulator's wire on standard input and output, {@code rehearse} is the
 * build's own run of the scheduler.
 */
public final class Main {
    private static final String USAGE = "usage: java -jar laneflow.jar COMMAND\n"
            + "  serve [--gearman FILE] [--destinations FILE]\n  " + Importer.USAGE + "\n  benchlink";

    private Main() {
    }

    /** Runs the command; exits with 2 on a wrong call and 1 on input that can't be read. */
    public static void main(String[] args) {
        // XNIO logs through JBoss Logging, which does not look for SLF4J by itself.
        System.setProperty("org.jboss.logging.provider", "slf4j");
        try {
            if (args.length == 1 && args[0].equals("benchlink")) {
                FileInputStream in = new FileInputStream(FileDescriptor.in);
                new WireHost(in, new FileOutputStream(FileDescriptor.out)).run();
            } else if (args.length >= 1 && args[0].equals("serve")) {
                serve(args);
            } else if (args.length == 1 && args[0].equals("rehearse")) {
                Rehearsal.run();
                System.exit(0);
            } else if (args.length >= 1 && args[0].equals("import")) {
                System.exit(Importer.run(List.of(args).subList(1, args.length), System.out, System.err));
            } else {
                fail(USAGE, 2);
            }
        } catch (WireException | IOException | IllegalArgumentException e) {
            fail("laneflow: " + e.getMessage(), 1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void serve(String[] args) throws IOException, WireException, InterruptedException {
        String config = System.getenv("ROUTER_CONFIG");
        Path gearman = null;
        Path destinations = null;
        for (int i = 1; i < args.length; i += 2) {
            if (args[i].equals("--gearman") && i + 1 < args.length) {
                gearman = Path.of(args[i + 1]);
            } else if (args[i].equals("--destinations") && i + 1 < args.length) {
                destinations = Path.of(args[i + 1]);
            } else {
                fail(USAGE, 2);
            }
        }
        if (config == null) {
            fail("ROUTER_CONFIG names no configuration", 2);
        }
        Serve.run(Path.of(config), gearman, destinations);
    }

    private static void fail(String message, int status) {
        System.err.println(message);
        System.exit(status);
    }
}
