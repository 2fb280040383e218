package laneflow.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.util.concurrent.Callable;
import laneflow.wire.WireHost;
import picocli.CommandLine.Command;

/** {@code benchlink}: serves the simulator. {@code Main} runs it directly where no options are given. */
@Command(
        name = "benchlink",
        mixinStandardHelpOptions = true,
        description = "Serves the simulator's protocol on standard input and output.")
final class BenchlinkCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        new WireHost(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out)).run();
        return 0;
    }
}
