package laneflow.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import laneflow.lab.measure.LiveLoad;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.standin.GearmanConnection;
import laneflow.lab.standin.RunLog;
import laneflow.lab.standin.StandInNodes;
import laneflow.lab.standin.StandInWorker;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code lab quickstart}: runs a scheduler with a configuration file of {@code deploy/}, three stand-in till
 * nodes and a Gearman worker, submits jobs to both fronts, and prints a table of each job's result and where
 * it ran. Ends by itself; the exit code is 0 if all jobs were served.
 */
@Command(
        name = "quickstart",
        mixinStandardHelpOptions = true,
        description = "Shows a scheduler at work with stand-ins, and ends by itself.")
public final class Quickstart implements Callable<Integer> {
    private static final String ROW_FORMAT = "%-8s %-13s %-8s %-22s %s%n";
    private static final int RETRIES = 20;
    private static final long RETRY_DELAY_MS = 100;

    @Option(names = "--config", paramLabel = "FILE", description = "The operators' file to start from.")
    private Path config = Path.of("deploy/laneflow.toml");

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("laneflow-quickstart");
        try (ChildProcesses crew = new ChildProcesses(folder)) {
            return run(crew, folder);
        } finally {
            FileTree.delete(folder);
        }
    }

    private int run(ChildProcesses crew, Path folder) throws IOException, InterruptedException {
        int httpPort = ChildProcesses.freePort();
        int gearmanPort = ChildProcesses.freePort();
        // Replaces the addresses, which may be in use on this machine, and the store of durable jobs.
        String configText = Files.readString(config)
                .replace("127.0.0.1:8081", "127.0.0.1:" + httpPort)
                .replace("127.0.0.1:4730", "127.0.0.1:" + gearmanPort)
                .replace("dir = \"durable-jobs\"", "dir = \"" + folder.resolve("store") + "\"");
        List<String> ledgerFiles = new ArrayList<>();
        for (int index = 1; index <= 3; index++) {
            int port = ChildProcesses.freePort();
            configText = configText.replace("127.0.0.1:910" + index, "127.0.0.1:" + port);
            String ledgerFile = folder.resolve("till-" + index).toString();
            ledgerFiles.add(ledgerFile);
            crew.start("node-" + index, 64, StandInNodes.class, "" + port, ledgerFile, "" + index, "2", "30", "30");
        }
        Path configFile = Files.writeString(folder.resolve("laneflow.toml"), configText);
        Process scheduler = crew.startScheduler("scheduler", 128, configFile.toString());
        crew.awaitPort(scheduler, "scheduler", httpPort);
        ledgerFiles.add(folder.resolve("worker").toString());
        crew.start(
                "worker",
                64,
                StandInWorker.class,
                "" + gearmanPort,
                ledgerFiles.get(3),
                "9",
                "30",
                "0",
                "0",
                "basket_check,card_capture,points_post",
                "30");
        System.out.printf(ROW_FORMAT, "front", "class", "job", "answer", "ran at");
        int servedCount = 0;
        String[] classes = {"basket-check", "card-capture", "points-post"};
        String[] results = new String[18];
        Thread[] clients = new Thread[4];
        for (int index = 0; index < clients.length; index++) {
            int firstJob = index;
            clients[index] = new Thread(() -> {
                for (int jobIndex = firstJob; jobIndex < 18; jobIndex += clients.length) {
                    String jobClass = classes[jobIndex % 9 % 3];
                    results[jobIndex] = jobIndex < 9
                            ? post(httpPort, jobClass, "h" + jobIndex)
                            : submit(gearmanPort, jobClass.replace('-', '_'), "g" + (jobIndex - 9));
                }
            });
            clients[index].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        for (int index = 0; index < 18; index++) {
            servedCount += printRow(
                    index < 9 ? "http" : "gearman",
                    classes[index % 9 % 3],
                    index < 9 ? "h" + index : "g" + (index - 9),
                    results[index],
                    ledgerFiles);
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), httpPort)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String acceptance =
                    post(socket, in, "points-post", "d0", "Prefer: respond-async\r\nIdempotency-Key: k0\r\n");
            String id = acceptance.replaceAll("(?s).*\"id\":\"([0-9a-f]+)\".*", "$1");
            String state = "";
            for (int index = 0; index < 500 && !state.contains("\"done\""); index++) {
                Thread.sleep(10);
                socket.getOutputStream()
                        .write(("GET /jobs/" + id + " HTTP/1.1\r\nHost: q\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                state = LiveLoad.readResponse(in);
            }
            servedCount += printRow(
                    "durable", "points-post", "d0", state.contains("\"done\"") ? "200 ran d0" : state, ledgerFiles);
        }
        scheduler.destroy();
        scheduler.waitFor();
        System.out.println(servedCount + " of 19 served");
        return servedCount == 19 ? 0 : 1;
    }

    private static String post(Socket socket, InputStream in, String jobClass, String name, String headers)
            throws IOException {
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("POST /" + jobClass + " HTTP/1.1\r\nHost: q\r\nReq-Id: " + name
                                + "\r\n"
                                + headers + "Content-Length: " + name.length() + "\r\n\r\n" + name)
                        .getBytes(StandardCharsets.US_ASCII));
        String response = LiveLoad.readResponse(in);
        return response.substring(9, 13)
                + response.substring(response.indexOf("\r\n\r\n") + 4).strip();
    }

    private static String post(int port, String jobClass, String name) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String result = post(socket, in, jobClass, name, "");
            // A client that gets a 503 tries again.
            for (int i = 0; i < RETRIES && result.startsWith("503"); i++) {
                Thread.sleep(RETRY_DELAY_MS);
                result = post(socket, in, jobClass, name, "");
            }
            return result;
        } catch (InterruptedException e) {
            return "interrupted";
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String submit(int port, String function, String name) {
        try (GearmanConnection wire = new GearmanConnection(port, 10_000)) {
            String result = submit(wire, function, name);
            for (int i = 0; i < RETRIES && result.equals("WORK_FAIL"); i++) {
                Thread.sleep(RETRY_DELAY_MS);
                result = submit(wire, function, name);
            }
            return result;
        } catch (InterruptedException e) {
            return "interrupted";
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String submit(GearmanConnection wire, String function, String name) throws IOException {
        wire.send(GearmanConnection.SUBMIT_JOB, function, "", name);
        for (GearmanConnection.Packet packet = wire.readPacket(); ; packet = wire.readPacket()) {
            if (packet.type() == GearmanConnection.WORK_COMPLETE) {
                return "WORK_COMPLETE " + packet.args()[1];
            } else if (packet.type() != GearmanConnection.JOB_CREATED
                    && packet.type() != GearmanConnection.WORK_STATUS) {
                return packet.type() == GearmanConnection.WORK_FAIL ? "WORK_FAIL" : "packet " + packet.type();
            }
        }
    }

    private static int printRow(String front, String jobClass, String name, String result, List<String> ledgerFiles)
            throws IOException {
        String ranAt = "";
        for (String ledgerFile : ledgerFiles) {
            if (RunLog.read(Path.of(ledgerFile)).stream()
                    .anyMatch(line -> line.job().equals(name))) {
                ranAt += " " + Path.of(ledgerFile).getFileName();
            }
        }
        System.out.printf(ROW_FORMAT, front, jobClass, name, result, ranAt.strip());
        return result.endsWith("ran " + name) ? 1 : 0;
    }
}
