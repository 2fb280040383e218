package laneflow.lab.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A stand-in's log of the jobs that it ran. Each line is one write to the file, so it survives a kill of the
 * process. Tests compare the states that the scheduler reports with this log.
 */
public final class RunLog {
    private final FileChannel channel;

    /** A line of the log: Unix time in milliseconds, the event, and the name of the job. */
    public record Entry(long ms, String event, String job) {}

    RunLog(Path path) throws IOException {
        channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    void write(String event, String job) throws IOException {
        String line = System.currentTimeMillis() + " " + event + " " + job + "\n";
        channel.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
    }

    public static List<Entry> read(Path path) throws IOException {
        List<Entry> entries = new ArrayList<>();
        if (Files.exists(path)) {
            for (String line : Files.readAllLines(path)) {
                String[] fields = line.split(" ", 3);
                entries.add(new Entry(Long.parseLong(fields[0]), fields[1], fields[2]));
            }
        }
        return entries;
    }
}
