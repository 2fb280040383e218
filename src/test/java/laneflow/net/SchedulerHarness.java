package laneflow.net;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import laneflow.assembly.ProcessEnvironment;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.control.ControlConfig;
import laneflow.durable.DurableConfig;
import laneflow.gearman.GearmanConfig;
import laneflow.http.Config;

/** A scheduler in this process on loopback sockets, and peers that send exactly what a test has them send. */
public final class SchedulerHarness implements AutoCloseable {
    private static final int TIMEOUT_MS = 60_000;
    private static final String SETTINGS = "{'areas':['celje-1'],'shapes':['mid'],'classes':["
            + "{'name':'basket-check','aim':0.2,'hardLimit':5,'semantics':'pure','worth':2},"
            + "{'name':'card-capture','aim':0.15,'hardLimit':6,'semantics':'side_effect','worth':8},"
            + "{'name':'points-post','aim':0.25,'hardLimit':6,'semantics':'token','group':'all',"
            + "'dedupWindow':10,'worth':2}],'familyInfo':{'classStretch':[2,2,2],'tellsStart':true},"
            + "'limits':{'cancel':true,'connectTimeout':1,'connIdle':10,'maxAttempts':5,'maxRetryAfter':2,"
            + "'retryAfter':true},'reporting':{'fields':['busy','q','rate','x0'],'source':'answers'},"
            + "'rules':{'stopSendingWithin':0.5},'tick':0.005}";
    private static final String COMMON_CONFIG =
            ",'listen':'127.0.0.1:0','seed':'7','limits':{'sockets':1024},'settings':" + SETTINGS + "}";
    private static final String GEARMAN = "listen = '127.0.0.1:0'\n[functions.check]\nclass = 'basket-check'\n"
            + "[functions.capture]\nclass = 'card-capture'\n[functions.post]\nclass = 'points-post'\n"
            + "[functions.hasty]\nclass = 'card-capture'\ndeadline_ms = 300\n[functions.slow]\nclass = 'points-post'\ncost_ms = 3000\n";

    public final Serve serve;
    private final List<AutoCloseable> resources = new ArrayList<>();

    /** Starts a scheduler with these endpoints, and with discovery unless it is null. */
    public SchedulerHarness(Endpoint discovery, Endpoint... known) throws Exception {
        this(discovery, 1024, known);
    }

    /** Starts a scheduler as above with a limit of file descriptors. */
    public SchedulerHarness(Endpoint discovery, int sockets, Endpoint... known) throws Exception {
        List<String> hosts = new ArrayList<>();
        for (Endpoint endpoint : known) {
            hosts.add(endpoint.host("Ready"));
            resources.add(endpoint);
        }
        Path file = Files.createTempFile("harness", ".json");
        try {
            Files.writeString(
                    file,
                    json("{'known':" + hostList(1, true, hosts.toArray(new String[0]))
                                    + (discovery == null ? "" : ",'discovery':'" + discovery.dial() + "'")
                                    + COMMON_CONFIG)
                            .replace("1024", "" + sockets));
            serve = serve(Config.read(file, null));
        } finally {
            Files.delete(file);
        }
    }

    /** Starts a scheduler with one part of its configuration replaced, and with discovery unless it is null. */
    public static SchedulerHarness withSetting(
            String oldSetting, String newSetting, Endpoint discovery, Endpoint... known) throws Exception {
        String text = configWithEndpoints(known);
        if (!text.contains(json(oldSetting))) {
            throw new IllegalArgumentException(oldSetting);
        }
        return new SchedulerHarness(serve(Config.parse(text.replace(json(oldSetting), json(newSetting))
                .replaceFirst("\\{", discovery == null ? "{" : json("{'discovery':'" + discovery.dial() + "',")))));
    }

    /** Starts a scheduler with an ops port, 160 file descriptors, and a folder for state that outlives it. */
    public static SchedulerHarness withOpsPort(Path folder, Endpoint... known) throws Exception {
        Config config = Config.parse(configWithEndpoints(known).replace("1024", "160"));
        return new SchedulerHarness(
                new Serve(new Setup(config, null, null, null), new ProcessEnvironment("127.0.0.1:0", folder, false)));
    }

    /** Returns a configuration in the platform's format that lists these endpoints. */
    public static String configWithEndpoints(Endpoint... known) {
        List<String> hosts = new ArrayList<>();
        for (Endpoint endpoint : known) {
            hosts.add(endpoint.host("Ready"));
        }
        return json("{'known':" + hostList(1, true, hosts.toArray(new String[0])) + COMMON_CONFIG);
    }

    /** Connects to a process that the test has started itself. */
    public static Peer connect(String host, int port) throws IOException {
        return new Peer(new Socket(host, port));
    }

    /** Connects to the ops port, which takes the commands of on-call staff. */
    public Peer opsClient() throws IOException {
        return connect(serve.operations().address());
    }

