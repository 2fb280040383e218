package laneflow.lab.measure;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import laneflow.control.DestinationType;
import laneflow.control.Message;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.standin.StandInControl;
import laneflow.lab.standin.StandInNodes;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure config}: runs four scheduler processes and a stand-in control service under steady
 * traffic. The service publishes versions drawn from the seed: destination sets, classes and limits, as
 * snapshots and as deltas; valid, malformed and semantically invalid ones, ones with a wrong digest, older and
 * repeated ones, and sets of 2,000 endpoints. Each scheduler's reply is compared with the expected one. Then
 * each scheduler is killed and restarted between versions, and a fifth scheduler, which puts new versions on
 * probation, gets a version that breaks service. The exit code is 1 for a wrong verdict, a response that
 * mixes two versions, a request without a response, schedulers that disagree at the end, a damaged
 * last-good file, or a broken version that is not rolled back.
 */
public final class ConfigMeasure {
    private static final int SCHEDULERS = 4;
    private static final int NODE_COUNT = 3;
    private static final int REQUESTS_PER_SECOND = 60;
    private static final long REPLY_TIMEOUT_NS = 2_000_000_000L;
    private static final String CLASSES_TYPE = "type.laneflow/classes";
    private static final String LIMITS_TYPE = "type.laneflow/limits";

    private final SplittableRandom random;
    private final boolean large;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses crew;
    private final StandInControl control = new StandInControl();
    private final int[] schedulerPorts = new int[SCHEDULERS];
    private final int[] nodePorts = new int[NODE_COUNT];
    private final Process[] schedulers = new Process[SCHEDULERS];
    private final Histogram convergenceNs = new Histogram(3);
    private String runningVersion = "";
    private JsonArray runningResources = new JsonArray();
    private String classesVersion = "";
    private String limitsVersion = "";
    private final HangLoad[] hangLoads = new HangLoad[SCHEDULERS];
    private long versionNumber;
    private int acceptedCount;
    private int rejectedCount;
    private int wrongVerdicts;
    private int disagreements;
    private int damagedFiles;
    private long adoptP99Us;
    private long adoptMaxUs;
    private long adoptCpuMaxUs;
    private long stepCpuMaxUs;
    private long stepMaxUs;

    private ConfigMeasure(long seed, boolean large, Path folder, PrintStream out, ChildProcesses crew)
            throws IOException {
        random = new SplittableRandom(seed);
        this.large = large;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs the measurement and returns the exit code. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-config");
        try (ChildProcesses crew = new ChildProcesses(folder)) {
            return new ConfigMeasure(seed, large, folder, out, crew).measure();
        } finally {
            FileTree.delete(folder);
        }
    }

    private void startAll() throws IOException, InterruptedException {
        for (int i = 0; i < NODE_COUNT; i++) {
            nodePorts[i] = ChildProcesses.freePort();
        }
        crew.start(
                "nodes",
                256,
                StandInNodes.class,
                nodePorts[0] + "," + nodePorts[1] + "," + nodePorts[2],
                "",
                "5",
                "8",
                "20",
                large ? "600" : "60");
        for (int i = 0; i < SCHEDULERS; i++) {
            schedulerPorts[i] = ChildProcesses.freePort();
            schedulers[i] = start(i);
            hangLoads[i] = new HangLoad(schedulerPorts[i], Map.of());
        }
        await(() -> control.streams() == SCHEDULERS, "streams");
    }

    /** Publishes versions at an even pace under traffic and returns the share of requests served in time. */
    private double servedDuring(int versions) throws IOException, InterruptedException {
        double[] servedShare = new double[1];
        Thread traffic = new Thread(() -> servedShare[0] = runLoadQuietly(versions * 0.1 + 3));
        traffic.start();
        long spacingNanos = 100_000_000L;
        long startNanos = System.nanoTime();
        for (int i = 0; i < versions; i++) {
            long waitNanos = startNanos + i * spacingNanos - System.nanoTime();
            if (waitNanos > 0) {
                Thread.sleep(waitNanos / 1_000_000);
            }
            publishScripted(i);
        }
        traffic.join();
        return servedShare[0];
    }

