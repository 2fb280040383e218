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
 * The file of the last good version of a type, from which a scheduler starts until its control service
 * speaks. A kill at any step of writing leaves the old file or the new one, whole: the new content goes to a
 * file beside it, is synced, takes the old one's name, and the folder is synced, so that the name outlives a
 * loss of power too.
 *
 * <p>One line of text as a head, {@code laneflow-config FORMAT CRC LENGTH}, and behind it the JSON. Blocks
 * on the disk: on no I/O thread.
 */
public final class LastGood {
    private static final String MAGIC = "laneflow-config";
    private static final int FORMAT = 1;

    private final Path file;
    private final Path beside;

    /** What was kept: which version, since when (Unix time in milliseconds), and its resources. */
    public record SavedVersion(String type, Version version, long adoptedMs, JsonObject resources) {}

    /** A file that is there and can't be used; the message says why. */
    public static final class Unusable extends IOException {
        private static final long serialVersionUID = 1L;

        Unusable(String message) {
            super(message);
        }
    }

    public LastGood(Path folder, String type) {
        file = folder.resolve(type + ".last-good");
        beside = folder.resolve(type + ".last-good.new");
    }

    /** Puts it in the old one's place; it is on disk when this returns. */
    public void write(SavedVersion kept) throws IOException {
        JsonObject all = new JsonObject();
        all.addProperty("type", kept.type());
        all.addProperty("version", kept.version().toString());
        all.addProperty("adopted_ms", kept.adoptedMs());
        all.add("resources", kept.resources());
        byte[] body = all.toString().getBytes(StandardCharsets.UTF_8);
        byte[] head =
                (MAGIC + " " + FORMAT + " " + sum(body) + " " + body.length + "\n").getBytes(StandardCharsets.US_ASCII);
        try (FileChannel out = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(head.length + body.length)
                    .put(head)
                    .put(body)
                    .flip();
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    /** Reads it; null where there is none. What is damaged or of another format is {@link Unusable}. */
    public SavedVersion read() throws IOException {
        return Files.exists(file) ? parse(Files.readAllBytes(file), file.toString()) : null;
    }

    /** Reads what such a file holds; the name is for messages. */
    static SavedVersion parse(byte[] all, String file) throws Unusable {
        int end = 0;
        while (end < all.length && all[end] != '\n') {
            end++;
        }
        String[] head = new String(all, 0, end, StandardCharsets.US_ASCII).split(" ");
        if (head.length != 4 || !head[0].equals(MAGIC)) {
            throw new Unusable(file + ": is no file of a last good version");
        }
        if (!head[1].equals(String.valueOf(FORMAT))) {
            throw new Unusable(file + ": has format " + head[1] + ", this build reads " + FORMAT);
        }
        byte[] body = java.util.Arrays.copyOfRange(all, Math.min(all.length, end + 1), all.length);
        if (!head[3].equals(String.valueOf(body.length)) || !head[2].equals(sum(body))) {
            throw new Unusable(file + ": is damaged, its content is not what was written");
        }
        try {
            JsonObject from = JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
            return new SavedVersion(
                    from.get("type").getAsString(),
                    Version.parse(from.get("version").getAsString()),
                    from.get("adopted_ms").getAsLong(),
                    from.getAsJsonObject("resources"));
        } catch (JsonParseException | IllegalStateException | NullPointerException | IllegalArgumentException e) {
            throw new Unusable(file + ": can't be read: " + e.getMessage());
        }
    }

    private static String sum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return Long.toHexString(crc.getValue());
    }
}
