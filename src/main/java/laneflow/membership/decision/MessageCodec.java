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
 * The form of datagrams: MessagePack values one behind the other. Sizes are counted, not tried: news is
 * chosen by what fits. What goes around it (version, key, code of authenticity) is {@link Seal}'s.
 */
public final class MessageCodec implements Swim.Sizes {
    private static final int FULL = 1;
    private static final int CLAIM = 2;
    private static final int EXTRA = 3;
    private static final int LONG = 9;
    private static final int INT = 5;
    private static final int BYTES_HEAD = 2;
    private static final int PORT = 3;
    private static final int SMALL = 1;
    private static final int FIXED_TEXT = 32;
    private static final int BUCKET_BYTES = View.BUCKETS * Integer.BYTES + BYTES_HEAD;
    private static final int HEAD = SMALL + LONG + INT + INT + LONG;
    private static final int CLAIM_BYTES = SMALL + LONG + INT + SMALL + LONG;
    /** Bytes around those of an {@link Payload}. */
    static final int EXTRA_HEAD = SMALL + BYTES_HEAD;

    private static final int MOST_UPDATES = 32;
    private static final int CONDITIONS = Condition.values().length;
    private static final int STEP_BITS = 5;

    private final int most;

    /** @param most bytes of a datagram's content */
    public MessageCodec(int most) {
        this.most = most;
    }

    @Override
    public int room(Kind kind) {
        return most - HEAD - (kind == Kind.SYNC ? BUCKET_BYTES : 0);
    }

    @Override
    public int applyAsInt(Update update) {
        if (update instanceof MemberRecord full) {
            MemberMetadata facts = full.metadata();
            return SMALL
                    + text(full.instance().name())
                    + LONG
                    + place(full.instance().address())
                    + INT
                    + SMALL
                    + text(facts.zone())
                    + text(facts.build())
                    + place(facts.link())
                    + LONG
                    + INT;
        }
        return update instanceof Payload extra ? EXTRA_HEAD + extra.bytes().length : CLAIM_BYTES;
    }

    /** The most bytes that a message may take. */
    public int maxSize(Message message) {
        int all = HEAD + (message.bucketDigests() == null ? 0 : BUCKET_BYTES);
        for (Update update : message.updates()) {
            all += applyAsInt(update);
        }
        return all;
    }