    /** Counts the schedulers whose running version is not the last valid one. */
    private void countDisagreements() throws IOException, InterruptedException {
        for (int i = 0; i < SCHEDULERS; i++) {
            JsonObject report =
                    JsonParser.parseString(responseBody(get(i, "/config"))).getAsJsonObject();
            JsonObject types = report.getAsJsonObject("types");
            String version =
                    types.getAsJsonObject(DestinationType.URL).get("version").getAsString();
            disagreements += version.equals(runningVersion) ? 0 : 1;
        }
    }

    private int measure() throws IOException, InterruptedException {
        startAll();
        publish(destinations(nodeIndices(NODE_COUNT)), true, true);
        publishClasses(true);
        runLoad(1);
        List<Thread> hanging = startHangLoads();
        double shareBefore = runLoad(3);
        int versions = large ? 600 : 100;
        double shareDuring = servedDuring(versions);
        for (HangLoad load : hangLoads) {
            load.stop();
        }
        for (Thread thread : hanging) {
            thread.join();
        }
        readAdoptionCosts();
        // Done after the load, so that the cost of a restart does not count as a cost of the versions.
        for (int i = 0; i < SCHEDULERS; i++) {
            killAndRestart(i);
            publishScripted(versions + i);
        }
        publish(destinations(nodeIndices(NODE_COUNT)), true, true);
        countDisagreements();
        double rollbackMs = measureRollback();
        long mixedAnswers = 0;
        long checkedAnswers = 0;
        long acrossVersions = 0;
        for (HangLoad load : hangLoads) {
            mixedAnswers += load.mixed.get();
            checkedAnswers += load.checked.get();
            acrossVersions += load.openAcrossChange.get();
        }
        out.printf(
                Locale.ROOT,
                "config: versions=%d acked=%d nacked=%d wrong_verdicts=%d mixed_answers=%d"
                        + " checked_answers=%d across=%d lost=%d disagree=%d service_before=%.2f"
                        + " service_loss_points=%.2f adopt_p99_ms=%.2f adopt_most_ms=%.2f step_most_ms=%.2f"
                        + " adopt_cpu_ms=%.2f step_cpu_ms=%.2f"
                        + " converge_p99_ms=%.1f"
                        + " rollback_ms=%.0f file_damaged=%d%n",
                versionNumber,
                acceptedCount,
                rejectedCount,
                wrongVerdicts,
                mixedAnswers,
                checkedAnswers,
                acrossVersions,
                lostRequests,
                disagreements,
                shareBefore * 100,
                (shareBefore - shareDuring) * 100,
                adoptP99Us / 1e3,
                adoptMaxUs / 1e3,
                stepMaxUs / 1e3,
                adoptCpuMaxUs / 1e3,
                stepCpuMaxUs / 1e3,
                convergenceNs.getValueAtPercentile(99) / 1e6,
                rollbackMs,
                damagedFiles);
        control.close();
        // If no request was open across two versions, the run says nothing about mixed responses.
        return wrongVerdicts + lostRequests + disagreements + damagedFiles + mixedAnswers > 0
                        || rollbackMs < 0
                        || acrossVersions == 0
                ? 1
                : 0;
    }

    // ---- processes and traffic ----

    private Process start(int i) throws IOException, InterruptedException {
        String name = "s" + i;
        Path file = folder.resolve(name + ".toml");
        writeConfig(file, name, schedulerPorts[i], control, "probation_ms = 0\n");
        Process process = crew.startScheduler(name, 128, file.toString());
        crew.awaitPort(process, name, schedulerPorts[i]);
        return process;
    }

