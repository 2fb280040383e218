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
 * A UDP socket on the loop's thread. What can't be sent at once is dropped, as the network may do with any
 * datagram; what is longer than the longest that is taken is told with its full length and cut off.
 */
public final class Datagrams {
    private static final Logger LOG = LoggerFactory.getLogger(Datagrams.class);
    /** Taken in a row: a flood must not hold up all else. */
    private static final int MAX_PER_TURN = 64;

    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    /** Takes a datagram; the bytes are the taker's only until it returns. */
    public interface Receiver {
        /** @param length of the datagram, beyond the longest taken where it was cut off */
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
            // As where a port that was written to before is closed now: told once, of no use here.
            LOG.debug("receive", e);
        }
    }

    /** Sends one; false where it was dropped here. */
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