    private static int text(String text) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        return bytes + (bytes < FIXED_TEXT ? SMALL : BYTES_HEAD);
    }

    private static int place(InetSocketAddress at) {
        return at == null ? SMALL : BYTES_HEAD + at.getAddress().getAddress().length + PORT;
    }

    /** A message's bytes. */
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
                write(update, to);
            }
            return to.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory does not fail", e);
        }
    }

    private static void write(Update update, MessageBufferPacker to) throws IOException {
        if (update instanceof Claim claim) {
            to.packInt(CLAIM)
                    .packLong(claim.instanceId())
                    .packInt(claim.incarnation())
                    .packInt(claim.state().ordinal())
                    .packLong(claim.accuserId());
            return;
        }
        if (update instanceof Payload extra) {
            to.packInt(EXTRA).packBinaryHeader(extra.bytes().length).addPayload(extra.bytes());
            return;
        }
        MemberRecord full = (MemberRecord) update;
        MemberMetadata facts = full.metadata();
        to.packInt(FULL)
                .packString(full.instance().name())
                .packLong(full.instance().generation());
        write(full.instance().address(), to);
        to.packInt(full.incarnation())
                .packInt(full.state().ordinal())
                .packString(facts.zone())
                .packString(facts.build());
        write(facts.link(), to);
        to.packLong(facts.policy());
        int packed = facts.load() << STEP_BITS | facts.rate();
        to.packInt((packed * CONDITIONS + facts.condition().ordinal()) * 2 + (facts.late() ? 1 : 0));
    }

    private static void write(InetSocketAddress at, MessageBufferPacker to) throws IOException {
        if (at == null) {
            to.packNil();
            return;
        }
        byte[] address = at.getAddress().getAddress();
        to.packBinaryHeader(address.length).addPayload(address);
        to.packInt(at.getPort());
    }

    /**
     * Reads a message.
     *
     * @throws IOException if it is none
     */
    public Message read(byte[] bytes, int offset, int length) throws IOException {
        try (MessageUnpacker from = MessagePack.newDefaultUnpacker(bytes, offset, length)) {
            int kind = from.unpackInt();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new IOException("no kind of message: " + kind);
            }
            long sender = from.unpackLong();
            int digest = from.unpackInt();
            int seq = from.unpackInt();
            long target = from.unpackLong();
            int[] buckets = null;
            if (Kind.values()[kind] == Kind.SYNC) {
                buckets = buckets(from);
            }
            List<Update> updates = new ArrayList<>();
            while (from.hasNext()) {
                if (updates.size() >= MOST_UPDATES) {
                    throw new IOException("too much news");
                }
                updates.add(update(from));
            }
            return new Message(Kind.values()[kind], sender, digest, seq, target, buckets, updates);
        } catch (MessagePackException | IllegalArgumentException e) {
            throw new IOException("no message: " + e.getMessage(), e);
        }
    }

    private static int[] buckets(MessageUnpacker from) throws IOException {
        int length = from.unpackBinaryHeader();
        if (length != View.BUCKETS * Integer.BYTES) {
            throw new IOException("digests of " + length + " bytes");
        }
        byte[] all = from.readPayload(length);
        int[] buckets = new int[View.BUCKETS];
        for (int i = 0; i < all.length; i++) {
            buckets[i / Integer.BYTES] = buckets[i / Integer.BYTES] << Byte.SIZE | all[i] & 0xff;
        }
        return buckets;
    }

    private static Update update(MessageUnpacker from) throws IOException {
        int form = from.unpackInt();
        if (form == CLAIM) {
            return new Claim(from.unpackLong(), natural(from), state(from), from.unpackLong());
        }
        if (form == EXTRA) {
            int length = from.unpackBinaryHeader();
            if (length > Seal.MAX_DATAGRAM_BYTES) {
                throw new IOException("an extra of " + length + " bytes");
            }
            return new Payload(from.readPayload(length));
        }
        if (form != FULL) {
            throw new IOException("no form of news: " + form);
        }
        String name = text(from, MemberInstance.MAX_NAME_BYTES);
        long generation = from.unpackLong();
        InetSocketAddress at = place(from);
        if (at == null || name.isEmpty()) {
            throw new IOException("a member without a name or an address");
        }
        int incarnation = natural(from);
        State state = state(from);
        String zone = text(from, MemberMetadata.MAX_ZONE_BYTES);
        String build = text(from, MemberMetadata.MAX_BUILD_BYTES);
        InetSocketAddress link = place(from);
        long policy = from.unpackLong();
        int packed = natural(from);
        boolean late = packed % 2 == 1;
        Condition condition = Condition.values()[packed / 2 % CONDITIONS];
        int steps = packed / 2 / CONDITIONS;
        return new MemberRecord(
                MemberInstance.of(name, generation, at),
                incarnation,
                state,
                new MemberMetadata(
                        zone, build, link, policy, condition, steps >> STEP_BITS, steps & (1 << STEP_BITS) - 1, late));
    }

    private static int natural(MessageUnpacker from) throws IOException {
        int value = from.unpackInt();
        if (value < 0) {
            throw new IOException("a count under nothing");
        }
        return value;
    }

    private static State state(MessageUnpacker from) throws IOException {
        int state = from.unpackInt();
        if (state < 0 || state >= State.values().length) {
            throw new IOException("no state: " + state);
        }
        return State.values()[state];
    }

    private static String text(MessageUnpacker from, int most) throws IOException {
        int length = from.unpackRawStringHeader();
        if (length > most) {
            throw new IOException("a text of " + length + " bytes");
        }
        return new String(from.readPayload(length), StandardCharsets.UTF_8);
    }

    private static InetSocketAddress place(MessageUnpacker from) throws IOException {
        if (from.tryUnpackNil()) {
            return null;
        }
        int length = from.unpackBinaryHeader();
        if (length != 4 && length != 16) {
            throw new IOException("an address of " + length + " bytes");
        }
        byte[] address = from.readPayload(length);
        return new InetSocketAddress(InetAddress.getByAddress(address), from.unpackInt());
    }
}