    /** Reads what adopting versions has cost so far, and keeps the maximum over all schedulers. */
    private void readAdoptionCosts() throws IOException {
        for (int i = 0; i < SCHEDULERS; i++) {
            for (String line : responseBody(get(i, "/counters")).split("\n")) {
                String[] pair = line.strip().split(" ");
                long value = pair.length == 2 ? Long.parseLong(pair[1]) : 0;
                switch (pair[0]) {
                    case "config.adopt_p99_us":
                        adoptP99Us = Math.max(adoptP99Us, value);
                        break;
                    case "config.adopt_most_us":
                        adoptMaxUs = Math.max(adoptMaxUs, value);
                        break;
                    case "config.step_most_us":
                        stepMaxUs = Math.max(stepMaxUs, value);
                        break;
                    case "config.adopt_cpu_most_us":
                        adoptCpuMaxUs = Math.max(adoptCpuMaxUs, value);
                        break;
                    case "config.step_cpu_most_us":
                        stepCpuMaxUs = Math.max(stepCpuMaxUs, value);
                        break;
                    default:
                        break;
                }
            }
        }
    }

    private void writeConfig(Path file, String name, int port, StandInControl controlService, String extraSettings)
            throws IOException {
        Files.writeString(
                file,
                "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + port
                        + "\"\nzones = [\"a\"]\n"
                        + "[limits]\nsockets = 2048\n[classes.check]\naim_ms = 200\nrepeat = \"safe\"\n"
                        + "[classes.hang]\naim_ms = 100\n"
                        + "[control]\naddresses = [\"" + controlService.address() + "\"]\nlast_good_dir = \""
                        + folder.resolve(name) + "\"\nallowed_endpoints = [\"127.0.0.0/8\"]\n"
                        + "tell_versions = true\nfigures_ms = 200\n"
                        + "silence_ms = 60000\nlongest_backoff_ms = 200\n" + extraSettings);
    }

