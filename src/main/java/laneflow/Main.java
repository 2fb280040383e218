package laneflow;

import laneflow.wire.WireException;
import laneflow.wire.WireHost;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code benchlink} serves the simulator's wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Runs the command; exits with 2 on a wrong call and 1 on input that can't be read. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar laneflow.jar benchlink");
            System.exit(2);
        }
        try {
            FileInputStream in = new FileInputStream(FileDescriptor.in);
            new WireHost(in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | IOException e) {
            System.err.println("laneflow: " + e.getMessage());
            System.exit(1);
        }
    }
}
