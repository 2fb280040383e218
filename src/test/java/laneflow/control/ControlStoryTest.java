package laneflow.control;

import static laneflow.control.ScriptedControlService.acceptStream;
import static laneflow.control.ScriptedControlService.errorDetail;
import static laneflow.control.ScriptedControlService.exchange;
import static laneflow.control.ScriptedControlService.receive;
import static laneflow.control.ScriptedControlService.receiveSubscriptions;
import static laneflow.control.ScriptedControlService.resource;
import static laneflow.control.ScriptedControlService.sendLine;
import static laneflow.control.ScriptedControlService.version;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Streamed versions of the destination set, against a scripted control service. */
@Timeout(300)
class ControlStoryTest {
    @TempDir
    private Path folder;

    private String control(Endpoint service, String extraSettings) {
        return "addresses = ['" + service.dial() + "']\nlongest_backoff_ms = 50\nfigures_ms = 0\nlast_good_dir = '"
                + folder + "'\n" + extraSettings;
    }

    private static void assertServes(SchedulerHarness harness, Endpoint endpoint, String id) throws Exception {
        try (Peer client = harness.http()) {
            client.post("basket-check", id, "", "");
            Peer call = endpoint.accept();
            assertTrue(call.message().contains("Req-Id: " + id + "\r\n"));
            call.respond("{'id':'" + id + "','state':'done','result':'priced'}");
            assertTrue(client.message().endsWith("priced"));
            // A kept-alive connection would carry the next request too, and the next accept would wait.
            call.close();
        }
    }

