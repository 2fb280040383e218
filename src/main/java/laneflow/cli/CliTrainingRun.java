package laneflow.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A run of the commands that people use most, for the build: the classes that they load are archived, since
 * reading them anew is most of what such a command does. What the commands print is thrown away.
 */
public final class CliTrainingRun {
    private static final String SAYS = "{\"scheduler\":\"s\",\"life\":\"a\",\"state\":\"deciding\","
            + "\"policy\":1,\"lease_ms\":1,\"leader\":\"s\",\"term\":1,\"open\":0,\"members\":[],"
            + "\"tasks\":[],\"name\":\"c\",\"number\":1,\"reasons\":[]}";
    private static final int MOST_QUESTIONS = 64;

    private CliTrainingRun() {}

    /** Asks a listener of its own. */
    public static void run() throws IOException {
        Path change = Files.createTempFile("laneflow-rehearsal", ".toml");
        try (ServerSocket listener = new ServerSocket(0, MOST_QUESTIONS, InetAddress.getLoopbackAddress())) {
            Files.writeString(change, "[bans]\nendpoints = [\"e\"]\n");
            Thread answers = new Thread(() -> answer(listener), "rehearsal");
            answers.setDaemon(true);
            answers.start();
            System.setOut(new PrintStream(OutputStream.nullOutputStream()));
            System.setErr(System.out);
            String at = "127.0.0.1:" + listener.getLocalPort();
            for (String words : new String[] {
                "--help",
                "--version",
                "serv",
                "policy --help",
                "task show --at " + at,
                "policy show --at " + at,
                "policy status c --at " + at,
                "policy propose " + change + " --at " + at,
                "fleet show --at " + at,
                "fleet show --at 127.0.0.1:1"
            }) {
                Cli.run(words.split(" "));
            }
        } finally {
            Files.delete(change);
        }
    }

    private static void answer(ServerSocket listener) {
        byte[] said = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n" + "Content-Length: "
                        + SAYS.length() + "\r\n\r\n" + SAYS)
                .getBytes(StandardCharsets.US_ASCII);
        while (true) {
            try (Socket asked = listener.accept()) {
                InputStream in = asked.getInputStream();
                // Questions are small: the first read has the whole, or what is left of it does no harm here.
                if (in.read(new byte[8192]) > 0) {
                    asked.getOutputStream().write(said);
                }
            } catch (IOException e) {
                return;
            }
        }
    }
}
