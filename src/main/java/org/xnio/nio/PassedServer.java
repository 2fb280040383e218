package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Lets XNIO own a listening socket that was opened by somebody else. Its public calls open and bind one of
 * their own, always; the two classes that take one as it is are this package's, hence the place of this file.
 * What is accepted there is a connection like all others, with its streams and conduits.
 */
public final class PassedServer {
    private PassedServer() {}

    /** A server on that channel, suspended at first; the listener hears of each connection. */
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
