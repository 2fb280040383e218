package laneflow.membership.decision;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import laneflow.membership.decision.MemberMetadata.Condition;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.Claim;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.Update.Payload;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages as a sequence of MessagePack values. Sizes are upper bounds computed without encoding, so that
 * updates can be chosen by size. {@link Seal} adds the version, key and message authentication code.
 */
public final class MessageCodec implements Swim.MessageSizes {
    private static final int MEMBER_RECORD = 1;
    private static final int CLAIM = 2;
    private static final int PAYLOAD = 3;
    private static final int LONG_BYTES = 9;
    private static final int INT_BYTES = 5;
    private static final int BINARY_HEADER_BYTES = 2;
    private static final int PORT_BYTES = 3;
    private static final int SMALL_VALUE_BYTES = 1;
    private static final int FIXSTR_LIMIT = 32;
    private static final int BUCKET_BYTES = View.BUCKET_COUNT * Integer.BYTES + BINARY_HEADER_BYTES;
    private static final int HEADER_BYTES = SMALL_VALUE_BYTES + LONG_BYTES + INT_BYTES + INT_BYTES + LONG_BYTES;
    private static final int CLAIM_BYTES = SMALL_VALUE_BYTES + LONG_BYTES + INT_BYTES + SMALL_VALUE_BYTES + LONG_BYTES;
    /** Bytes that a {@link Payload} takes in addition to its content. */
    static final int PAYLOAD_HEADER_BYTES = SMALL_VALUE_BYTES + BINARY_HEADER_BYTES;

    private static final int MAX_UPDATES = 32;
    private static final int CONDITION_COUNT = Condition.values().length;
    private static final int STEP_BITS = 5;

    private final int maxContentBytes;

    /** @param maxContentBytes limit on the content of a datagram */
    public MessageCodec(int maxContentBytes) {
        this.maxContentBytes = maxContentBytes;
    }

    @Override
    public int maxUpdateBytes(Kind kind) {
        return maxContentBytes - HEADER_BYTES - (kind == Kind.SYNC ? BUCKET_BYTES : 0);
    }

    @Override
    public int applyAsInt(Update update) {
        if (update instanceof MemberRecord memberRecord) {
            MemberMetadata metadata = memberRecord.metadata();
            return SMALL_VALUE_BYTES
                    + textSize(memberRecord.instance().name())
                    + LONG_BYTES
                    + addressSize(memberRecord.instance().address())
                    + INT_BYTES
                    + SMALL_VALUE_BYTES
                    + textSize(metadata.zone())
                    + textSize(metadata.build())
                    + addressSize(metadata.link())
                    + LONG_BYTES
                    + INT_BYTES;
        }
        return update instanceof Payload payload ? PAYLOAD_HEADER_BYTES + payload.bytes().length : CLAIM_BYTES;
    }

    /** Upper bound of the encoded size of a message. */
    public int maxSize(Message message) {
        int size = HEADER_BYTES + (message.bucketDigests() == null ? 0 : BUCKET_BYTES);
        for (Update update : message.updates()) {
            size += applyAsInt(update);
        }
        return size;
    }

    private static int textSize(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return bytes + (bytes < FIXSTR_LIMIT ? SMALL_VALUE_BYTES : BINARY_HEADER_BYTES);
    }

    private static int addressSize(InetSocketAddress address) {
        return address == null
                ? SMALL_VALUE_BYTES
                : BINARY_HEADER_BYTES + address.getAddress().getAddress().length + PORT_BYTES;
    }

    /** Encodes a message. */
    public byte[] write(Message message) {
        try (MessageBufferPacker to = MessagePack.newDefaultBufferPacker()) {
            to.packInt(message.kind().ordinal());
            to.packLong(message.senderId());
            to.packInt(message.digest());
            to.packInt(message.seq());
            to.packLong(message.target());
            if (message.bucketDigests() != null) {
                to.packBinaryHeader(message.bucketDigests().length * Integer.BYTES);
                for (int bucket : message.bucketDigests()) {
                    to.addPayload(new byte[] {
                        (byte) (bucket >> 24), (byte) (bucket >> 16), (byte) (bucket >> 8), (byte) bucket
                    });
                }
            }
            for (Update update : message.updates()) {
                writeUpdate(update, to);
            }
            return to.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("encoding to memory failed", e);
        }
    }

    private static void writeUpdate(Update update, MessageBufferPacker to) throws IOException {
        if (update instanceof Claim claim) {
            to.packInt(CLAIM)
                    .packLong(claim.instanceId())
                    .packInt(claim.incarnation())
                    .packInt(claim.state().ordinal())
                    .packLong(claim.accuserId());
            return;
        }
        if (update instanceof Payload payload) {
            to.packInt(PAYLOAD).packBinaryHeader(payload.bytes().length).addPayload(payload.bytes());
            return;
        }
        MemberRecord memberRecord = (MemberRecord) update;
        MemberMetadata metadata = memberRecord.metadata();
        to.packInt(MEMBER_RECORD)
                .packString(memberRecord.instance().name())
                .packLong(memberRecord.instance().generation());
        writeAddress(memberRecord.instance().address(), to);
        to.packInt(memberRecord.incarnation())
                .packInt(memberRecord.state().ordinal())
                .packString(metadata.zone())
                .packString(metadata.build());
        writeAddress(metadata.link(), to);
        to.packLong(metadata.policy());
        int packed = metadata.load() << STEP_BITS | metadata.rate();
        to.packInt((packed * CONDITION_COUNT + metadata.condition().ordinal()) * 2 + (metadata.late() ? 1 : 0));
    }

