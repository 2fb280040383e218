package laneflow.assembly;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads a bearer token from a file; it is never logged or reported. */
final class Token {
    private Token() {}

    /** Returns the file's token, or null if no file is configured. */
    static String read(Path file) throws IOException {
        String token = file == null ? null : Files.readString(file).strip();
        if (token != null && !token.matches("[!-~]{1,4096}")) {
            throw new IOException(file + ": is not a valid token: up to 4096 visible ASCII characters without spaces");
        }
        return token;
    }
}
