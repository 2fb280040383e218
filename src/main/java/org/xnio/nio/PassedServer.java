package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Wraps an already open listening socket in an XNIO server. XNIO's public API always opens and binds a socket of its
 * own; the two classes that accept an existing one are package-private, hence this package. Accepted connections are
 * ordinary XNIO stream connections.
 */
public final class PassedServer {
    private PassedServer() {}

    /** Creates a server on an open channel, with accepts suspended; the listener is notified of new connections. */
    public static AcceptingChannel<StreamConnection> wrap(
            XnioWorker worker,
            ServerSocketChannel channel,
            ChannelListener<? super AcceptingChannel<StreamConnection>> listener,
            OptionMap options)
            throws IOException {
        channel.configureBlocking(false);
        QueuedNioTcpServer2 server =
                new QueuedNioTcpServer2(new NioTcpServer((NioXnioWorker) worker, channel, options, true));
        server.setAcceptListener(listener);
        return server;
    }
}
