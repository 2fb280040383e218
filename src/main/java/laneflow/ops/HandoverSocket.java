package laneflow.ops;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import laneflow.net.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Unix domain socket through which the processes of one scheduler find each other, in a folder that they share.
 * XNIO does not support Unix sockets, so each connection uses blocking I/O on its own threads, and events are passed to
 * the loop's executor. Socket files left by processes that have ended are removed.
 */
final class HandoverSocket {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverSocket.class);
    private static final int MAX_LINE_BYTES = 1024;

    private final Path path;
    private final Consumer<Runnable> loopExecutor;
    private ServerSocketChannel server;
    /** File key of the socket file that this process has bound; another process may have replaced the file since. */
    private Object boundFileKey;

    /** @param loopExecutor runs tasks on the thread that owns the handover */
    HandoverSocket(Path folder, Consumer<Runnable> loopExecutor) {
        path = folder.resolve("laneflow-handover");
        this.loopExecutor = loopExecutor;
    }

    /** Connects to the process that has bound the socket; returns null if there is none. */
    SocketConnection connect() {
        if (!Files.exists(path)) {
            return null;
        }
        try {
            return new SocketConnection(SocketChannel.open(UnixDomainSocketAddress.of(path)));
        } catch (IOException | RuntimeException e) {
            LOG.info("no other process at {}: {}", path, e.toString());
            return null;
        }
    }

    /** Connects on another thread if the socket file belongs to another process; passes null if it does not. */
    void findOther(Consumer<SocketConnection> callback) {
        Object ownFileKey = server == null ? null : boundFileKey;
        Threads.daemon(
                        () -> {
                            Object currentFileKey = fileKey();
                            SocketConnection other =
                                    currentFileKey == null || currentFileKey.equals(ownFileKey) ? null : connect();
                            loopExecutor.accept(() -> callback.accept(other));
                        },
                        "handover-seek")
                .start();
    }

    /** True if the socket file is the one that this process has bound. */
    boolean isBound() {
        return server != null && boundFileKey != null && boundFileKey.equals(fileKey());
    }

    private Object fileKey() {
        try {
            return Files.readAttributes(path, BasicFileAttributes.class).fileKey();
        } catch (IOException e) {
            return null;
        }
    }

    /** Binds the socket, so that later processes connect to this one, in place of any other. */
    void bind(Consumer<SocketConnection> onConnection) {
        close();
        try {
            Files.deleteIfExists(path);
            ServerSocketChannel opened = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            server = opened;
            opened.bind(UnixDomainSocketAddress.of(path));
            boundFileKey = fileKey();
            Threads.daemon(() -> accept(opened, onConnection), "handover").start();
        } catch (IOException | RuntimeException e) {
            LOG.warn("a later process can't take over from this one, {} can't be bound: {}", path, e.toString());
        }
    }

    private void accept(ServerSocketChannel serverChannel, Consumer<SocketConnection> onConnection) {
        try {
            while (true) {
                SocketConnection connection = new SocketConnection(serverChannel.accept());
                loopExecutor.accept(() -> onConnection.accept(connection));
            }
        } catch (IOException e) {
            LOG.debug("handover: {}", e.toString());
        }
    }

    /** Stops listening. */
    void close() {
        if (server != null) {
            try {
                server.close();
            } catch (IOException e) {
                LOG.debug("handover: {}", e.toString());
            }
            server = null;
        }
    }

    /** A connection to another process. */
    final class SocketConnection implements Handover.Connection {
        private final SocketChannel channel;
        private final ExecutorService writer = Threads.serialExecutor("handover-write");

        private SocketConnection(SocketChannel channel) {
            this.channel = channel;
        }

        /** Starts reading; lines and, once, the end of the connection are passed to the loop. */
        void read(BiConsumer<SocketConnection, String> onLine, Consumer<SocketConnection> onEnd) {
            Threads.daemon(
                            () -> {
                                try {
                                    StringBuilder received = new StringBuilder();
                                    ByteBuffer buffer = ByteBuffer.allocate(MAX_LINE_BYTES);
                                    while (channel.read(buffer) >= 0 && received.length() <= MAX_LINE_BYTES) {
                                        received.append(StandardCharsets.UTF_8.decode(buffer.flip()));
                                        buffer.clear();
                                        for (int newline = received.indexOf("\n");
                                                newline >= 0;
                                                newline = received.indexOf("\n")) {
                                            String message = received.substring(0, newline);
                                            received.delete(0, newline + 1);
                                            loopExecutor.accept(() -> onLine.accept(this, message));
                                        }
                                    }
                                } catch (IOException e) {
                                    LOG.debug("handover: {}", e.toString());
                                }
                                close();
                                loopExecutor.accept(() -> onEnd.accept(this));
                            },
                            "handover-read")
                    .start();
        }

        @Override
        public void send(String line) {
            if (writer.isShutdown()) {
                return;
            }
            writer.execute(() -> {
                try {
                    Channels.newOutputStream(channel).write((line + "\n").getBytes(StandardCharsets.UTF_8));
                } catch (IOException e) {
                    LOG.debug("handover: {}", e.toString());
                }
            });
        }

        /** Closes after pending writes, for which another thread waits: a peer that does not read blocks only that. */
        @Override
        public void close() {
            writer.shutdown();
            Threads.daemon(
                            () -> {
                                try {
                                    writer.awaitTermination(1, TimeUnit.SECONDS);
                                    channel.close();
                                } catch (IOException | InterruptedException e) {
                                    LOG.debug("handover: {}", e.toString());
                                }
                            },
                            "handover-close")
                    .start();
        }
    }
}
