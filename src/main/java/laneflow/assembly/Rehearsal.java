package laneflow.assembly;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import laneflow.http.Config;
import laneflow.wire.WireException;

/**
 * A short run of the scheduler by itself, for the build: the classes that it loads are archived. Loading them
 * anew takes half of a start's time, and a restart keeps clients waiting for so long.
 */
public final class Rehearsal {
    /** Nobody listens where it looks for discovery and for its one endpoint. */
    private static final String CONFIG = "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
            + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"127.0.0.1:1\"}]},"
            + "\"settings\":{\"areas\":[\"a\"],\"classes\":[{\"name\":\"c\",\"semantics\":\"pure\"}],"
            + "\"limits\":{\"retryAfter\":true}}}";

    private static final String REQUEST = "POST /c?key=1f HTTP/1.1\r\nHost: h\r\nReq-Id: 1\r\nReq-Kind: c\r\n"
            + "Req-Deadline-Ms: 500\r\nReq-Cost: 10\r\nReq-Extra: slots=1\r\nContent-Length: 0\r\n\r\n";

    private Rehearsal() {}

    /** Starts, refuses one request, and ends. */
    public static void run() throws IOException, WireException, InterruptedException {
        Serve serve = new Serve(new Setup(Config.parse(CONFIG), null, null, null));
        HangupSignal.handle(() -> {});
        InetSocketAddress at = serve.front().address();
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[1024];
            int got = client.getInputStream().read(answer);
            String text = new String(answer, 0, Math.max(0, got), StandardCharsets.US_ASCII);
            if (!text.startsWith("HTTP/1.1 503 ")) {
                throw new IOException("the rehearsal was answered '" + text + "'");
            }
        }
        serve.stop();
    }
}
