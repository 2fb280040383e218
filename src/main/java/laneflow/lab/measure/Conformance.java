package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code lab conformance}: plays the cases of gearman-cases.txt over loopback against a scheduler process that
 * it starts. Like {@link laneflow.lab.standin.GearmanConnection}, it has a codec of its own, so that it does
 * not repeat a fault in the codec of the Gearman front. The last line of output counts the cases that passed;
 * the exit code is 1 if one failed.
 */
@Command(
        name = "conformance",
        mixinStandardHelpOptions = true,
        description = "Plays the cases of the Gearman protocol; exit code 1 if one fails.")
public final class Conformance implements Callable<Integer> {
    /** The Gearman settings that the cases rely on, except the listen address. */
    public static final String FUNCTIONS = "unmapped_class = \"basket-check\"\n"
            + "[gearman.functions.check]\nclass = \"basket-check\"\n"
            + "[gearman.functions.other]\nclass = \"basket-check\"\n"
            + "[gearman.functions.pay]\nclass = \"card-capture\"\n";

    private static final int TIMEOUT_MS = 5000;
    private static final int REQUEST = 0x00524551;
    private static final int RESPONSE = 0x00524553;
    private static final Pattern REPETITION = Pattern.compile("\\{([0-9]+)\\*(.)\\}");
    private static final String[] PACKET_TYPES = {
        "",
        "CAN_DO",
        "CANT_DO",
        "RESET_ABILITIES",
        "PRE_SLEEP",
        "",
        "NOOP",
        "SUBMIT_JOB",
        "JOB_CREATED",
        "GRAB_JOB",
        "NO_JOB",
        "JOB_ASSIGN",
        "WORK_STATUS",
        "WORK_COMPLETE",
        "WORK_FAIL",
        "GET_STATUS",
        "ECHO_REQ",
        "ECHO_RES",
        "SUBMIT_JOB_BG",
        "ERROR",
        "STATUS_RES",
        "SUBMIT_JOB_HIGH",
        "SET_CLIENT_ID",
        "CAN_DO_TIMEOUT",
        "ALL_YOURS",
        "WORK_EXCEPTION",
        "OPTION_REQ",
        "OPTION_RES",
        "WORK_DATA",
        "WORK_WARNING",
        "GRAB_JOB_UNIQ",
        "JOB_ASSIGN_UNIQ",
        "SUBMIT_JOB_HIGH_BG",
        "SUBMIT_JOB_LOW",
        "SUBMIT_JOB_LOW_BG",
        "SUBMIT_JOB_SCHED",
        "SUBMIT_JOB_EPOCH",
        "SUBMIT_REDUCE_JOB",
        "SUBMIT_REDUCE_JOB_BACKGROUND",
        "GRAB_JOB_ALL",
        "JOB_ASSIGN_ALL",
        "GET_STATUS_UNIQUE",
        "STATUS_RES_UNIQUE"
    };

    /** A case of the protocol: a name and the steps that gearman-cases.txt has for it. */
    public record Case(String name, List<String> lines) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** The number of cases played, and a message for each that failed. */
    public record Result(int played, List<String> failures) {
        int passed() {
            return played - failures.size();
        }
    }

