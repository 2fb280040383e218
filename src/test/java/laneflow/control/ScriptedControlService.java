package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;

/** The control service's end of a stream: builds its messages and exchanges them with the scheduler. */
final class ScriptedControlService {
    private ScriptedControlService() {}

    /** Accepts a stream: reads the request head and begins a chunked response. */
    static Peer acceptStream(Endpoint service) throws IOException {
        Peer peer = service.accept();
        assertTrue(peer.readTo("\r\n\r\n").startsWith("POST /v3/discovery:stream HTTP/1.1\r\n"));
        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        return peer;
    }

    static JsonObject receive(Peer peer) throws IOException {
        int size = Integer.parseInt(peer.readTo("\r\n").strip(), 16);
        String text = new String(peer.read(size + 2));
        return JsonParser.parseString(text).getAsJsonObject();
    }

    static void sendLine(Peer peer, String text) throws IOException {
        String line = text.replace('\'', '"') + "\n";
        peer.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    static String version(String version, String nonce, String... resources) {
        return "{'type_url':'" + DestinationType.URL + "','version_info':'" + version + "','nonce':'" + nonce
                + "','resources':[" + String.join(",", resources) + "]}";
    }

    /** A full state of the given resource type. */
    static String state(String type, String version, String... resources) {
        return version(version, version, resources).replace(DestinationType.URL, "type.laneflow/" + type);
    }

    static String resource(Endpoint endpoint) {
        return "{'name':'" + endpoint.name + "','dial':'" + endpoint.dial() + "','zone':'celje-1'}";
    }

    static String errorDetail(JsonObject message) {
        return message.getAsJsonObject("error_detail").get("message").getAsString();
    }

    /** Receives the initial subscription of each type and returns the one for destinations. */
    static JsonObject receiveSubscriptions(Peer peer) throws IOException {
        return receiveSubscriptions(peer, "classes", "limits");
    }

    /** Receives the initial subscriptions of destinations and of the given types, in this order. */
    static JsonObject receiveSubscriptions(Peer peer, String... types) throws IOException {
        JsonObject destinations = receive(peer);
        for (String type : types) {
            assertEquals("type.laneflow/" + type, receive(peer).get("type_url").getAsString());
        }
        assertEquals(DestinationType.URL, destinations.get("type_url").getAsString());
        return destinations;
    }

    static JsonObject exchange(Peer peer, String line) throws IOException {
        sendLine(peer, line);
        return receive(peer);
    }
}
