package laneflow.ops;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the names of the endpoints that are set down, for the next process: a line with the format's version, one
 * line per name, and a line with a checksum of the lines before it. The file is written under a temporary name and
 * renamed, so that a reader never sees a partial one. Its I/O blocks, so it must not be called on the loop's thread.
 */
public final class BanFile {
    private static final Logger LOG = LoggerFactory.getLogger(BanFile.class);
    private static final String FORMAT = "laneflow-set-down 1";
    private static final long MAX_BYTES = 4 << 20;

    private final Path file;

    public BanFile(Path folder) {
        file = folder.resolve("laneflow-set-down");
    }

    /** Returns the names; none if the file is missing or invalid, which is logged and does not prevent a start. */
    public Set<String> read() {
        return tryRead().orElse(Set.of());
    }

    /** Returns the names, or empty if the file is missing or invalid. */
    Optional<Set<String>> tryRead() {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException("file too long");
            }
            return Optional.of(parse(Files.readString(file)));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        } catch (IOException e) {
            LOG.warn("{} is ignored, endpoints set down before are unknown: {}", file, e.toString());
            return Optional.empty();
        }
    }

    private static Set<String> parse(String text) throws IOException {
        int checksumStart = text.lastIndexOf('\n', text.length() - 2) + 1;
        String body = text.substring(0, checksumStart);
        if (!text.substring(checksumStart).equals(checksum(body) + "\n")) {
            throw new IOException("wrong checksum");
        }
        List<String> lines = new ArrayList<>(body.lines().toList());
        if (lines.isEmpty() || !lines.remove(0).equals(FORMAT)) {
            throw new IOException("unknown format");
        }
        return new TreeSet<>(lines);
    }

    /** Replaces the stored names. */
    public void write(Set<String> names) throws IOException {
        StringBuilder body = new StringBuilder(FORMAT).append('\n');
        names.forEach(name -> body.append(name).append('\n'));
        Path temporary = file.resolveSibling(
                file.getFileName() + "." + ProcessHandle.current().pid());
        Files.writeString(temporary, body + checksum(body.toString()) + "\n");
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String checksum(String body) {
        CRC32 crc = new CRC32();
        crc.update(body.getBytes(StandardCharsets.UTF_8));
        return "crc32 " + Long.toHexString(crc.getValue());
    }
}
