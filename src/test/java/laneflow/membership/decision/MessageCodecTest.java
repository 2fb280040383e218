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

/** Datagrams: their sizes, what seals them, and what is made of those that are no datagrams. */
class MessageCodecTest {
    private static final MessageCodec WIRE = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private static final MemberMetadata NOTHING_TOLD =
            new MemberMetadata("", "", null, -1, MemberMetadata.Condition.READY, 0, 0, false);
    private static final List<String> ONE = List.of("a-key-of-some-length");
    private static final List<String> TWO = List.of("another-key-of-such");

    private static InetSocketAddress at(int bytes, int port) throws IOException {
        byte[] address = new byte[bytes];
        address[0] = 32;
        address[bytes - 1] = 1;
        return new InetSocketAddress(InetAddress.getByAddress(address), port);
    }

    private static MemberRecord largest() throws IOException {
        return new MemberRecord(
                MemberInstance.of(
                        "n".repeat(MemberInstance.MAX_NAME_BYTES), MemberInstance.MAX_GENERATION, at(16, 65535)),
                Integer.MAX_VALUE,
                State.SUSPECT,
                new MemberMetadata(
                        "z".repeat(MemberMetadata.MAX_ZONE_BYTES),
                        "b".repeat(MemberMetadata.MAX_BUILD_BYTES),
                        at(16, 65534),
                        Long.MAX_VALUE,
                        MemberMetadata.Condition.FENCED,
                        15,
                        30,
                        true));
    }

    @Test
    void whatIsWrittenIsReadAndTheLargestRecordFits() throws Exception {
        List<Update> updates = new ArrayList<>(List.of(new Claim(Long.MIN_VALUE, 7, State.LEFT, 3)));
        for (Update update : List.of(
                largest(), new MemberRecord(MemberInstance.of("n1", 5, at(4, 9)), 0, State.ALIVE, NOTHING_TOLD))) {
            Message message = new Message(Kind.PING, -5, -6, Integer.MIN_VALUE, 8, null, List.of(update));
            byte[] bytes = WIRE.write(message);
            assertEquals(message, WIRE.read(bytes, 0, bytes.length));
            assertTrue(bytes.length <= WIRE.maxSize(message), bytes.length + " bytes");
            assertTrue(bytes.length + Seal.OVERHEAD_BYTES <= Seal.MAX_DATAGRAM_BYTES, bytes.length + " bytes");
            updates.add(update);
        }
        int[] buckets = new Random(1).ints(View.BUCKETS).toArray();
        Message sync = new Message(Kind.SYNC, 1, 2, 3, 4, buckets, List.of());
        byte[] bytes = WIRE.write(sync);
        assertTrue(bytes.length + Seal.OVERHEAD_BYTES <= Seal.MAX_DATAGRAM_BYTES, bytes.length + " bytes");
        Message read = WIRE.read(bytes, 0, bytes.length);
        org.junit.jupiter.api.Assertions.assertArrayEquals(buckets, read.bucketDigests());
        // Over the link there is no such bound.
        Message all = new Message(Kind.GOSSIP, 1, 2, 3, 4, null, updates);
        assertEquals(all, WIRE.read(WIRE.write(all), 0, WIRE.write(all).length));
    }

    @Test
    void garbageIsNoMessageAndNothingWorse() throws Exception {
        Random random = new Random(7);
        byte[] sound = WIRE.write(new Message(Kind.GOSSIP, 9, 9, 9, 9, null, List.of(largest())));
        int read = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] bytes = random.nextBoolean() ? sound.clone() : new byte[random.nextInt(240)];
            if (bytes.length == sound.length) {
                for (int k = 0; k < 3; k++) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
            } else {
                random.nextBytes(bytes);
            }
            try {
                WIRE.read(bytes, 0, bytes.length);
                read++;
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
        assertTrue(read < 50_000);
        assertThrows(IOException.class, () -> WIRE.read(new byte[0], 0, 0));
        assertThrows(IOException.class, () -> WIRE.read(sound, 0, sound.length - 1));
    }

    @Test
    void aSealHoldsForItsKeysAlone() {
        Seal one = new Seal(ONE, 41);
        byte[] all = one.wrap(new byte[] {1, 2, 3});
        assertTrue(one.isAuthentic(all, all.length));
        assertEquals(42, Seal.sequenceNumber(all));
        assertFalse(new Seal(TWO, 0).isAuthentic(all, all.length));
        for (int bit = 0; bit < all.length * 8; bit++) {
            byte[] spoilt = all.clone();
            spoilt[bit / 8] ^= 1 << bit % 8;
            assertFalse(one.isAuthentic(spoilt, spoilt.length), "bit " + bit);
        }
        assertFalse(one.isAuthentic(all, all.length - 1));
        assertFalse(one.isAuthentic(new byte[Seal.MAX_DATAGRAM_BYTES + 1], Seal.MAX_DATAGRAM_BYTES + 1));
        // In turn: either order of two keys opens what the other seals.
        Seal both = new Seal(List.of(ONE.get(0), TWO.get(0)), 0);
        Seal turned = new Seal(List.of(TWO.get(0), ONE.get(0)), 0);
        byte[] byTurned = turned.wrap(new byte[] {9});
        assertTrue(both.isAuthentic(byTurned, byTurned.length));
        assertTrue(turned.isAuthentic(all, all.length));
        assertFalse(one.isAuthentic(byTurned, byTurned.length));
        for (List<String> wrong : List.of(List.<String>of(), List.of("short"), List.of("has a space in its midst"))) {
            assertThrows(IllegalArgumentException.class, () -> new Seal(wrong, 0));
        }
    }

    @Test
    void aNumberIsFreshOnceInAnyOrder() {
        Replays replays = new Replays();
        int start = Integer.MAX_VALUE - 5;
        for (int i : new int[] {0, 3, 1, 2, 9, 1000, 30}) {
            assertTrue(replays.isFresh(1, start + i), "number " + i);
            assertFalse(replays.isFresh(1, start + i), "number " + i);
        }
        assertTrue(replays.isFresh(1, start + 900), "late, and within the window");
        assertTrue(replays.isFresh(1, start + 5000));
        assertFalse(replays.isFresh(1, start + 901), "older than the window");
        assertTrue(replays.isFresh(2, start), "another life has numbers of its own");
        replays.forget(1);
        assertTrue(replays.isFresh(1, start));
    }
}