    @Test
    void versionsAreAcknowledgedOrRefusedWithEveryReason() throws Exception {
        Endpoint service = new Endpoint("control");
        Endpoint first = new Endpoint("e1");
        Endpoint second = new Endpoint("e2");
        Files.writeString(folder.resolve("token"), "s3cret\n");
        try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(
                        service,
                        "token_file = '" + folder.resolve("token") + "'\nallowed_endpoints = ['127.0.0.0/8']\n"));
                Peer http = harness.http()) {
            Peer peer = service.accept();
            assertTrue(peer.readTo("\r\n\r\n").contains("Authorization: Bearer s3cret\r\n"));
            peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            JsonObject subscription = receiveSubscriptions(peer);
            assertEquals("n3", subscription.getAsJsonObject("node").get("id").getAsString());
            assertEquals("", subscription.get("version_info").getAsString());
            JsonObject ack = exchange(peer, version("1-aa", "x1", resource(first)));
            assertEquals("1-aa", ack.get("version_info").getAsString());
            assertEquals("x1", ack.get("response_nonce").getAsString());
            assertFalse(ack.has("error_detail"));
            assertServes(harness, first, "1");
            // Schema errors and semantic errors are each reported with their path, and traffic goes on.
            String schemaErrors = errorDetail(exchange(
                    peer,
                    version(
                            "2-aa",
                            "x2",
                            "{'name':'a b','dial':'tills:80','zone':'x'}",
                            "{'name':'c','dial':'10.0.0.1:80','weight':-1,'colour':'red'}",
                            "7",
                            resource(first),
                            resource(first))));
            for (String finding : new String[] {
                "resources[0].name: \"a b\" - ",
                "resources[1].weight: -1 - -1 is less than 0",
                "resources[1].colour: is unknown",
                "resources[2]: 7 - ",
                "resources[4].name: 'e1' is resources[3]'s too"
            }) {
                assertTrue(schemaErrors.contains(finding), finding + "\n--- not in\n" + schemaErrors);
            }
            String semanticErrors = errorDetail(exchange(
                    peer,
                    version(
                            "2-ab",
                            "x2",
                            "{'name':'b','dial':'tills:80','zone':'x'}",
                            "{'name':'c','dial':'10.0.0.1:80','classes':['sweep']}",
                            resource(first))));
            for (String finding : new String[] {
                "resources[0].dial: 'tills:80' is not",
                "resources[0].zone: \"x\" is none of",
                "resources[1].dial: 10.0.0.1:80 is in none of the allowed",
                "resources[1].classes: \"sweep\" is none of"
            }) {
                assertTrue(semanticErrors.contains(finding), finding + "\n--- not in\n" + semanticErrors);
            }
            assertEquals(
                    "resources: no live endpoint runs class points-post",
                    errorDetail(exchange(
                            peer,
                            version(
                                    "2-ac",
                                    "x2",
                                    resource(first).replace("}", ",'classes':['basket-check','card-capture']}")))));
            JsonObject refusal =
                    exchange(peer, version("3-aa", "x3", resource(first).replace("}", ",'state':'draining'}")));
            assertEquals("resources: no live endpoint in zone celje-1", errorDetail(refusal));
            assertEquals("1-aa", refusal.get("version_info").getAsString());
            assertEquals("x3", refusal.get("response_nonce").getAsString());
            assertTrue(errorDetail(
                            exchange(peer, version("4-aa", "x4", resource(first).replace("}", ",'weight':0}"))))
                    .contains("all weights of live endpoints"));
            // A refused version gets the same answer again; a repeated one is acknowledged, an older one refused.
            assertEquals(
                    "resources: no live endpoint in zone celje-1",
                    errorDetail(exchange(peer, version("3-aa", "x5", resource(first)))));
            assertFalse(exchange(peer, version("1-aa", "x6", resource(first))).has("error_detail"));
            assertFalse(exchange(peer, version("9-bb", "x7", resource(second))).has("error_detail"));
            assertTrue(errorDetail(exchange(peer, version("8-cc", "x8", resource(first))))
                    .contains("9-bb runs, which is newer"));
            assertTrue(errorDetail(exchange(peer, version("seven", "x9", resource(first))))
                    .contains("is no version"));
            assertTrue(errorDetail(exchange(peer, "{'type_url':'other','nonce':'y'}"))
                    .contains("not taken here"));
            assertServes(harness, second, "2");
            String report = http.write("GET /config HTTP/1.1\r\n\r\n").message();
            assertTrue(
                    report.contains("\"version\":\"9-bb\"") && report.contains("no live endpoint")
                            || report.contains("all weights"),
                    report);
            assertFalse(report.contains("s3cret"));
            assertEquals(2, harness.counter("config.adopted"));
        }
    }

    @Test
    void lastGoodVersionRunsWithoutAControlService() throws Exception {
        Endpoint service = new Endpoint("control");
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service, "silence_ms = 300\n"))) {
            Peer peer = acceptStream(service);
            receiveSubscriptions(peer);
            exchange(peer, version("5-aa", "x", resource(endpoint)));
            for (int i = 0; i < 1000 && !Files.exists(folder.resolve("destinations.last-good")); i++) {
                Thread.sleep(5);
            }
            // The service goes silent: the scheduler opens a new stream and keeps running the version.
            assertTrue(peer.isClosedByPeer());
            Peer again = acceptStream(service);
            assertEquals("5-aa", receiveSubscriptions(again).get("version_info").getAsString());
            assertServes(harness, endpoint, "1");
            // The stream ends within a line; then five connections are closed at once.
            again.write("20\r\n{\"type_url\":");
            again.close();
            for (int i = 0; i < 5; i++) {
                service.accept().close();
            }
            assertServes(harness, endpoint, "2");
            Peer garbled = acceptStream(service);
            receiveSubscriptions(garbled);
            sendLine(garbled, "{'type_url':");
            assertTrue(garbled.isClosedByPeer());
            assertEquals(
                    "5-aa",
                    receiveSubscriptions(acceptStream(service))
                            .get("version_info")
                            .getAsString());
        }
        // Restarts while no control service is reachable.
        service.close();
        try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service, ""))) {
            assertServes(harness, endpoint, "3");
            assertTrue(harness.http()
                    .write("GET /config HTTP/1.1\r\n\r\n")
                    .message()
                    .contains("last-good"));
        }
    }

    @Test
    void versionWithFailuresIsTakenBackAndNotTriedAgain() throws Exception {
        Endpoint service = new Endpoint("control");
        Endpoint good = new Endpoint("e1");
        Endpoint dead = new Endpoint("e2");
        dead.close();
        try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service, "probation_ms = 1500\n"));
                Peer client = harness.http()) {
            Peer peer = acceptStream(service);
            receiveSubscriptions(peer);
            exchange(peer, version("1-aa", "x1", resource(good)));
            Thread responder = new Thread(() -> {
                try (Peer call = good.accept()) {
                    for (int i = 0; i < 120; i++) {
                        String sent = call.message();
                        int start = sent.indexOf("Req-Id: ") + 8;
                        call.respond("{'id':'" + sent.substring(start, sent.indexOf('\r', start))
                                + "','state':'done','result':'r'}");
                    }
                } catch (IOException e) {
                    // Adopting the set without this endpoint closes its connection.
                    return;
                }
            });
            responder.start();
            for (int i = 0; i < 100; i++) {
                client.post("basket-check", "a" + i, "", "");
                assertTrue(client.message().startsWith("HTTP/1.1 200 "));
            }
            assertFalse(exchange(peer, version("2-bb", "x2", resource(dead))).has("error_detail"));
            int refused = 0;
            for (int i = 0; i < 100; i++) {
                client.post("basket-check", "b" + i, "", "");
                refused += client.message().startsWith("HTTP/1.1 503 ") ? 1 : 0;
            }
            assertTrue(refused > 50, refused + " refused");
            JsonObject takenBack = receive(peer);
            assertEquals("1-aa", takenBack.get("version_info").getAsString());
            assertTrue(errorDetail(takenBack).contains("2-bb was taken back: "), errorDetail(takenBack));
            assertTrue(errorDetail(exchange(peer, version("2-bb", "x3", resource(dead))))
                    .contains("went from"));
            harness.awaitCounter("config.taken_back", 1);
        }
    }

    @Test
    void versionIsAdoptedOnceItsRolloutIncludesThisScheduler() throws Exception {
        Endpoint service = new Endpoint("control");
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service, ""))) {
            Peer peer = acceptStream(service);
            receiveSubscriptions(peer);
            String offered = version("1-aa", "x1", resource(endpoint));
            String held = offered.replace("'resources'", "'rollout':{'share':0.0,'seed':5},'resources'");
            assertTrue(errorDetail(exchange(peer, held)).contains("held back: n3 stands at 0."));
            assertFalse(exchange(peer, held.replace("0.0", "1.0")).has("error_detail"));
        }
    }

    /** Guards against files that a scheduler which has ended still writes: the next one may read them, or their folder is gone. */
    @Test
    void nothingIsWrittenOnceTheSchedulerHasEnded() throws Exception {
        for (int round = 0; round < 20; round++) {
            Endpoint service = new Endpoint("control");
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service, ""))) {
                Peer peer = acceptStream(service);
                receiveSubscriptions(peer);
                exchange(peer, version("1-aa", "x1", resource(endpoint)));
            }
            Set<String> left = folderContent();
            Thread.sleep(30);
            assertEquals(left, folderContent(), "round " + round);
            service.close();
            endpoint.close();
            for (String file : left) {
                Files.delete(folder.resolve(file.substring(0, file.indexOf(' '))));
            }
        }
    }

    /** Names and sizes of the files that schedulers have written. */
    private Set<String> folderContent() throws IOException {
        Set<String> content = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                content.add(file.getFileName() + " " + Files.size(file));
            }
        }
        return content;
    }
}
