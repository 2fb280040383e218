package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Listening sockets beyond XNIO's public calls. Lets XNIO own one that was opened by somebody else: its
 * public calls open and bind one of their own, always. The two classes that take one as it is are this
 * package's, hence the place of this file. What is accepted there is a connection like all others, with its
 * streams and conduits.
 */
public final class PassedServer {
    private PassedServer() {
    }

    /** A server on that channel, suspended at first; the listener hears of each connection. */
    public static AcceptingChannel<StreamConnection> on(XnioWorker worker, ServerSocketChannel channel,
            ChannelListener<? super AcceptingChannel<StreamConnection>> listener, OptionMap options)
            throws IOException {
        channel.configureBlocking(false);
        QueuedNioTcpServer2 server = new QueuedNioTcpServer2(
                new NioTcpServer((NioXnioWorker) worker, channel, options, true));
        server.setAcceptListener(listener);
        return server;
    }

    /** Runs a call on the worker's accepting thread, behind its next look at its listening sockets. */
    public static void afterAccepting(XnioWorker worker, Runnable call) {
        WorkerThread thread = ((NioXnioWorker) worker).getAcceptThread();
        // A task that is set for later by a task runs behind the thread's next selection, never before it.
        thread.execute(() -> thread.executeAfter(call, 1, TimeUnit.MILLISECONDS));
    }
}
