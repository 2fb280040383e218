package laneflow.assembly;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A token in a file of its own, which is never logged or told. */
final class Token {
    private Token() {}

    /** Reads it; null where no file is named. */
    static String read(Path file) throws IOException {
        String token = file == null ? null : Files.readString(file).strip();
        if (token != null && !token.matches("[!-~]{1,4096}")) {
            throw new IOException(file + ": holds no token: one word of visible characters");
        }
        return token;
    }
}
