package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
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

    /** Takes as many steps as it may in each turn, and tells whether it was put behind all others in one of them. */
    private static final class GreedyHandler implements LinkHandler {
        /** Turns of less than a millisecond, in some of which the process may have no processor. */
        private static final int TURNS = 100;

        private final CompletableFuture<Boolean> excessive = new CompletableFuture<>();
        private int turns;

        @Override
        public void received(Link link) {
            while (link.mayContinue()) {
                Thread.onSpinWait();
            }
            if (link.isExcessive() || ++turns == TURNS) {
                link.in.skip(link.in.size());
                excessive.complete(link.isExcessive());
            }
        }

        @Override
        public void disconnected(Link link) {}
    }

    /** Guards against changes told by discovery that wait behind floods of clients. */
    @Test
    void onlyAcceptedConnectionsAreServedBehindAllOthers() throws Exception {
        Loop loop = new Loop(200);
        GreedyHandler accepted = new GreedyHandler();
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        Listener listener = loop.listen(any, 2048, 2048, () -> false, () -> accepted);
        listener.begin();
        GreedyHandler outgoing = new GreedyHandler();
        try (ServerSocket server = new ServerSocket(0);
                Socket client = new Socket("127.0.0.1", listener.address().getPort())) {
            loop.call(() ->
                    loop.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), 2048, 2048, outgoing));
            Socket peer = server.accept();
            client.getOutputStream().write('x');
            peer.getOutputStream().write('x');
            assertTrue(accepted.excessive.get(20, TimeUnit.SECONDS));
            assertFalse(outgoing.excessive.get(20, TimeUnit.SECONDS));
            peer.close();
        }
        loop.stop();
    }
}