    /** Starts a scheduler that reads its destinations from a file. */
    public static SchedulerHarness withDestinationsFile(Path destinations) throws Exception {
        Path file = Files.createTempFile("harness", ".json");
        try {
            Files.writeString(file, json("{'discovery':'127.0.0.1:1'" + COMMON_CONFIG));
            return new SchedulerHarness(serve(Config.read(file, destinations)));
        } finally {
            Files.delete(file);
        }
    }

    /** Starts a scheduler whose endpoints report their load to probes only. */
    public static SchedulerHarness withProbes(Endpoint endpoint) throws Exception {
        Path file = Files.createTempFile("harness", ".json");
        try {
            Files.writeString(
                    file,
                    json("{'known':" + hostList(1, true, endpoint.host("Ready"))
                            + COMMON_CONFIG
                                    .replace("'source':'answers'", "'source':'probe'")
                                    .replace("'cancel':true", "'cancel':true,'probes':true")));
            return new SchedulerHarness(serve(Config.read(file, null)));
        } finally {
            Files.delete(file);
        }
    }

    /** Starts a scheduler that stores durable jobs in a folder, with Gearman functions kcheck, kcapture and kpost. */
    public static SchedulerHarness withDurableJobs(Path folder, String durable, Endpoint... known) throws Exception {
        Config config = Config.parse(configWithEndpoints(known));
        Findings findings = new Findings("the harness's file");
        String functions = "listen = '127.0.0.1:0'\n[functions.kcheck]\nclass = 'basket-check'\ndurable = true\n"
                + "[functions.kcapture]\nclass = 'card-capture'\ndurable = true\n[functions.kpost]\n"
                + "class = 'points-post'\ndurable = true\n";
        List<String> classes = List.of(config.classNames);
        Setup setup = new Setup(
                config,
                GearmanConfig.read(Table.parse(functions, findings), config.settings, classes, config.zones),
                DurableConfig.read(
                        Table.parse("dir = '" + folder + "'\n" + durable, findings), config.settings, classes),
                null);
        findings.throwIfAny();
        return new SchedulerHarness(new Serve(setup));
    }

    /**
     * Starts a scheduler that receives its destinations from a configuration stream.
     *
     * @param control the table of the configuration stream, TOML
     */
    public static SchedulerHarness withControlStream(String control) throws Exception {
        Config config = Config.parse(json("{'name':'n3'" + COMMON_CONFIG));
        Findings findings = new Findings("the harness's file");
        Setup setup = new Setup(config, null, null, ControlConfig.read(Table.parse(control, findings)));
        findings.throwIfAny();
        return new SchedulerHarness(new Serve(setup));
    }

    /**
     * Starts a scheduler with a Gearman front and no endpoints.
     *
     * @param table the Gearman table, TOML
     */
    public static SchedulerHarness withGearman(String table) throws Exception {
        Config config = Config.parse(json("{'name':'n3'" + COMMON_CONFIG));
        return new SchedulerHarness(new Serve(new Setup(
                config,
                GearmanConfig.parse(table, config.settings, List.of(config.classNames), config.zones),
                null,
                null)));
    }

    /**
     * Starts a scheduler with a configuration stream and these Gearman functions.
     *
     * @param durable folder for durable jobs, or null for none
     */
    public static SchedulerHarness withControlStream(String control, String functions, Path durable) throws Exception {
        Config config = Config.parse(json("{'name':'n3'" + COMMON_CONFIG));
        Findings findings = new Findings("the harness's file");
        List<String> classes = List.of(config.classNames);
        Setup setup = new Setup(
                config,
                GearmanConfig.parse("listen = '127.0.0.1:0'\n" + functions, config.settings, classes, config.zones),
                durable == null
                        ? null
                        : DurableConfig.read(
                                Table.parse("dir = '" + durable + "'\n", findings), config.settings, classes),
                ControlConfig.read(Table.parse(control, findings)));
        findings.throwIfAny();
        return new SchedulerHarness(new Serve(setup));
    }

    private SchedulerHarness(Serve serve) {
        this.serve = serve;
    }

    private static Serve serve(Config config) throws Exception {
        return new Serve(new Setup(
                config,
                GearmanConfig.parse(GEARMAN, config.settings, List.of(config.classNames), config.zones),
                null,
                null));
    }

    private static String json(String text) {
        return text.replace('\'', '"');
    }

    /** Returns a host list in the format of discovery. */
    public static String hostList(int seq, boolean whole, String... hosts) {
        return ("{'seq':" + seq + ",'whole':" + whole + ",'hosts':[" + String.join(",", hosts) + "]}")
                .replace('\'', '"');
    }

    /** Returns a configuration with this address of discovery. */
    public static String configWithDiscovery(String discovery) {
        return json("{'discovery':'" + discovery + "'" + COMMON_CONFIG);
    }

