package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.Options;

/**
 * TCP_NODELAY is set on accepted and opened connections: a small write that the kernel held back would be lost when
 * the connection is closed by a reset.
 */
@Timeout(60)
class NoDelayTest {
    private static final int RING = 2048;

    private final BlockingQueue<Link> opened = new LinkedBlockingQueue<>();

    private final class RecordingHandler implements LinkHandler {
        @Override
        public void opened(Link link) {
            opened.add(link);
        }

        @Override
        public void received(Link link) {
            // The test sends no data.
        }

        @Override
        public void disconnected(Link link) {
            // The test needs no notification.
        }
    }

    /** Checks both ends of a new connection: the accepted and the opened one. */
    private void assertNoDelay(Loop loop, InetSocketAddress address) throws Exception {
        loop.call(() -> loop.connect(address, RING, RING, new RecordingHandler()));
        for (int end = 0; end < 2; end++) {
            Link link = opened.poll(30, TimeUnit.SECONDS);
            assertEquals(true, link.connection().getOption(Options.TCP_NODELAY));
        }
    }

    @Test
    void noDelayIsSetOnAcceptedAndOpenedConnections() throws Exception {
        Loop loop = new Loop("test", 8, true);
        try (ServerSocketChannel passed = ServerSocketChannel.open()) {
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            Listener own = loop.listen(any, RING, RING, () -> false, RecordingHandler::new);
            own.begin();
            assertNoDelay(loop, own.address());
            passed.bind(any);
            loop.listenOn(passed, RING, RING, () -> false, RecordingHandler::new)
                    .begin();
            assertNoDelay(loop, (InetSocketAddress) passed.getLocalAddress());
        } finally {
            loop.stop();
        }
    }
}
