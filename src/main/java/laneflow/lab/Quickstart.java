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
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Trash;
import laneflow.lab.standin.Ledger;
import laneflow.lab.standin.StandInNodes;
import laneflow.lab.standin.StandInWorker;
import laneflow.lab.standin.Wire;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code lab quickstart}: a scheduler by a file of {@code deploy/}, three stand-in till nodes and a Gearman
 * worker; jobs on both fronts, and a table of what was answered and by whom. Ends by itself, with 0 if all
 * were served.
 */
@Command(
        name = "quickstart",
        mixinStandardHelpOptions = true,
        description = "Shows a scheduler at work with stand-ins, and ends by itself.")
public final class Quickstart implements Callable<Integer> {
    private static final String FORM = "%-8s %-13s %-8s %-22s %s%n";
    private static final int TRIES = 20;
    private static final long AGAIN_MS = 100;

    @Option(names = "--config", paramLabel = "FILE", description = "The operators' file to start from.")
    private Path config = Path.of("deploy/laneflow.toml");

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("laneflow-quickstart");
        try (Crew crew = new Crew(folder)) {
            return show(crew, folder);
        } finally {
            Trash.remove(folder);
        }
    }

    private int show(Crew crew, Path folder) throws IOException, InterruptedException {
        int http = Crew.port();
        int gearman = Crew.port();
        // The file as it stands, but for addresses that may be taken here, and a store of its own.
        String text = Files.readString(config)
                .replace("127.0.0.1:8081", "127.0.0.1:" + http)
                .replace("127.0.0.1:4730", "127.0.0.1:" + gearman)
                .replace("dir = \"durable-jobs\"", "dir = \"" + folder.resolve("store") + "\"");
        List<String> ledgers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            int port = Crew.port();
            text = text.replace("127.0.0.1:910" + i, "127.0.0.1:" + port);
            String ledger = folder.resolve("till-" + i).toString();
            ledgers.add(ledger);
            crew.start("node-" + i, 64, StandInNodes.class, "" + port, ledger, "" + i, "2", "30", "30");
        }
        Path file = Files.writeString(folder.resolve("laneflow.toml"), text);
        Process scheduler = crew.scheduler("scheduler", 128, file.toString());
        crew.awaitPort(scheduler, "scheduler", http);
        ledgers.add(folder.resolve("worker").toString());
        crew.start(
                "worker",
                64,
                StandInWorker.class,
                "" + gearman,
                ledgers.get(3),
                "9",
                "30",
                "0",
                "0",
                "basket_check,card_capture,points_post",
                "30");
        System.out.printf(FORM, "front", "class", "job", "answer", "ran at");
        int served = 0;
        String[] classes = {"basket-check", "card-capture", "points-post"};
        String[] answers = new String[18];
        Thread[] clients = new Thread[4];
        for (int i = 0; i < clients.length; i++) {
            int first = i;
            clients[i] = new Thread(() -> {
                for (int at = first; at < 18; at += clients.length) {
                    String jobClass = classes[at % 9 % 3];
                    answers[at] = at < 9
                            ? post(http, jobClass, "h" + at)
                            : submit(gearman, jobClass.replace('-', '_'), "g" + (at - 9));
                }
            });
            clients[i].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        for (int i = 0; i < 18; i++) {
            served += row(
                    i < 9 ? "http" : "gearman",
                    classes[i % 9 % 3],
                    i < 9 ? "h" + i : "g" + (i - 9),
                    answers[i],
                    ledgers);
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), http)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String kept = post(socket, in, "points-post", "d0", "Prefer: respond-async\r\nIdempotency-Key: k0\r\n");
            String id = kept.replaceAll("(?s).*\"id\":\"([0-9a-f]+)\".*", "$1");
            String state = "";
            for (int i = 0; i < 500 && !state.contains("\"done\""); i++) {
                Thread.sleep(10);
                socket.getOutputStream()
                        .write(("GET /jobs/" + id + " HTTP/1.1\r\nHost: q\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                state = LiveLoad.readResponse(in);
            }
            served += row("durable", "points-post", "d0", state.contains("\"done\"") ? "200 ran d0" : state, ledgers);
        }
        scheduler.destroy();
        scheduler.waitFor();
        System.out.println(served + " of 19 served");
        return served == 19 ? 0 : 1;
    }

    private static String post(Socket socket, InputStream in, String jobClass, String name, String headers)
            throws IOException {
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("POST /" + jobClass + " HTTP/1.1\r\nHost: q\r\nReq-Id: " + name
                                + "\r\n"
                                + headers + "Content-Length: " + name.length() + "\r\n\r\n" + name)
                        .getBytes(StandardCharsets.US_ASCII));
        String answer = LiveLoad.readResponse(in);
        return answer.substring(9, 13)
                + answer.substring(answer.indexOf("\r\n\r\n") + 4).strip();
    }

    private static String post(int port, String jobClass, String name) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String answer = post(socket, in, jobClass, name, "");
            // A client that is turned away comes back.
            for (int i = 0; i < TRIES && answer.startsWith("503"); i++) {
                Thread.sleep(AGAIN_MS);
                answer = post(socket, in, jobClass, name, "");
            }
            return answer;
        } catch (InterruptedException e) {
            return "interrupted";
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String submit(int port, String function, String name) {
        try (Wire wire = new Wire(port, 10_000)) {
            String answer = submit(wire, function, name);
            for (int i = 0; i < TRIES && answer.equals("WORK_FAIL"); i++) {
                Thread.sleep(AGAIN_MS);
                answer = submit(wire, function, name);
            }
            return answer;
        } catch (InterruptedException e) {
            return "interrupted";
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String submit(Wire wire, String function, String name) throws IOException {
        wire.send(Wire.SUBMIT_JOB, function, "", name);
        for (Wire.Packet said = wire.read(); ; said = wire.read()) {
            if (said.type() == Wire.WORK_COMPLETE) {
                return "WORK_COMPLETE " + said.args()[1];
            } else if (said.type() != Wire.JOB_CREATED && said.type() != Wire.WORK_STATUS) {
                return said.type() == Wire.WORK_FAIL ? "WORK_FAIL" : "packet " + said.type();
            }
        }
    }

    private static int row(String front, String jobClass, String name, String answer, List<String> ledgers)
            throws IOException {
        String where = "";
        for (String ledger : ledgers) {
            if (Ledger.read(Path.of(ledger)).stream()
                    .anyMatch(line -> line.job().equals(name))) {
                where += " " + Path.of(ledger).getFileName();
            }
        }
        System.out.printf(FORM, front, jobClass, name, answer, where.strip());
        return answer.endsWith("ran " + name) ? 1 : 0;
    }
}
