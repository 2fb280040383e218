package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import laneflow.net.Stand.Endpoint;
import laneflow.net.Stand.Peer;

/** The words of a scripted control service. */
final class Service {
    private Service() {}

    /** Takes a stream in: its head, then an answer that goes on. */
    static Peer stream(Endpoint service) throws IOException {
        Peer peer = service.accept();
        assertTrue(peer.readTo("\r\n\r\n").startsWith("POST /v3/discovery:stream HTTP/1.1\r\n"));
        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        return peer;
    }

    static JsonObject word(Peer peer) throws IOException {
        int size = Integer.parseInt(peer.readTo("\r\n").strip(), 16);
        String text = new String(peer.read(size + 2));
        return JsonParser.parseString(text).getAsJsonObject();
    }

    static void say(Peer peer, String text) throws IOException {
        String line = text.replace('\'', '"') + "\n";
        peer.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }

    static String version(String version, String nonce, String... resources) {
        return "{'type_url':'" + DestinationType.URL + "','version_info':'" + version + "','nonce':'" + nonce
                + "','resources':[" + String.join(",", resources) + "]}";
    }

    /** A whole state of another type. */
    static String state(String type, String version, String... resources) {
        return version(version, version, resources).replace(DestinationType.URL, "type.laneflow/" + type);
    }

    static String resource(Endpoint endpoint) {
        return "{'name':'" + endpoint.name + "','dial':'" + endpoint.dial() + "','zone':'celje-1'}";
    }

    static String detail(JsonObject word) {
        return word.getAsJsonObject("error_detail").get("message").getAsString();
    }

    /** What each type begins a stream with; the word on destinations. */
    static JsonObject begun(Peer peer) throws IOException {
        return begun(peer, "classes", "limits");
    }

    /** The same with these types behind destinations. */
    static JsonObject begun(Peer peer, String... types) throws IOException {
        JsonObject destinations = word(peer);
        for (String type : types) {
            assertEquals("type.laneflow/" + type, word(peer).get("type_url").getAsString());
        }
        assertEquals(DestinationType.URL, destinations.get("type_url").getAsString());
        return destinations;
    }

    static JsonObject ask(Peer peer, String line) throws IOException {
        say(peer, line);
        return word(peer);
    }
}
