package laneflow.gearman;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import laneflow.gearman.decision.Queues;
import laneflow.net.Ring;
import laneflow.net.Stand;
import laneflow.net.Stand.Peer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bytes of every kind at the readers of packets and lines; seeds are fixed, so a verdict stays one. */
class ReaderFuzzTest {
    private static final int MOST = 4096;

    /** Packets that came in any pieces come out whole and in order; damaged ones are Malformed, nothing else. */
    @Property(tries = 2000, seed = "7")
    void anyBytesArePacketsOrMalformed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Ring ring = new Ring(1 << 15);
        List<byte[]> sent = new ArrayList<>();
        boolean damaged = random.nextInt(2) == 0;
        for (int i = random.nextInt(6); i >= 0; i--) {
            byte[] data = new byte[random.nextInt(300)];
            random.nextBytes(data);
            byte[] packet = Packet.encode(Packet.REQUEST_MAGIC, random.nextInt(50), (Object) data);
            if (damaged && random.nextInt(3) == 0) {
                packet[random.nextInt(packet.length)] ^= (byte) (1 << random.nextInt(8));
                packet = Arrays.copyOf(packet, random.nextInt(packet.length + 1));
            }
            sent.add(packet);
        }
        int read = 0;
        try {
            for (byte[] packet : sent) {
                for (int at = 0; at < packet.length; ) {
                    int piece = Math.min(packet.length - at, 1 + random.nextInt(64));
                    assertTrue(ring.put(packet, at, piece));
                    at += piece;
                    for (Packet one = Packet.read(ring, MOST); one != null; one = Packet.read(ring, MOST)) {
                        for (int count = 1; count < 5; count++) {
                            arguments(one, count);
                        }
                        if (!damaged) {
                            assertArrayEquals(
                                    Arrays.copyOfRange(sent.get(read), Packet.HEADER_BYTES, sent.get(read).length),
                                    one.data());
                        }
                        read++;
                    }
                }
            }
        } catch (Packet.MalformedPacket e) {
            assertTrue(damaged, e.getMessage());
            return;
        }
        assertTrue(damaged || read == sent.size(), read + " of " + sent.size());
    }

    private static void arguments(Packet packet, int count) {
        try {
            byte[][] found = packet.arguments(count);
            assertEquals(count, found.length);
            int sum = count - 1;
            for (byte[] one : found) {
                sum += one.length;
            }
            assertEquals(packet.data().length, sum);
        } catch (Packet.MalformedPacket e) {
            assertTrue(count > 1);
        }
    }

    /** Connections that speak nonsense end or are answered; the front serves on, and holds nothing of them. */
    @Test
    @Timeout(60)
    void nonsenseLeavesTheFrontAsItWas() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        try (Stand stand = Stand.gearman("listen = '127.0.0.1:0'\nunmapped_class = 'basket-check'\n")) {
            for (int i = 0; i < 150; i++) {
                try (Peer peer = stand.gearman()) {
                    for (int k = random.nextInt(20); k >= 0; k--) {
                        byte[] data = new byte[random.nextInt(40)];
                        random.nextBytes(data);
                        if (random.nextInt(4) > 0) {
                            // Mostly what a packet may look like, of every type, with arguments that may fit.
                            for (int at = 0; at < data.length; at++) {
                                data[at] = (byte) (random.nextInt(5) == 0 ? 0 : 'a' + random.nextInt(3));
                            }
                            data = Packet.encode(Packet.REQUEST_MAGIC, random.nextInt(45), (Object) data);
                        }
                        peer.write(data);
                    }
                    if (random.nextInt(3) == 0) {
                        peer.reset();
                    }
                } catch (IOException e) {
                    // Cut off in the middle of it.
                    continue;
                }
            }
            Peer worker = Gearman.worker(stand, "sound");
            Peer client = stand.gearman();
            Gearman.send(client, Packet.SUBMIT_JOB, "sound", "", "x");
            String handle = Gearman.expect(client, Packet.JOB_CREATED)[0];
            String[] job = Gearman.grab(worker);
            assertEquals(handle, job[0]);
            Gearman.send(worker, Packet.WORK_COMPLETE, handle, "y");
            assertEquals("y", Gearman.expect(client, Packet.WORK_COMPLETE)[1]);
            // Background jobs of the nonsense were refused by then or are: what is left in the queues is nothing.
            for (String row = "\t1\t"; row.contains("\t1\t") || row.contains("\t2\t"); ) {
                row = stand.gearman().write("status\n").readTo(".\n").replaceAll("\t[0-9]+\n", "\n");
            }
        }
    }

    /** Counts by changes are what counting anew would say, whatever happens in whatever order. */
    @Property(tries = 300, seed = "7")
    void countsAreWhatIsThere(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Queues queues = new Queues(5);
        List<int[]> jobs = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            int what = random.nextInt(4);
            int[] job = jobs.isEmpty() ? null : jobs.get(random.nextInt(jobs.size()));
            if (what < 2) {
                int priority = random.nextInt(3);
                long waiting = jobs.stream()
                        .filter(one -> one[0] == priority && one[1] == 0)
                        .count();
                assertEquals(waiting < 5, queues.admits("f", priority));
                if (waiting < 5) {
                    queues.recordQueued("f", priority);
                    jobs.add(new int[] {priority, 0});
                }
            } else if (what == 2 && job != null && job[1] == 0) {
                queues.recordStarted("f", job[0]);
                job[1] = 1;
            } else if (job != null) {
                queues.recordEnded("f", job[0], job[1] == 1);
                jobs.remove(job);
            }
            assertEquals(
                    jobs.stream().filter(one -> one[1] == 0).count(),
                    queues.counts("f").queued());
            assertEquals(
                    jobs.stream().filter(one -> one[1] == 1).count(),
                    queues.counts("f").running());
            assertEquals(jobs.isEmpty(), queues.counts("f").isIdle());
        }
    }
}