    /** Starts three threads per scheduler that send hanging requests until the load is stopped. */
    private List<Thread> startHangLoads() {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SCHEDULERS; i++) {
            for (int k = 0; k < 3; k++) {
                HangLoad load = hangLoads[i];
                int first = k;
                Thread thread = new Thread(() -> load.run(first));
                thread.start();
                threads.add(thread);
            }
        }
        return threads;
    }

    /**
     * Returns the milliseconds between publishing a version that breaks service and the report of its
     * rollback, at a fifth scheduler. Negative if the version was not rolled back, if a valid version was,
     * or if the scheduler adopts the broken version when it is published again.
     */
    private double measureRollback() throws IOException, InterruptedException {
        try (StandInControl controlService = new StandInControl()) {
            int port = ChildProcesses.freePort();
            Path file = folder.resolve("r0.toml");
            writeConfig(file, "r0", port, controlService, "probation_ms = 2000\n");
            crew.startScheduler("r0", 128, file.toString());
            await(() -> controlService.hasStream("r0"), "r0");
            controlService.publish(
                    snapshotMessage(DestinationType.URL, "1-aa", "b1", destinations(nodeIndices(NODE_COUNT))), true);
            await(() -> controlService.reply("r0", "b1") != null, "r0's first reply");
            LiveLoad load = new LiveLoad(port, "check", 8, 100, 200);
            Thread traffic = new Thread(() -> {
                try {
                    load.run(7);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            traffic.start();
            Thread.sleep(1200);
            controlService.publish(
                    snapshotMessage(DestinationType.URL, "2-aa", "b2", destinations(List.of(0, 1))), true);
            Thread.sleep(2600);
            boolean validVersionKept = !controlService.rolledBackNanos.containsKey("r0");
            long publishedNanos = System.nanoTime();
            // A valid version whose endpoint refuses connections.
            controlService.publish(
                    snapshotMessage(
                            DestinationType.URL,
                            "3-aa",
                            "b3",
                            List.of(
                                    endpoint(0, "").replaceFirst("127.0.0.1:[0-9]+", "127.0.0.1:9"),
                                    hangingEndpoint())),
                    true);
            while (!controlService.rolledBackNanos.containsKey("r0")
                    && System.nanoTime() - publishedNanos < 2 * REPLY_TIMEOUT_NS) {
                Thread.sleep(1);
            }
            Long takenBackNanos = controlService.rolledBackNanos.get("r0");
            controlService.publish(
                    snapshotMessage(DestinationType.URL, "3-aa", "b4", destinations(nodeIndices(NODE_COUNT))), false);
            await(() -> controlService.reply("r0", "b4") != null, "r0's last reply");
            boolean rejectedAgain = controlService.reply("r0", "b4").error() != null
                    && controlService.reply("r0", "b4").version().equals("2-aa");
            traffic.join();
            lostRequests += load.timedOut();
            if (!validVersionKept || takenBackNanos == null || !rejectedAgain) {
                out.println("r0: valid version kept=" + validVersionKept + " rolled back at=" + takenBackNanos
                        + " broken version rejected again=" + rejectedAgain + "\n" + crew.log("r0"));
            }
            return validVersionKept && takenBackNanos != null && rejectedAgain
                    ? (takenBackNanos - publishedNanos) / 1e6
                    : -1;
        }
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private static void await(Condition condition, String description) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + 10 * REPLY_TIMEOUT_NS;
        while (!condition.holds()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("timed out waiting for " + description);
            }
            Thread.sleep(5);
        }
    }

    /** Kills and restarts a scheduler, and waits until it runs the newest version again. */
    private void killAndRestart(int i) throws IOException, InterruptedException {
        ChildProcesses.kill(schedulers[i]);
        control.dropStream("s" + i);
        schedulers[i] = start(i);
        await(() -> control.hasStream("s" + i), "the stream of the restarted scheduler");
        await(
                () -> responseBody(get(i, "/config")).contains("\"" + runningVersion + "\""),
                "the newest version at s" + i);
        if (crew.log("s" + i).contains("is passed over")) {
            damagedFiles++;
        }
    }

    private double runLoadQuietly(double seconds) {
        try {
            return runLoad(seconds);
        } catch (InterruptedException e) {
            return 0;
        }
    }

    private int lostRequests;

    /** Sends steady requests to each scheduler and returns the mean share that was served in time. */
    private double runLoad(double seconds) throws InterruptedException {
        LiveLoad[] loads = new LiveLoad[SCHEDULERS];
        double[] servedShares = new double[SCHEDULERS];
        Thread[] threads = new Thread[SCHEDULERS];
        for (int i = 0; i < SCHEDULERS; i++) {
            int index = i;
            loads[i] = new LiveLoad(schedulerPorts[i], "check", 8, REQUESTS_PER_SECOND, 200);
            threads[i] = new Thread(() -> {
                try {
                    servedShares[index] = loads[index].run(seconds);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            threads[i].start();
        }
        double sum = 0;
        for (int i = 0; i < SCHEDULERS; i++) {
            threads[i].join();
            sum += servedShares[i];
            lostRequests += loads[i].timedOut();
        }
        return sum / SCHEDULERS;
    }

    // ---- versions ----

    private static List<Integer> nodeIndices(int count) {
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            indices.add(i);
        }
        return indices;
    }

    private String endpoint(int node, String extraFields) {
        return "{\"name\":\"till-" + node + "\",\"dial\":\"127.0.0.1:" + nodePorts[node] + "\",\"zone\":\"a\""
                + extraFields + "}";
    }

    private List<String> destinations(List<Integer> live) {
        List<String> resources = new ArrayList<>();
        live.forEach(node -> resources.add(endpoint(node, "")));
        resources.add(hangingEndpoint());
        return resources;
    }

    private String hangingEndpoint() {
        return endpoint(0, ",\"classes\":[\"hang\"]").replace("till-0", "hang-0");
    }

    /** Publishes classes with a new deadline for hanging requests, or an invalid version of the classes. */
    private void publishClasses(boolean valid) throws InterruptedException {
        int deadlineMs = 150 + 100 * random.nextInt(4);
        String check = "{\"name\":\"check\",\"aim_ms\":200,\"repeat\":\"safe\"}";
        String hang = "{\"name\":\"hang\",\"aim_ms\":100,\"deadline_ms\":" + deadlineMs + "}";
        String[] invalid = {
            check,
            hang,
            check + "," + hang.replace("100,", "100,\"repeat\":\"safe\","),
            check + "," + hang.replace("\"aim_ms\":100", "\"aim_ms\":900"),
            check + "," + hang + "," + check,
            check + "," + hang.replace("deadline_ms", "dead_line"),
            check.replace("200", "\"200\"") + "," + hang
        };
        versionNumber++;
        String version = versionNumber + "-" + Long.toHexString(random.nextLong() >>> 8);
        if (valid) {
            for (HangLoad load : hangLoads) {
                load.addVersion(version, deadlineMs);
            }
        }
        String previous = classesVersion;
        classesVersion = valid ? version : previous;
        send(
                CLASSES_TYPE,
                version,
                snapshotMessage(
                        CLASSES_TYPE,
                        version,
                        "n" + version,
                        List.of(valid ? check + "," + hang : invalid[random.nextInt(invalid.length)])),
                "n" + version,
                valid,
                valid,
                previous);
    }

    private void publishLimits(boolean valid) throws InterruptedException {
        String validText = "{\"name\":\"limits\",\"sockets\":2048,\"attempts\":" + (2 + random.nextInt(4)) + "}";
        String[] invalid = {
            validText.replace("2048", "1000000000"),
            validText.replace("attempts", "attemps"),
            validText.replaceFirst("\"attempts\":[0-9]", "\"attempts\":0"),
            validText + "," + validText
        };
        versionNumber++;
        String version = versionNumber + "-" + Long.toHexString(random.nextLong() >>> 8);
        String previous = limitsVersion;
        limitsVersion = valid ? version : previous;
        send(
                LIMITS_TYPE,
                version,
                snapshotMessage(
                        LIMITS_TYPE,
                        version,
                        "n" + version,
                        List.of(valid ? validText : invalid[random.nextInt(invalid.length)])),
                "n" + version,
                valid,
                valid,
                previous);
    }

    /** Publishes a delta that removes or adds an endpoint; an invalid one has a wrong base or digest. */
    private void publishDelta(boolean valid) throws InterruptedException {
        int node = random.nextInt(NODE_COUNT);
        boolean present = runningResources.toString().contains("\"till-" + node + "\"");
        int presentCount = 0;
        for (int i = 0; i < NODE_COUNT; i++) {
            presentCount += runningResources.toString().contains("\"till-" + i + "\"") ? 1 : 0;
        }
        boolean remove = present && presentCount > 1;
        JsonArray newResources = new JsonArray();
        runningResources.forEach(resource -> {
            if (!resource.getAsJsonObject().get("name").getAsString().equals("till-" + node)) {
                newResources.add(resource);
            }
        });
        if (!remove) {
            newResources.add(JsonParser.parseString(endpoint(node, "")));
        }
        versionNumber++;
        String digest = Message.digest(newResources);
        boolean wrongBase = !valid && random.nextBoolean();
        String version = versionNumber + "-" + (valid || wrongBase ? digest : "0".repeat(64));
        String nonce = "n" + version;
        String text = "{\"type_url\":\"" + DestinationType.URL + "\",\"system_version_info\":\"" + version
                + "\",\"from_version\":\"" + (wrongBase ? "1-00" : runningVersion) + "\",\"nonce\":\"" + nonce
                + "\","
                + (remove
                        ? "\"removed_resources\":[\"till-" + node + "\"]"
                        : "\"resources\":[{\"name\":\"till-" + node + "\",\"resource\":" + endpoint(node, "") + "}]")
                + "}";
        String previous = runningVersion;
        if (valid) {
            runningVersion = version;
            runningResources = newResources;
            // A scheduler that connects later gets the snapshot.
            control.setInitialResponse(
                    snapshotMessage(DestinationType.URL, version, nonce, List.of(withoutBrackets(newResources))));
        }
        send(DestinationType.URL, version, text, nonce, valid, false, previous);
    }

    private static String withoutBrackets(JsonArray array) {
        String text = array.toString();
        return text.substring(1, text.length() - 1);
    }

    private static String snapshotMessage(String type, String version, String nonce, List<String> resources) {
        return "{\"type_url\":\"" + type + "\",\"version_info\":\"" + version + "\",\"nonce\":\"" + nonce
                + "\",\"resources\":[" + String.join(",", resources) + "]}";
    }

    /** Publishes the next message: each third one concerns classes, limits or a delta. */
    private void publishScripted(int index) throws InterruptedException {
        double messageKind = random.nextDouble();
        List<String> resources = destinations(nodeIndices(NODE_COUNT));
        if (index % 3 == 1) {
            double updateKind = random.nextDouble();
            boolean valid = messageKind < 0.7;
            if (updateKind < 0.5) {
                publishClasses(valid);
            } else if (updateKind < 0.7) {
                publishLimits(valid);
            } else {
                publishDelta(valid);
            }
        } else if (messageKind < 0.45) {
            // Removes one of the three endpoints: it drains and returns with a later version.
            resources.remove(random.nextInt(NODE_COUNT));
            publish(resources, true, true);
        } else if (messageKind < 0.55) {
            // A large set: 2,000 draining endpoints besides the serving ones.
            for (int spare = 0; spare < 2000; spare++) {
                resources.add("{\"name\":\"spare-" + spare
                        + "\",\"dial\":\"127.1.0.1:9\",\"zone\":\"a\",\"state\":"
                        + "\"draining\"}");
            }
            publish(resources, true, true);
        } else if (messageKind < 0.65) {
            send(runningVersion, resources, true, false);
        } else if (messageKind < 0.75) {
            long runningNumber = Long.parseLong(runningVersion.substring(0, runningVersion.indexOf('-')));
            send(Math.max(0, runningNumber - 1 - random.nextInt(5)) + "-00", resources, false, false);
        } else {
            String[] invalid = {
                endpoint(0, ",\"state\":\"draining\""),
                endpoint(0, ",\"weight\":0"),
                endpoint(0, ",\"colour\":1"),
                endpoint(0, "").replace("127.0.0.1", "10.0.0.1"),
                endpoint(0, "") + "," + endpoint(0, ""),
                endpoint(0, "").replace("\"a\"", "\"b\""),
                "7"
            };
            publish(List.of(invalid[random.nextInt(invalid.length)]), false, false);
        }
    }

    private void publish(List<String> resources, boolean valid, boolean keepForNewStreams) throws InterruptedException {
        versionNumber++;
        send(versionNumber + "-" + Long.toHexString(random.nextLong() >>> 8), resources, valid, keepForNewStreams);
    }

    private void send(String version, List<String> resources, boolean valid, boolean keepForNewStreams)
            throws InterruptedException {
        String nonce = "n" + random.nextInt(1 << 30);
        String previous = runningVersion;
        if (keepForNewStreams) {
            runningVersion = version;
            runningResources = JsonParser.parseString("[" + String.join(",", resources) + "]")
                    .getAsJsonArray();
        }
        send(
                DestinationType.URL,
                version,
                snapshotMessage(DestinationType.URL, version, nonce, resources),
                nonce,
                valid,
                keepForNewStreams,
                previous);
    }

    private void send(
            String type,
            String version,
            String text,
            String nonce,
            boolean valid,
            boolean keepForNewStreams,
            String previousVersion)
            throws InterruptedException {
        long sentNanos = System.nanoTime();
        control.publish(text, keepForNewStreams);
        for (int i = 0; i < SCHEDULERS; i++) {
            StandInControl.Reply reply = control.reply("s" + i, nonce);
            while (reply == null && System.nanoTime() - sentNanos < REPLY_TIMEOUT_NS) {
                Thread.sleep(0, 200_000);
                reply = control.reply("s" + i, nonce);
            }
            boolean accepted = reply != null && reply.error() == null;
            acceptedCount += accepted ? 1 : 0;
            rejectedCount += accepted ? 0 : 1;
            // A rejecting reply names the version that still runs.
            if (reply == null || accepted != valid || !reply.version().equals(valid ? version : previousVersion)) {
                wrongVerdicts++;
                out.println("s" + i + " to " + type + " " + version + ": " + reply);
            } else if (valid) {
                convergenceNs.recordValue(reply.nanos() - sentNanos);
            }
        }
    }

    private String get(int scheduler, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), schedulerPorts[scheduler])) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: l\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return LiveLoad.readResponse(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static String responseBody(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }
}
