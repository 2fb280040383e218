package laneflow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * A UDP socket on the loop's thread. A datagram that can't be sent at once is dropped, as the network may drop any.
 * A received datagram beyond the maximum length is truncated to one byte more than the maximum, so that the receiver
 * can tell from its length.
 */
public final class Datagrams {
    private static final Logger LOG = LoggerFactory.getLogger(Datagrams.class);
    /** Datagrams received per loop turn, so that a flood does not starve other events. */
    private static final int MAX_PER_TURN = 64;

    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    /** Receives datagrams. The byte array is reused after {@code receive} returns. */
    public interface Receiver {
        /** @param length bytes received; greater than the maximum length if the datagram was truncated */
        void receive(InetSocketAddress from, byte[] bytes, int length);
    }

    private final Loop loop;
    private final Receiver receiver;
    private final byte[] bytes;
    private final ByteBuffer buffer;
    private final SocketAddressBuffer source = new SocketAddressBuffer();
    private final MulticastMessageChannel channel;

    Datagrams(Loop loop, XnioWorker worker, InetSocketAddress address, int maxBytes, Receiver receiver)
            throws IOException {
        this.loop = loop;
        this.receiver = receiver;
        bytes = new byte[maxBytes + 1];
        buffer = ByteBuffer.wrap(bytes);
        channel = worker.createUdpServer(address, OptionMap.create(Options.RECEIVE_BUFFER, RECEIVE_BUFFER_BYTES));
        channel.getReadSetter().set(ready -> loop.turn(this::receive));
        channel.resumeReads();
    }

    private void receive() {
        try {
            for (int i = 0; i < MAX_PER_TURN && channel.isOpen(); i++) {
                buffer.clear();
                int length = channel.receiveFrom(source, buffer);
                if (length <= 0 && source.getSourceAddress() == null) {
                    return;
                }
                InetSocketAddress sender = source.getSourceAddress(InetSocketAddress.class);
                source.clear();
                if (length > 0 && sender != null) {
                    receiver.receive(sender, bytes, buffer.position());
                } else if (length <= 0) {
                    return;
                }
            }
        } catch (IOException e) {
            // Typically the ICMP error of an earlier send to a closed port, reported once; the sender can't use it.
            LOG.debug("receive", e);
        }
    }

    /** Sends a datagram; returns false if it was dropped because the socket could not take it at once. */
    public boolean send(InetSocketAddress to, byte[] datagram) {
        try {
            return channel.sendTo(to, ByteBuffer.wrap(datagram));
        } catch (IOException e) {
            LOG.debug("send", e);
            return false;
        }
    }

    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    public void close() {
        IoUtils.safeClose(channel);
    }
}
