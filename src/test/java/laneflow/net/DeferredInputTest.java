package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DeferredInputTest {
    private static final int CONNECTIONS = 3;
    private static final byte[] MESSAGES = new byte[100];

    private final CountDownLatch served = new CountDownLatch(CONNECTIONS - 1);
    private boolean failed;

    /** Handles a message a byte, and fails once, in the first call for messages that had to wait. */
    private final class Handler implements LinkHandler {
        private int handled;

        @Override
        public void received(Link link) {
            if (handled > 0 && !failed) {
                failed = true;
                throw new IllegalStateException("one connection fails");
            }
            while (!link.in.isEmpty() && link.mayHandleNext()) {
                link.in.skip(1);
                handled++;
            }
            if (handled == MESSAGES.length) {
                served.countDown();
            }
        }

        @Override
        public void disconnected(Link link) {}
    }

    /** Guards against messages that wait for ever because those of another connection failed. */
    @Test
    void aConnectionThatFailsDoesNotKeepOthersWaiting() throws Exception {
        Loop loop = new Loop(200);
        Listener listener = loop.listen(new InetSocketAddress("127.0.0.1", 0), 2048, 2048, () -> false, Handler::new);
        listener.begin();
        Socket[] sockets = new Socket[CONNECTIONS];
        for (int i = 0; i < CONNECTIONS; i++) {
            sockets[i] = new Socket("127.0.0.1", listener.address().getPort());
        }
        // Amid one event, so that the messages of all connections are read, and wait, in the same turn.
        loop.call(() -> {
            try {
                for (Socket socket : sockets) {
                    socket.getOutputStream().write(MESSAGES);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(served.await(20, TimeUnit.SECONDS));
        for (Socket socket : sockets) {
            socket.close();
        }
        loop.stop();
    }
}
