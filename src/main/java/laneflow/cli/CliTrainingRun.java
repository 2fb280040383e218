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
 * A training run of the most used commands for the build, which archives the classes that they load (class data
 * sharing): loading classes takes most of such a command's time. The commands' output is discarded.
 */
public final class CliTrainingRun {
    private static final String RESPONSE_BODY = "{\"scheduler\":\"s\",\"life\":\"a\",\"state\":\"deciding\","
            + "\"policy\":1,\"lease_ms\":1,\"leader\":\"s\",\"term\":1,\"open\":0,\"members\":[],"
            + "\"tasks\":[],\"name\":\"c\",\"number\":1,\"reasons\":[]}";
    private static final int BACKLOG = 64;

    private CliTrainingRun() {}

    /** Runs the commands against a local server that gives every request the same response. */
    public static void run() throws IOException {
        Path changeFile = Files.createTempFile("laneflow-rehearsal", ".toml");
        try (ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
            Files.writeString(changeFile, "[bans]\nendpoints = [\"e\"]\n");
            Thread server = new Thread(() -> serveRequests(listener), "rehearsal");
            server.setDaemon(true);
            server.start();
            System.setOut(new PrintStream(OutputStream.nullOutputStream()));
            System.setErr(System.out);
            String address = "127.0.0.1:" + listener.getLocalPort();
            for (String commandLine : new String[] {
                "--help",
                "--version",
                "serv",
                "policy --help",
                "task show --at " + address,
                "policy show --at " + address,
                "policy status c --at " + address,
                "policy propose " + changeFile + " --at " + address,
                "fleet show --at " + address,
                "fleet show --at 127.0.0.1:1"
            }) {
                Cli.run(commandLine.split(" "));
            }
        } finally {
            Files.delete(changeFile);
        }
    }

    private static void serveRequests(ServerSocket listener) {
        byte[] response = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                        + "Content-Length: " + RESPONSE_BODY.length() + "\r\n\r\n" + RESPONSE_BODY)
                .getBytes(StandardCharsets.US_ASCII);
        while (true) {
            try (Socket connection = listener.accept()) {
                InputStream in = connection.getInputStream();
                // Requests are small: one read gets all of it, and an unread rest does no harm here.
                if (in.read(new byte[8192]) > 0) {
                    connection.getOutputStream().write(response);
                }
            } catch (IOException e) {
                return;
            }
        }
    }
}
