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
 * {@code lab conformance}: the cases of gearman-cases.txt, played against a scheduler of its own over
 * loopback. Its codec is independent of the front's, as {@link GearmanConnection}'s is. The last line counts the cases
 * that passed; exit code 1 where one did not.
 */
@Command(
        name = "conformance",
        mixinStandardHelpOptions = true,
        description = "Plays the cases of the Gearman protocol; exit code 1 if one fails.")
public final class Conformance implements Callable<Integer> {
    /** Functions and limits that the cases count on: the table of the Gearman front, its address apart. */
    public static final String FUNCTIONS = "unmapped_class = \"basket-check\"\n"
            + "[gearman.functions.check]\nclass = \"basket-check\"\n"
            + "[gearman.functions.other]\nclass = \"basket-check\"\n"
            + "[gearman.functions.pay]\nclass = \"card-capture\"\n";

    private static final int PATIENCE_MS = 5000;
    private static final int REQUEST = 0x00524551;
    private static final int RESPONSE = 0x00524553;
    private static final Pattern TIMES = Pattern.compile("\\{([0-9]+)\\*(.)\\}");
    private static final String[] TYPES = {
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

    /** One case: its name, and its lines. */
    public record Case(String name, List<String> lines) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** How many were played, and what went wrong in those that failed. */
    public record Result(int played, List<String> failures) {
        int passed() {
            return played - failures.size();
        }
    }

    /** The cases, in the file's order. */
    public static List<Case> cases() throws IOException {
        List<Case> all = new ArrayList<>();
        try (InputStream in = Conformance.class.getResourceAsStream("gearman-cases.txt")) {
            for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                if (line.startsWith("case ")) {
                    all.add(new Case(line.substring(5), new ArrayList<>()));
                } else if (!line.isBlank() && !line.startsWith("#")) {
                    all.get(all.size() - 1).lines().add(line);
                }
            }
        }
        return all;
    }

    @Option(names = "--only", paramLabel = "TEXT", description = "Only cases whose names hold it.")
    private String only = "";

    @Override
    public Integer call() throws Exception {
        return run(System.out, only).failures().isEmpty() ? 0 : 1;
    }

    /** Plays all against a scheduler in a process of its own. */
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

    /** Plays all against a front that listens there. */
    public static Result play(int port, String only) throws IOException {
        List<String> failures = new ArrayList<>();
        List<Case> cases = cases();
        cases.removeIf(one -> !one.name().contains(only));
        for (Case one : cases) {
            String failure = play(one, port);
            if (failure != null) {
                failures.add(one.name() + ": " + failure);
            }
        }
        return new Result(cases.size(), failures);
    }

    /** Plays one; null if all went as written, else what did not. */
    public static String play(Case one, int port) throws IOException {
        Map<String, Connection> connections = new LinkedHashMap<>();
        Map<String, String> known = new LinkedHashMap<>();
        String at = "";
        try {
            for (String line : one.lines()) {
                at = line;
                String name = line.substring(0, 1);
                Connection connection = connections.get(name);
                if (connection == null) {
                    connection = new Connection(port);
                    connections.put(name, connection);
                }
                String rest = line.length() > 3 ? line.substring(3) : "";
                String wrong = connection.act(line.charAt(1), rest, known);
                if (wrong != null) {
                    return "'" + line + "' " + wrong;
                }
            }
            return null;
        } catch (IOException | IllegalArgumentException e) {
            return "'" + at + "' " + e;
        } finally {
            for (Connection connection : connections.values()) {
                connection.socket.close();
            }
            alone(port);
        }
    }

