package laneflow.lab.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A stand-in discovery service. Each watch receives the complete list, then every later list, and an empty line
 * as a heartbeat after each second without one. The service can be stopped for a while: open watches are closed
 * and new ones are not accepted.
 */
public final class StandInDiscovery implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1000;

    private final int port;
    private final List<Socket> watches = new ArrayList<>();
    private ServerSocket server;
    private String list = "";
    private int sequence;

    /** Sends no list before the first call of {@link #publish}. */
    public StandInDiscovery(int port) throws IOException {
        this.port = port;
        startListening();
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    /** Accepts watches, also after {@link #stopListening}. */
    public synchronized void startListening() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
        ServerSocket listener = server;
        startThread(() -> accept(listener));
    }

    /** Closes all watches and accepts no new ones. */
    public synchronized void stopListening() throws IOException {
        server.close();
        for (Socket watch : watches) {
            watch.close();
        }
        watches.clear();
    }

    /** Sends a new complete list to all watches; each host is a JSON object. */
    public synchronized void publish(List<String> hosts) {
        list = "{\"seq\":" + ++sequence + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}\n";
        notifyAll();
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(null, work, "discovery", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket socket = listener.accept();
                synchronized (this) {
                    watches.add(socket);
                }
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return;
                }
                head.append((char) next);
            }
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            int sentSequence = 0;
            while (!socket.isClosed()) {
                String line = "\n";
                synchronized (this) {
                    if (sentSequence == sequence) {
                        wait(HEARTBEAT_MS);
                    }
                    if (sentSequence < sequence) {
                        line = list;
                        sentSequence = sequence;
                    }
                }
                out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The client closed the watch, or the service is stopped; the client reconnects.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        stopListening();
    }
}