    /** Returns all cases in the order of the file. */
    public static List<Case> cases() throws IOException {
        List<Case> cases = new ArrayList<>();
        try (InputStream in = Conformance.class.getResourceAsStream("gearman-cases.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                if (line.startsWith("case ")) {
                    cases.add(new Case(line.substring(5), new ArrayList<>()));
                } else if (!line.isBlank() && !line.startsWith("#")) {
                    cases.get(cases.size() - 1).lines().add(line);
                }
            }
        }
        return cases;
    }

    @Option(names = "--only", paramLabel = "TEXT", description = "Only cases whose names hold it.")
    private String only = "";

    @Override
    public Integer call() throws Exception {
        return run(System.out, only).failures().isEmpty() ? 0 : 1;
    }

    /** Plays the cases whose names contain {@code only} against a scheduler process that it starts. */
    static Result run(PrintStream out, String only) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-conformance");
        try (ChildProcesses crew = new ChildProcesses(folder)) {
            int port = ChildProcesses.freePort();
            Path file = folder.resolve("laneflow.toml");
            Files.writeString(
                    file,
                    "listen = \"127.0.0.1:" + ChildProcesses.freePort() + "\"\nzones = [\"a\"]\n"
                            + "[classes.basket-check]\naim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n"
                            + "[classes.card-capture]\naim_ms = 150\ndeadline_ms = 6000\n"
                            + "[gearman]\nlisten = \"127.0.0.1:" + port + "\"\n" + FUNCTIONS);
            Process scheduler = crew.startScheduler("scheduler", 128, file.toString());
            crew.awaitPort(scheduler, "scheduler", port);
            Result result = play(port, only);
            result.failures().forEach(out::println);
            out.println("conformance: " + result.passed() + "/" + result.played());
            return result;
        } finally {
            FileTree.delete(folder);
        }
    }

    /** Plays the cases whose names contain {@code only} against a Gearman front on this loopback port. */
    public static Result play(int port, String only) throws IOException {
        List<String> failures = new ArrayList<>();
        List<Case> cases = cases();
        cases.removeIf(testCase -> !testCase.name().contains(only));
        for (Case testCase : cases) {
            String failure = play(testCase, port);
            if (failure != null) {
                failures.add(testCase.name() + ": " + failure);
            }
        }
        return new Result(cases.size(), failures);
    }

    /** Plays one case; returns null if it passed, else the failing line and the reason. */
    public static String play(Case testCase, int port) throws IOException {
        Map<String, Connection> connections = new LinkedHashMap<>();
        Map<String, String> variables = new LinkedHashMap<>();
        String currentLine = "";
        try {
            for (String line : testCase.lines()) {
                currentLine = line;
                String name = line.substring(0, 1);
                Connection connection = connections.get(name);
                if (connection == null) {
                    connection = new Connection(port);
                    connections.put(name, connection);
                }
                String arguments = line.length() > 3 ? line.substring(3) : "";
                String failure = connection.execute(line.charAt(1), arguments, variables);
                if (failure != null) {
                    return "'" + line + "' " + failure;
                }
            }
            return null;
        } catch (IOException | IllegalArgumentException e) {
            return "'" + currentLine + "' " + e;
        } finally {
            for (Connection connection : connections.values()) {
                connection.socket.close();
            }
            awaitOtherConnectionsClosed(port);
        }
    }

    /** Waits until the front has closed all connections of a case, so that the next case starts without workers. */
    private static void awaitOtherConnectionsClosed(int port) throws IOException {
        try (Connection operator = new Connection(port)) {
            long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
            int others = 1;
            while (others > 0 && System.nanoTime() < deadlineNanos) {
                operator.socket.getOutputStream().write("workers\n".getBytes(StandardCharsets.US_ASCII));
                others = -1;
                while (!operator.readLine().equals(".")) {
                    others++;
                }
            }
        }
    }

    /** One connection of a case. */
    private static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;

        Connection(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MS);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        }

        /** Executes a line of a case; returns null if it succeeded, else the reason. */
        String execute(char operation, String arguments, Map<String, String> variables) throws IOException {
            switch (operation) {
                case '>':
                    send(arguments, variables);
                    return null;
                case '<':
                    return expect(arguments, variables);
                case ':':
                    socket.getOutputStream()
                            .write((expand(arguments, variables) + "\n").getBytes(StandardCharsets.UTF_8));
                    return null;
                case '=':
                    String line = readLine();
                    return matches(expand(arguments, variables), line) ? null : "received '" + line + "'";
                case '*':
                    return findInList(expand(arguments, variables));
                case '?':
                    return awaitEmptyList(expand(arguments, variables));
                case '#':
                    socket.getOutputStream().write(HexFormat.of().parseHex(arguments.replace(" ", "")));
                    return null;
                case '!':
                    return isClosedByPeer() ? null : "the connection is still open";
                case '^':
                    socket.close();
                    return null;
                default:
                    throw new IllegalArgumentException("unknown operation");
            }
        }

        private void send(String arguments, Map<String, String> variables) throws IOException {
            int space = arguments.indexOf(' ');
            String type = space < 0 ? arguments : arguments.substring(0, space);
            byte[] data = expand(space < 0 ? "" : arguments.substring(space + 1), variables)
                    .replace('|', '\0')
                    .getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(REQUEST);
            out.writeInt(packetType(type));
            out.writeInt(data.length);
            out.write(data);
            socket.getOutputStream().write(bytes.toByteArray());
        }

        private String expect(String arguments, Map<String, String> variables) throws IOException {
            int magic = in.readInt();
            int type = in.readInt();
            byte[] data = in.readNBytes(in.readInt());
            String name = type >= 0 && type < PACKET_TYPES.length ? PACKET_TYPES[type] : String.valueOf(type);
            String[] actual = new String(data, StandardCharsets.UTF_8).split("\0", -1);
            int space = arguments.indexOf(' ');
            String[] expected = (space < 0 ? "" : arguments.substring(space + 1)).split("\\|", -1);
            boolean matches = magic == RESPONSE
                    && name.equals(space < 0 ? arguments : arguments.substring(0, space))
                    && actual.length == expected.length;
            for (int i = 0; matches && i < actual.length; i++) {
                if (expected[i].startsWith("=") && expected[i].length() > 1) {
                    variables.put(expected[i].substring(1), actual[i]);
                } else {
                    matches = expected[i].equals("*")
                            || expand(expected[i], variables).equals(actual[i]);
                }
            }
            String received = String.join("|", actual);
            return matches
                    ? null
                    : "received " + name + " " + (received.length() > 200 ? received.substring(0, 200) : received);
        }

        String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("the connection ended after '" + line + "'");
                }
                line.append((char) next);
            }
            return line.toString();
        }

        /** Reads the list until a line matches; fails at the dot that ends the list. */
        private String findInList(String expected) throws IOException {
            for (String line = readLine(); ; line = readLine()) {
                if (matches(expected, line)) {
                    return null;
                }
                if (line.equals(".")) {
                    return "no line of the list matches";
                }
            }
        }

        private String awaitEmptyList(String command) throws IOException {
            byte[] bytes = (command + "\n").getBytes(StandardCharsets.UTF_8);
            long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
            int lines = 1;
            while (lines > 0 && System.nanoTime() < deadlineNanos) {
                lines = 0;
                socket.getOutputStream().write(bytes);
                while (!readLine().equals(".")) {
                    lines++;
                }
            }
            socket.getOutputStream().write(bytes);
            return lines == 0 ? null : "the list did not become empty";
        }

        private boolean isClosedByPeer() {
            try {
                return in.read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static int packetType(String type) {
        for (int i = 1; i < PACKET_TYPES.length; i++) {
            if (PACKET_TYPES[i].equals(type) && !type.isEmpty()) {
                return i;
            }
        }
        throw new IllegalArgumentException("unknown packet type");
    }

    private static boolean matches(String expected, String actual) {
        StringBuilder pattern = new StringBuilder();
        for (String part : expected.split("\\*", -1)) {
            pattern.append(pattern.isEmpty() ? "" : ".*").append(Pattern.quote(part));
        }
        return actual.matches(pattern.toString());
    }

    /** Replaces {@code $name} by the value captured under that name, and {@code {N*x}} by N times x. */
    private static String expand(String text, Map<String, String> variables) {
        String expanded = text;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            expanded = expanded.replace("$" + variable.getKey(), variable.getValue());
        }
        Matcher repetitions = REPETITION.matcher(expanded);
        return repetitions.replaceAll(
                match -> Matcher.quoteReplacement(match.group(2).repeat(Integer.parseInt(match.group(1)))));
    }
}
