package laneflow.transcripts;

import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Streamed configuration: each version with its response. */
@Timeout(120)
class ControlTranscriptsTest {
    private static final String DESTINATIONS = "type.laneflow/destinations";
    private static final int STREAMED_TYPES = 3;

    @TempDir
    private Path folder;

    private String control(Endpoint service) throws Exception {
        return "addresses = ['" + service.dial() + "']\nlongest_backoff_ms = 50\nfigures_ms = 0\nlast_good_dir = '"
                + Files.createTempDirectory(folder, "good") + "'\nallowed_endpoints = ['127.0.0.0/8']\n";
    }

    /** Accepts a stream and records the initial subscription of each type, in the fixed order in which they are sent. */
    private static RecordedPeer stream(Transcript transcript, String name, Endpoint service) throws Exception {
        RecordedPeer peer = new RecordedPeer(transcript, name, service.accept());
        peer.head();
        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < STREAMED_TYPES; i++) {
            peer.chunk();
        }
        return peer;
    }

    private static void offerDestinations(RecordedPeer peer, String version, String nonce, String... resources)
            throws Exception {
        offer(peer, DESTINATIONS, version, nonce, resources);
    }

    private static void offer(RecordedPeer peer, String type, String version, String nonce, String... resources)
            throws Exception {
        String line = ("{'type_url':'" + type + "','version_info':'" + version + "','nonce':'" + nonce
                        + "','resources':[" + String.join(",", resources) + "]}\n")
                .replace('\'', '"');
        peer.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
        peer.chunk();
    }

    private static String resource(Endpoint endpoint) {
        return "{'name':'" + endpoint.name + "','dial':'" + endpoint.dial() + "','zone':'celje-1'}";
    }

    @Test
    void acknowledgedAndTurnedDown() throws Exception {
        Transcript.of(
                "Versions of the destination set: one acknowledged, others turned down with every reason.",
                transcript -> {
                    Endpoint service = new Endpoint("control");
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service));
                            RecordedPeer client = new RecordedPeer(transcript, "client", harness.http())) {
                        RecordedPeer peer = stream(transcript, "control", service);
                        offerDestinations(peer, "1-aa", "x1", resource(endpoint));
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                        call.message();
                        call.reply("{'id':'1','state':'done','result':'paid'}");
                        client.message();
                        offerDestinations(
                                peer,
                                "2-aa",
                                "x2",
                                "{'name':'a b','dial':'tills:80','zone':'x'}",
                                "{'name':'c','weight':-1,'colour':'red'}",
                                "7",
                                resource(endpoint),
                                resource(endpoint));
                        offerDestinations(
                                peer,
                                "2-ab",
                                "x3",
                                "{'name':'b','dial':'tills:80','zone':'x'}",
                                "{'name':'c','dial':'10.0.0.1:80','classes':['sweep']}",
                                resource(endpoint));
                        offerDestinations(peer, "3-aa", "x4", resource(endpoint).replace("}", ",'state':'draining'}"));
                        offerDestinations(peer, "seven", "x5", resource(endpoint));
                        transcript.note("adopted: " + harness.counter("config.adopted"));
                    }
                });
    }

    @Test
    void olderRepeatedAndOther() throws Exception {
        Transcript.of("Versions that are older, repeated, or of a type that is not accepted.", transcript -> {
            Endpoint service = new Endpoint("control");
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service))) {
                RecordedPeer peer = stream(transcript, "control", service);
                offerDestinations(peer, "9-bb", "x1", resource(endpoint));
                offerDestinations(peer, "9-bb", "x2", resource(endpoint));
                offerDestinations(peer, "8-cc", "x3", resource(endpoint));
                offer(peer, "type.laneflow/colours", "1-aa", "x4");
            }
        });
    }

    @Test
    void brokenStream() throws Exception {
        Transcript.of(
                "A line that is no JSON ends the stream; the next one starts from the running version.", transcript -> {
                    Endpoint service = new Endpoint("control");
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = SchedulerHarness.withControlStream(control(service))) {
                        RecordedPeer peer = stream(transcript, "control", service);
                        offerDestinations(peer, "5-aa", "x1", resource(endpoint));
                        peer.write("e\r\n{\"type_url\":}\n\r\n");
                        peer.expectEnd();
                        stream(transcript, "control, 2nd stream", service);
                    }
                });
    }
}
