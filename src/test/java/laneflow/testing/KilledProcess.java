package laneflow.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs a test class in a separate process that is killed during its work. */
public final class KilledProcess {
    private KilledProcess() {}

    /**
     * Starts the process, kills it once its output has at least {@code enoughBytes}, and returns when it has ended.
     *
     * @param output the file for the process's output; an existing file is replaced
     */
    public static void run(Path output, long enoughBytes, Class<?> main, String... arguments)
            throws IOException, InterruptedException {
        Files.deleteIfExists(output);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(main.getName());
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectOutput(output.toFile())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        while (Files.size(output) < enoughBytes && process.isAlive()) {
            Thread.sleep(1);
        }
        process.destroyForcibly().waitFor();
    }
}
