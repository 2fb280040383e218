package laneflow.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import laneflow.lab.rig.Rig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Capacity gossip among scheduler processes, with a network partition and a restart. */
@Timeout(300)
class CapacityStoryTest {
    private static final int SCHEDULERS = 4;
    private static final String CONFIG = "zones = [\"z\"]\n[classes.check]\nrepeat = \"safe\"\n";

    @TempDir
    private Path folder;

    private Rig rig;
    private int requests;

    @AfterEach
    void tearDown() throws Exception {
        rig.close();
    }

    private static int port() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void startFleet() throws Exception {
        int[] nodes = {port(), port(), port()};
        rig = new Rig(folder, SCHEDULERS, 1, 5, CONFIG + Rig.endpoints(nodes) + "[capacity]\nround_ms = 50\n");
        rig.nodes(nodes, 4, 5, 120);
        rig.members(5, 100, 0, 1);
        rig.startAll();
        rig.awaitSettled(SCHEDULERS, rig.all());
    }

    /** Sends a request to the scheduler and returns the answer's status. */
    private int postRequest(int i) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.clientPort(i))) {
            socket.setSoTimeout(20_000);
            String id = "j" + requests++;
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nConnection: close\r\nReq-Id: " + id
                                    + "\r\nContent-Length: " + id.length() + "\r\n\r\n" + id)
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            String answer = new String(input.readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.split(" ", 3)[1]);
        }
    }

    private JsonObject capacityStatus(int i) throws IOException, InterruptedException {
        return JsonParser.parseString(rig.ask(i, "/capacity", null).body()).getAsJsonObject();
    }

    /** Returns the number of endpoints with a peer report that is at most that old. */
    private int peerReports(int i, long ageMs) throws IOException, InterruptedException {
        int count = 0;
        JsonObject endpoints = capacityStatus(i).getAsJsonObject("endpoints");
        for (String name : endpoints.keySet()) {
            JsonObject report = endpoints.getAsJsonObject(name);
            count += !report.get("own").getAsBoolean() && report.get("age_ms").getAsLong() <= ageMs ? 1 : 0;
        }
        return count;
    }

    @Test
    void reportsReachAllSchedulersAndResumeAfterAPartition() throws Exception {
        startFleet();
        rig.await("scheduler 3 has reports of all endpoints without own requests", () -> {
            return postRequest(0) == 200 && peerReports(3, 2000) == 3;
        });
        assertTrue(rig.counter(3, "capacity.received") > 0);
        assertTrue(rig.counter(3, "members.datagram_most") <= 256, "longest datagram");
        assertEquals(0, rig.counter(3, "members.spoilt") + rig.counter(3, "capacity.spoilt"));
        // The gossip has added no endpoints to the three configured ones.
        assertEquals(
                3,
                capacityStatus(3)
                        .getAsJsonObject("zones")
                        .getAsJsonObject("z")
                        .get("endpoints")
                        .getAsInt());

        rig.partAll(List.of(0, 1));
        rig.await("no recent reports cross the partition", () -> {
            return postRequest(0) == 200 && peerReports(3, 1000) == 0 && peerReports(1, 1000) > 0;
        });
        assertEquals(200, postRequest(3));
        rig.heal();
        rig.await("recent reports cross again after the partition", () -> {
            return postRequest(0) == 200 && peerReports(3, 1000) > 0;
        });
    }

    @Test
    void restartedSchedulerLearnsReportsFromPeers() throws Exception {
        startFleet();
        rig.kill(3);
        rig.await("scheduler 0 has reports of all endpoints", () -> {
            return postRequest(0) == 200
                    && capacityStatus(0).getAsJsonObject("endpoints").size() == 3;
        });
        rig.start(3);
        rig.await(
                "the restarted scheduler has reports without own requests",
                () -> rig.fleet(3).get("live").getAsInt() == SCHEDULERS && peerReports(3, 60_000) == 3);
        assertEquals(1.0, capacityStatus(3).get("known_share").getAsDouble());
    }
}
