package laneflow.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import laneflow.control.decision.Version;

/**
 * The file of the last good version of a type, used from the start of a scheduler until its control service
 * sends a version. Writing is atomic: the content is written to a temporary file, synced and renamed, and the
 * folder is synced so that the rename survives a power loss. A kill at any step leaves the complete old or new
 * file.
 *
 * <p>The file has a header line, {@code laneflow-config FORMAT CRC LENGTH}, followed by the JSON. The methods
 * block on the disk and must not run on an I/O thread.
 */
public final class LastGood {
    private static final String MAGIC = "laneflow-config";
    private static final int FORMAT = 1;

    private final Path file;
    private final Path temporary;

    /** A saved version, its time of adoption (Unix time in milliseconds) and its resources. */
    public record SavedVersion(String type, Version version, long adoptedMs, JsonObject resources) {}

    /** The file exists but is damaged or of another format; the message says why. */
    public static final class Unusable extends IOException {
        private static final long serialVersionUID = 1L;

        Unusable(String message) {
            super(message);
        }
    }

    public LastGood(Path folder, String type) {
        file = folder.resolve(type + ".last-good");
        temporary = folder.resolve(type + ".last-good.new");
    }

    /** Replaces the file's content, which is on disk when this returns. */
    public void write(SavedVersion saved) throws IOException {
        JsonObject json = new JsonObject();
        json.addProperty("type", saved.type());
        json.addProperty("version", saved.version().toString());
        json.addProperty("adopted_ms", saved.adoptedMs());
        json.add("resources", saved.resources());
        byte[] body = json.toString().getBytes(StandardCharsets.UTF_8);
        byte[] header = (MAGIC + " " + FORMAT + " " + checksum(body) + " " + body.length + "\n")
                .getBytes(StandardCharsets.US_ASCII);
        try (FileChannel out = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(header.length + body.length)
                    .put(header)
                    .put(body)
                    .flip();
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    /** Reads the file, or returns null if there is none; {@link Unusable} if it is damaged or of another format. */
    public SavedVersion read() throws IOException {
        return Files.exists(file) ? parse(Files.readAllBytes(file), file.toString()) : null;
    }

    /** Parses the content of a file; the name is used in messages. */
    static SavedVersion parse(byte[] content, String file) throws Unusable {
        int end = 0;
        while (end < content.length && content[end] != '\n') {
            end++;
        }
        String[] header = new String(content, 0, end, StandardCharsets.US_ASCII).split(" ");
        if (header.length != 4 || !header[0].equals(MAGIC)) {
            throw new Unusable(file + ": is no file of a last good version");
        }
        if (!header[1].equals(String.valueOf(FORMAT))) {
            throw new Unusable(file + ": has format " + header[1] + ", this build reads " + FORMAT);
        }
        byte[] body = java.util.Arrays.copyOfRange(content, Math.min(content.length, end + 1), content.length);
        if (!header[3].equals(String.valueOf(body.length)) || !header[2].equals(checksum(body))) {
            throw new Unusable(file + ": is damaged, its content is not what was written");
        }
        try {
            JsonObject json = JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
            return new SavedVersion(
                    json.get("type").getAsString(),
                    Version.parse(json.get("version").getAsString()),
                    json.get("adopted_ms").getAsLong(),
                    json.getAsJsonObject("resources"));
        } catch (JsonParseException | IllegalStateException | NullPointerException | IllegalArgumentException e) {
            throw new Unusable(file + ": can't be read: " + e.getMessage());
        }
    }

    private static String checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return Long.toHexString(crc.getValue());
    }
}
