package laneflow.membership.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.Claim;
import laneflow.membership.decision.Update.MemberRecord;
import org.junit.jupiter.api.Test;

/** Datagrams: encoding and sizes, authentication, replay detection, and malformed input. */
class MessageCodecTest {
    private static final MessageCodec CODEC = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private static final MemberMetadata EMPTY_METADATA =
            new MemberMetadata("", "", null, -1, MemberMetadata.Condition.READY, 0, 0, false);
    private static final List<String> FIRST_KEY = List.of("a-key-of-some-length");
    private static final List<String> SECOND_KEY = List.of("another-key-of-such");

    private static InetSocketAddress address(int length, int port) throws IOException {
        byte[] bytes = new byte[length];
        bytes[0] = 32;
        bytes[length - 1] = 1;
        return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    }

    private static MemberRecord largestRecord() throws IOException {
        return new MemberRecord(
                MemberInstance.of(
                        "n".repeat(MemberInstance.MAX_NAME_BYTES), MemberInstance.MAX_GENERATION, address(16, 65535)),
                Integer.MAX_VALUE,
                State.SUSPECT,
                new MemberMetadata(
                        "z".repeat(MemberMetadata.MAX_ZONE_BYTES),
                        "b".repeat(MemberMetadata.MAX_BUILD_BYTES),
                        address(16, 65534),
                        Long.MAX_VALUE,
                        MemberMetadata.Condition.FENCED,
                        15,
                        30,
                        true));
    }

    @Test
    void messagesRoundTripAndTheLargestRecordFits() throws Exception {
        List<Update> updates = new ArrayList<>(List.of(new Claim(Long.MIN_VALUE, 7, State.LEFT, 3)));
        for (Update update : List.of(
                largestRecord(),
                new MemberRecord(MemberInstance.of("n1", 5, address(4, 9)), 0, State.ALIVE, EMPTY_METADATA))) {
            Message message = new Message(Kind.PING, -5, -6, Integer.MIN_VALUE, 8, null, List.of(update));
            byte[] bytes = CODEC.write(message);
            assertEquals(message, CODEC.read(bytes, 0, bytes.length));
            assertTrue(bytes.length <= CODEC.maxSize(message), bytes.length + " bytes");
            assertTrue(bytes.length + Seal.OVERHEAD_BYTES <= Seal.MAX_DATAGRAM_BYTES, bytes.length + " bytes");
            updates.add(update);
        }
        int[] buckets = new Random(1).ints(View.BUCKET_COUNT).toArray();
        Message sync = new Message(Kind.SYNC, 1, 2, 3, 4, buckets, List.of());
        byte[] bytes = CODEC.write(sync);
        assertTrue(bytes.length + Seal.OVERHEAD_BYTES <= Seal.MAX_DATAGRAM_BYTES, bytes.length + " bytes");
        Message read = CODEC.read(bytes, 0, bytes.length);
        org.junit.jupiter.api.Assertions.assertArrayEquals(buckets, read.bucketDigests());
        // The datagram size limit does not apply to records sent over a link.
        Message message = new Message(Kind.GOSSIP, 1, 2, 3, 4, null, updates);
        assertEquals(message, CODEC.read(CODEC.write(message), 0, CODEC.write(message).length));
    }

    @Test
    void malformedInputOnlyThrowsIOException() throws Exception {
        Random random = new Random(7);
        byte[] valid = CODEC.write(new Message(Kind.GOSSIP, 9, 9, 9, 9, null, List.of(largestRecord())));
        int read = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] bytes = random.nextBoolean() ? valid.clone() : new byte[random.nextInt(240)];
            if (bytes.length == valid.length) {
                for (int k = 0; k < 3; k++) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
            } else {
                random.nextBytes(bytes);
            }
            try {
                CODEC.read(bytes, 0, bytes.length);
                read++;
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
        assertTrue(read < 50_000);
        assertThrows(IOException.class, () -> CODEC.read(new byte[0], 0, 0));
        assertThrows(IOException.class, () -> CODEC.read(valid, 0, valid.length - 1));
    }

    @Test
    void onlyTheSigningKeyVerifiesADatagram() {
        Seal seal = new Seal(FIRST_KEY, 41);
        byte[] datagram = seal.wrap(new byte[] {1, 2, 3});
        assertTrue(seal.isAuthentic(datagram, datagram.length));
        assertEquals(42, Seal.sequenceNumber(datagram));
        assertFalse(new Seal(SECOND_KEY, 0).isAuthentic(datagram, datagram.length));
        for (int bit = 0; bit < datagram.length * 8; bit++) {
            byte[] corrupted = datagram.clone();
            corrupted[bit / 8] ^= 1 << bit % 8;
            assertFalse(seal.isAuthentic(corrupted, corrupted.length), "bit " + bit);
        }
        assertFalse(seal.isAuthentic(datagram, datagram.length - 1));
        assertFalse(seal.isAuthentic(new byte[Seal.MAX_DATAGRAM_BYTES + 1], Seal.MAX_DATAGRAM_BYTES + 1));
        // Key rotation: either order of two keys verifies what the other signed.
        Seal twoKeys = new Seal(List.of(FIRST_KEY.get(0), SECOND_KEY.get(0)), 0);
        Seal reversed = new Seal(List.of(SECOND_KEY.get(0), FIRST_KEY.get(0)), 0);
        byte[] sealedByReversed = reversed.wrap(new byte[] {9});
        assertTrue(twoKeys.isAuthentic(sealedByReversed, sealedByReversed.length));
        assertTrue(reversed.isAuthentic(datagram, datagram.length));
        assertFalse(seal.isAuthentic(sealedByReversed, sealedByReversed.length));
        for (List<String> invalid : List.of(List.<String>of(), List.of("short"), List.of("has a space in its midst"))) {
            assertThrows(IllegalArgumentException.class, () -> new Seal(invalid, 0));
        }
    }

    @Test
    void eachSequenceNumberIsNewOnceInAnyOrder() {
        ReplayFilter filter = new ReplayFilter();
        int start = Integer.MAX_VALUE - 5;
        for (int i : new int[] {0, 3, 1, 2, 9, 1000, 30}) {
            assertTrue(filter.registerIfNew(1, start + i), "number " + i);
            assertFalse(filter.registerIfNew(1, start + i), "number " + i);
        }
        assertTrue(filter.registerIfNew(1, start + 900), "out of order, within the window");
        assertTrue(filter.registerIfNew(1, start + 5000));
        assertFalse(filter.registerIfNew(1, start + 901), "older than the window");
        assertTrue(filter.registerIfNew(2, start), "each instance has its own numbers");
        filter.forget(1);
        assertTrue(filter.registerIfNew(1, start));
    }
}
