package laneflow.assembly;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import laneflow.http.Config;
import laneflow.wire.WireException;

/**
 * A training run of the scheduler for the build, which archives the classes that it loads (class data sharing).
 * Without the archive, loading classes takes half of a start's time, for which a restart keeps clients waiting.
 */
public final class ServeTrainingRun {
    /** Nothing listens at the addresses of discovery and of the one endpoint. */
    private static final String CONFIG = "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
            + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"127.0.0.1:1\"}]},"
            + "\"settings\":{\"areas\":[\"a\"],\"classes\":[{\"name\":\"c\",\"semantics\":\"pure\"}],"
            + "\"limits\":{\"retryAfter\":true}}}";

    private static final String REQUEST = "POST /c?key=1f HTTP/1.1\r\nHost: h\r\nReq-Id: 1\r\nReq-Kind: c\r\n"
            + "Req-Deadline-Ms: 500\r\nReq-Cost: 10\r\nReq-Extra: slots=1\r\nContent-Length: 0\r\n\r\n";

    private ServeTrainingRun() {}

    /** Starts a scheduler, has it refuse one request, and stops it. */
    public static void run() throws IOException, WireException, InterruptedException {
        Serve serve = new Serve(new Setup(Config.parse(CONFIG), null, null, null));
        HangupSignal.handle(() -> {});
        InetSocketAddress address = serve.front().address();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            byte[] buffer = new byte[1024];
            int bytesRead = client.getInputStream().read(buffer);
            String text = new String(buffer, 0, Math.max(0, bytesRead), StandardCharsets.US_ASCII);
            if (!text.startsWith("HTTP/1.1 503 ")) {
                throw new IOException("the training run expected status 503 and got '" + text + "'");
            }
        }
        serve.stop();
    }
}