    private static void writeAddress(InetSocketAddress socketAddress, MessageBufferPacker to) throws IOException {
        if (socketAddress == null) {
            to.packNil();
            return;
        }
        byte[] address = socketAddress.getAddress().getAddress();
        to.packBinaryHeader(address.length).addPayload(address);
        to.packInt(socketAddress.getPort());
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are not a valid message
     */
    public Message read(byte[] bytes, int offset, int length) throws IOException {
        try (MessageUnpacker from = MessagePack.newDefaultUnpacker(bytes, offset, length)) {
            int kind = from.unpackInt();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new IOException("unknown message kind: " + kind);
            }
            long senderId = from.unpackLong();
            int digest = from.unpackInt();
            int seq = from.unpackInt();
            long target = from.unpackLong();
            int[] bucketDigests = null;
            if (Kind.values()[kind] == Kind.SYNC) {
                bucketDigests = readBucketDigests(from);
            }
            List<Update> updates = new ArrayList<>();
            while (from.hasNext()) {
                if (updates.size() >= MAX_UPDATES) {
                    throw new IOException("too many updates in a message");
                }
                updates.add(readUpdate(from));
            }
            return new Message(Kind.values()[kind], senderId, digest, seq, target, bucketDigests, updates);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("malformed message: " + e.getMessage(), e);
        }
    }

    private static int[] readBucketDigests(MessageUnpacker from) throws IOException {
        int length = from.unpackBinaryHeader();
        if (length != View.BUCKET_COUNT * Integer.BYTES) {
            throw new IOException("bucket digests with an invalid length of " + length + " bytes");
        }
        byte[] bytes = from.readPayload(length);
        int[] buckets = new int[View.BUCKET_COUNT];
        for (int i = 0; i < bytes.length; i++) {
            buckets[i / Integer.BYTES] = buckets[i / Integer.BYTES] << Byte.SIZE | bytes[i] & 0xff;
        }
        return buckets;
    }

    private static Update readUpdate(MessageUnpacker from) throws IOException {
        int type = from.unpackInt();
        if (type == CLAIM) {
            return new Claim(from.unpackLong(), readNonNegativeInt(from), readState(from), from.unpackLong());
        }
        if (type == PAYLOAD) {
            int length = from.unpackBinaryHeader();
            if (length > Seal.MAX_DATAGRAM_BYTES) {
                throw new IOException("payload too long: " + length + " bytes");
            }
            return new Payload(from.readPayload(length));
        }
        if (type != MEMBER_RECORD) {
            throw new IOException("unknown update type: " + type);
        }
        String name = readText(from, MemberInstance.MAX_NAME_BYTES);
        long generation = from.unpackLong();
        InetSocketAddress address = readAddress(from);
        if (address == null || name.isEmpty()) {
            throw new IOException("member record without a name or an address");
        }
        int incarnation = readNonNegativeInt(from);
        State state = readState(from);
        String zone = readText(from, MemberMetadata.MAX_ZONE_BYTES);
        String build = readText(from, MemberMetadata.MAX_BUILD_BYTES);
        InetSocketAddress linkAddress = readAddress(from);
        long policyVersion = from.unpackLong();
        int packed = readNonNegativeInt(from);
        boolean loopLate = packed % 2 == 1;
        Condition condition = Condition.values()[packed / 2 % CONDITION_COUNT];
        int packedSteps = packed / 2 / CONDITION_COUNT;
        return new MemberRecord(
                MemberInstance.of(name, generation, address),
                incarnation,
                state,
                new MemberMetadata(
                        zone,
                        build,
                        linkAddress,
                        policyVersion,
                        condition,
                        packedSteps >> STEP_BITS,
                        packedSteps & (1 << STEP_BITS) - 1,
                        loopLate));
    }

    private static int readNonNegativeInt(MessageUnpacker from) throws IOException {
        int value = from.unpackInt();
        if (value < 0) {
            throw new IOException("negative count");
        }
        return value;
    }

    private static State readState(MessageUnpacker from) throws IOException {
        int state = from.unpackInt();
        if (state < 0 || state >= State.values().length) {
            throw new IOException("unknown member state: " + state);
        }
        return State.values()[state];
    }

    private static String readText(MessageUnpacker from, int maxBytes) throws IOException {
        int length = from.unpackRawStringHeader();
        if (length > maxBytes) {
            throw new IOException("text too long: " + length + " bytes");
        }
        return new String(from.readPayload(length), StandardCharsets.UTF_8);
    }

    private static InetSocketAddress readAddress(MessageUnpacker from) throws IOException {
        if (from.tryUnpackNil()) {
            return null;
        }
        int length = from.unpackBinaryHeader();
        if (length != 4 && length != 16) {
            throw new IOException("IP address with an invalid length of " + length + " bytes");
        }
        byte[] address = from.readPayload(length);
        return new InetSocketAddress(InetAddress.getByAddress(address), from.unpackInt());
    }
}