    /** Returns the start of a watch response: its head and one line, with more to follow. */
    public static String watchResponse(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1) + "\r\n"
                + line + "\n\r\n";
    }

    /** Connects a client to the HTTP front. */
    public Peer http() throws IOException {
        return connect(serve.front().address());
    }

    /** Connects a client or worker to the Gearman front. */
    public Peer gearman() throws IOException {
        return connect(serve.gearman().address());
    }

    private Peer connect(InetSocketAddress address) throws IOException {
        Peer peer = new Peer(new Socket(address.getAddress(), address.getPort()));
        resources.add(peer);
        return peer;
    }

    /** Returns the current value of a counter. */
    public long counter(String name) throws InterruptedException {
        long[] value = new long[1];
        serve.loop().call(() -> value[0] = serve.scheduler().counters().get(name));
        return value[0];
    }

    /** Waits until a counter has reached a minimum. */
    public void awaitCounter(String name, long minimum) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (counter(name) < minimum) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError(name + " is " + counter(name));
            }
            Thread.yield();
        }
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        serve.halt();
    }

    /** The listening socket of an endpoint or of discovery; the test accepts its connections. */
    public static final class Endpoint implements AutoCloseable {
        public final String name;
        private final ServerSocket server;

        /** Creates another endpoint on the socket of an existing one. */
        public Endpoint(String name, Endpoint other) {
            this.name = name;
            server = other.server;
        }

        public Endpoint(String name) throws IOException {
            this(name, 50);
        }

        /** @param backlog how many connections the kernel holds until they are accepted */
        public Endpoint(String name, int backlog) throws IOException {
            this.name = name;
            server = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
            server.setSoTimeout(TIMEOUT_MS);
        }

        /**
         * Opens connections until the backlog is full, and returns how many there are: a further connection is
         * established only once the first ones have been accepted.
         */
        public int fillBacklog() throws IOException {
            for (int i = 0; true; i++) {
                Socket socket = new Socket();
                try {
                    socket.connect(server.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    socket.close();
                    return i;
                }
            }
        }

        public String dial() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        public String host(String health) {
            return "{'host':'" + name + "','dial':'" + dial() + "','site':'celje-1','class':'mid','block':0,"
                    + "'health':'" + health + "','share':1.0,'born_ms':0}";
        }

        public Peer accept() throws IOException {
            return new Peer(server.accept());
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** One end of a connection, read and written by the test. */
    public static final class Peer implements AutoCloseable {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        public final Socket socket;
        private final InputStream in;
        /** Receives what this end sends, for a transcript. */
        private Consumer<String> recorder = text -> {};

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            in = socket.getInputStream();
            socket.setSoTimeout(TIMEOUT_MS);
            socket.setTcpNoDelay(true);
        }

        /** Passes what this end sends to a recorder from now on. */
        public Peer recordTo(Consumer<String> newRecorder) {
            recorder = newRecorder;
            return this;
        }

        public Peer write(byte[] bytes) throws IOException {
            recorder.accept(new String(bytes, StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            return this;
        }

        public Peer write(String text) throws IOException {
            return write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads exactly this many bytes. */
        public byte[] read(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new IOException("ended after " + Arrays.toString(bytes));
            }
            return bytes;
        }

        /** Reads up to and including a text. */
        public String readTo(String end) throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.indexOf(end) < 0) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("ended after " + text);
                }
                text.append((char) next);
            }
            return text.toString();
        }

        /** Reads a message: its head, and the body if there is a Content-Length. */
        public String message() throws IOException {
            String head = readTo("\r\n\r\n");
            int lengthStart = head.indexOf("Content-Length: ") + 16;
            int length = lengthStart < 16
                    ? 0
                    : Integer.parseInt(head.substring(lengthStart, head.indexOf('\r', lengthStart)));
            return head + new String(read(length), StandardCharsets.ISO_8859_1);
        }

        /** True if the peer has ended or reset the connection without sending anything before. */
        public boolean isClosedByPeer() throws IOException {
            try {
                return in.read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        /** Posts a job; {@code extraHeaders} are further header lines with their line ends. */
        public Peer post(String jobClass, String id, String extraHeaders, String body) throws IOException {
            return write("POST /" + jobClass + "?key=7f HTTP/1.1\r\nHost: o\r\nReq-Id: " + id + "\r\nReq-Kind: "
                    + jobClass + "\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Sends a complete endpoint response with these lines. */
        public Peer respond(String... lines) throws IOException {
            // In one write: once the last chunk has arrived, the connection is free for the next call.
            return write(HEAD + chunks(lines) + "0\r\n\r\n");
        }

        /** Sends the head and the first lines of a response. */
        public Peer beginResponse(String... lines) throws IOException {
            return write(HEAD + chunks(lines));
        }

        /** Sends the last lines of a response. */
        public Peer endResponse(String... lines) throws IOException {
            return write(chunks(lines) + "0\r\n\r\n");
        }

        private static String chunks(String... lines) {
            StringBuilder all = new StringBuilder();
            for (String line : lines) {
                String text = line.replace('\'', '"') + "\n";
                all.append(Integer.toHexString(text.length()))
                        .append("\r\n")
                        .append(text)
                        .append("\r\n");
            }
            return all.toString();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
