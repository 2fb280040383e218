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
 * Where the processes of one scheduler find each other: a Unix domain socket in the folder that they share.
 * XNIO has none, so each connection is read and written, blocking, on threads of its own, and what comes in
 * is handed on through the caller's executor. Leftovers of processes that are gone are removed.
 */
final class HandoverSocket {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverSocket.class);
    private static final int MOST_LINE = 1024;

    private final Path place;
    private final Consumer<Runnable> loop;
    private ServerSocketChannel server;
    /** What the place held when it was taken: another process may have taken it since. */
    private Object taken;

    /** @param loop runs what it is given on the thread that owns the handover */
    HandoverSocket(Path folder, Consumer<Runnable> loop) {
        place = folder.resolve("laneflow-handover");
        this.loop = loop;
    }

    /** A way to the process that is there, or null. */
    SocketPipe connect() {
        if (!Files.exists(place)) {
            return null;
        }
        try {
            return new SocketPipe(SocketChannel.open(UnixDomainSocketAddress.of(place)));
        } catch (IOException | RuntimeException e) {
            LOG.info("nobody is met at {}: {}", place, e.toString());
            return null;
        }
    }

    /** Looks, off the loop, whether another process has the place, and tells; null: nobody. */
    void seek(Consumer<SocketPipe> then) {
        Object own = server == null ? null : taken;
        Threads.daemon(
                        () -> {
                            Object there = key();
                            SocketPipe found = there == null || there.equals(own) ? null : connect();
                            loop.accept(() -> then.accept(found));
                        },
                        "handover-seek")
                .start();
    }

    /** True if starts to come find this process. */
    boolean isSettled() {
        return server != null && taken != null && taken.equals(key());
    }

    private Object key() {
        try {
            return Files.readAttributes(place, BasicFileAttributes.class).fileKey();
        } catch (IOException e) {
            return null;
        }
    }

    /** From now on starts to come find this process; each is told of. */
    void settle(Consumer<SocketPipe> come) {
        close();
        try {
            Files.deleteIfExists(place);
            ServerSocketChannel opened = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
            server = opened;
            opened.bind(UnixDomainSocketAddress.of(place));
            taken = key();
            Threads.daemon(() -> accept(opened, come), "handover").start();
        } catch (IOException | RuntimeException e) {
            LOG.warn("an upgrade will not find this process, {} can't be used: {}", place, e.toString());
        }
    }

    private void accept(ServerSocketChannel at, Consumer<SocketPipe> come) {
        try {
            while (true) {
                SocketPipe pipe = new SocketPipe(at.accept());
                loop.accept(() -> come.accept(pipe));
            }
        } catch (IOException e) {
            LOG.debug("handover: {}", e.toString());
        }
    }

    /** Nobody finds this process any more. */
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

    /** One connection to another process. */
    final class SocketPipe implements Handover.Pipe {
        private final SocketChannel channel;
        private final ExecutorService writer = Threads.serialExecutor("handover-write");

        private SocketPipe(SocketChannel channel) {
            this.channel = channel;
        }

        /** Begins to read; lines and, once, the end are told on the loop. */
        void read(BiConsumer<SocketPipe, String> line, Consumer<SocketPipe> end) {
            Threads.daemon(
                            () -> {
                                try {
                                    StringBuilder text = new StringBuilder();
                                    ByteBuffer bytes = ByteBuffer.allocate(MOST_LINE);
                                    while (channel.read(bytes) >= 0 && text.length() <= MOST_LINE) {
                                        text.append(StandardCharsets.UTF_8.decode(bytes.flip()));
                                        bytes.clear();
                                        for (int at = text.indexOf("\n"); at >= 0; at = text.indexOf("\n")) {
                                            String whole = text.substring(0, at);
                                            text.delete(0, at + 1);
                                            loop.accept(() -> line.accept(this, whole));
                                        }
                                    }
                                } catch (IOException e) {
                                    LOG.debug("handover: {}", e.toString());
                                }
                                close();
                                loop.accept(() -> end.accept(this));
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

        /** Behind what was sent; one who reads nothing holds up nobody but this connection's threads. */
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
