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
 * A stand-in's own book of what it ran, line by line in one write each: a kill can't take back what is
 * written. What the scheduler says of a job is held against it.
 */
public final class RunLog {
    private final FileChannel channel;

    /** One line: when, what happened, to which job. Unix time in milliseconds. */
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