    /** Until the front has seen all of a case's connections go: the next case must not meet its workers. */
    private static void alone(int port) throws IOException {
        try (Connection operator = new Connection(port)) {
            long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
            int others = 1;
            while (others > 0 && System.nanoTime() < end) {
                operator.socket.getOutputStream().write("workers\n".getBytes(StandardCharsets.US_ASCII));
                others = -1;
                while (!operator.line().equals(".")) {
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
            socket.setSoTimeout(PATIENCE_MS);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        }

        /** Does what a line says; null, or what came instead. */
        String act(char what, String rest, Map<String, String> known) throws IOException {
            switch (what) {
                case '>':
                    send(rest, known);
                    return null;
                case '<':
                    return expect(rest, known);
                case ':':
                    socket.getOutputStream().write((text(rest, known) + "\n").getBytes(StandardCharsets.UTF_8));
                    return null;
                case '=':
                    String line = line();
                    return matches(text(rest, known), line) ? null : "came as '" + line + "'";
                case '*':
                    return find(text(rest, known));
                case '?':
                    return empty(text(rest, known));
                case '#':
                    socket.getOutputStream().write(HexFormat.of().parseHex(rest.replace(" ", "")));
                    return null;
                case '!':
                    return ended() ? null : "goes on";
                case '^':
                    socket.close();
                    return null;
                default:
                    throw new IllegalArgumentException("is no line of a case");
            }
        }

        private void send(String rest, Map<String, String> known) throws IOException {
            int space = rest.indexOf(' ');
            String type = space < 0 ? rest : rest.substring(0, space);
            byte[] data = text(space < 0 ? "" : rest.substring(space + 1), known)
                    .replace('|', '\0')
                    .getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeInt(REQUEST);
            out.writeInt(number(type));
            out.writeInt(data.length);
            out.write(data);
            socket.getOutputStream().write(bytes.toByteArray());
        }

        private String expect(String rest, Map<String, String> known) throws IOException {
            int magic = in.readInt();
            int type = in.readInt();
            byte[] data = in.readNBytes(in.readInt());
            String name = type >= 0 && type < TYPES.length ? TYPES[type] : String.valueOf(type);
            String[] is = new String(data, StandardCharsets.UTF_8).split("\0", -1);
            int space = rest.indexOf(' ');
            String[] wanted = (space < 0 ? "" : rest.substring(space + 1)).split("\\|", -1);
            boolean fits = magic == RESPONSE
                    && name.equals(space < 0 ? rest : rest.substring(0, space))
                    && is.length == wanted.length;
            for (int i = 0; fits && i < is.length; i++) {
                if (wanted[i].startsWith("=") && wanted[i].length() > 1) {
                    known.put(wanted[i].substring(1), is[i]);
                } else {
                    fits = wanted[i].equals("*") || text(wanted[i], known).equals(is[i]);
                }
            }
            String said = String.join("|", is);
            return fits ? null : "came as " + name + " " + (said.length() > 200 ? said.substring(0, 200) : said);
        }

        String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("ended after '" + line + "'");
                }
                line.append((char) next);
            }
            return line.toString();
        }

        /** Reads on to a line of that form, within the list that it is in. */
        private String find(String wanted) throws IOException {
            for (String line = line(); ; line = line()) {
                if (matches(wanted, line)) {
                    return null;
                }
                if (line.equals(".")) {
                    return "is not in the list";
                }
            }
        }

        private String empty(String asked) throws IOException {
            byte[] bytes = (asked + "\n").getBytes(StandardCharsets.UTF_8);
            long end = System.nanoTime() + PATIENCE_MS * 1_000_000L;
            int lines = 1;
            while (lines > 0 && System.nanoTime() < end) {
                lines = 0;
                socket.getOutputStream().write(bytes);
                while (!line().equals(".")) {
                    lines++;
                }
            }
            socket.getOutputStream().write(bytes);
            return lines == 0 ? null : "is never empty";
        }

        private boolean ended() {
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

    private static int number(String type) {
        for (int i = 1; i < TYPES.length; i++) {
            if (TYPES[i].equals(type) && !type.isEmpty()) {
                return i;
            }
        }
        throw new IllegalArgumentException("names no packet");
    }

    private static boolean matches(String wanted, String is) {
        StringBuilder pattern = new StringBuilder();
        for (String part : wanted.split("\\*", -1)) {
            pattern.append(pattern.isEmpty() ? "" : ".*").append(Pattern.quote(part));
        }
        return is.matches(pattern.toString());
    }

    /** What was remembered in the place of its name, and runs written out. */
    private static String text(String text, Map<String, String> known) {
        String all = text;
        for (Map.Entry<String, String> one : known.entrySet()) {
            all = all.replace("$" + one.getKey(), one.getValue());
        }
        Matcher times = TIMES.matcher(all);
        return times.replaceAll(
                found -> Matcher.quoteReplacement(found.group(2).repeat(Integer.parseInt(found.group(1)))));
    }
}
