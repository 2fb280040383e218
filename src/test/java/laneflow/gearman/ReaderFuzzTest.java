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
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Fuzz tests of the packet and line readers and of the queue counts; seeds are fixed, so results are repeatable. */
class ReaderFuzzTest {
    private static final int MAX_DATA_BYTES = 4096;

    /** Packets in arbitrary pieces are read whole and in order; damaged ones raise MalformedPacket and nothing else. */
    @Property(tries = 2000, seed = "7")
    void anyBytesParseAsPacketsOrAreMalformed(@ForAll long seed) {
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
        int packetsRead = 0;
        try {
            for (byte[] packet : sent) {
                for (int offset = 0; offset < packet.length; ) {
                    int length = Math.min(packet.length - offset, 1 + random.nextInt(64));
                    assertTrue(ring.put(packet, offset, length));
                    offset += length;
                    for (Packet packetRead = Packet.read(ring, MAX_DATA_BYTES);
                            packetRead != null;
                            packetRead = Packet.read(ring, MAX_DATA_BYTES)) {
                        for (int count = 1; count < 5; count++) {
                            checkArguments(packetRead, count);
                        }
                        if (!damaged) {
                            assertArrayEquals(
                                    Arrays.copyOfRange(
                                            sent.get(packetsRead), Packet.HEADER_BYTES, sent.get(packetsRead).length),
                                    packetRead.data());
                        }
                        packetsRead++;
                    }
                }
            }
        } catch (Packet.MalformedPacket e) {
            assertTrue(damaged, e.getMessage());
            return;
        }
        assertTrue(damaged || packetsRead == sent.size(), packetsRead + " of " + sent.size());
    }

    private static void checkArguments(Packet packet, int count) {
        try {
            byte[][] arguments = packet.arguments(count);
            assertEquals(count, arguments.length);
            int sum = count - 1;
            for (byte[] argument : arguments) {
                sum += argument.length;
            }
            assertEquals(packet.data().length, sum);
        } catch (Packet.MalformedPacket e) {
            assertTrue(count > 1);
        }
    }

    /** Invalid input is answered or ends its connection; the front keeps serving and retains no jobs of it. */
    @Test
    @Timeout(60)
    void frontServesAfterInvalidInput() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        try (SchedulerHarness harness =
                SchedulerHarness.withGearman("listen = '127.0.0.1:0'\nunmapped_class = 'basket-check'\n")) {
            for (int i = 0; i < 150; i++) {
                try (Peer peer = harness.gearman()) {
                    for (int k = random.nextInt(20); k >= 0; k--) {
                        byte[] data = new byte[random.nextInt(40)];
                        random.nextBytes(data);
                        if (random.nextInt(4) > 0) {
                            // Mostly well-formed packets of every type, some with a valid number of arguments.
                            for (int j = 0; j < data.length; j++) {
                                data[j] = (byte) (random.nextInt(5) == 0 ? 0 : 'a' + random.nextInt(3));
                            }
                            data = Packet.encode(Packet.REQUEST_MAGIC, random.nextInt(45), (Object) data);
                        }
                        peer.write(data);
                    }
                    if (random.nextInt(3) == 0) {
                        peer.reset();
                    }
                } catch (IOException e) {
                    // The front has closed the connection.
                    continue;
                }
            }
            Peer worker = Gearman.worker(harness, "sound");
            Peer client = harness.gearman();
            Gearman.send(client, Packet.SUBMIT_JOB, "sound", "", "x");
            String handle = Gearman.expect(client, Packet.JOB_CREATED)[0];
            String[] job = Gearman.grab(worker);
            assertEquals(handle, job[0]);
            Gearman.send(worker, Packet.WORK_COMPLETE, handle, "y");
            assertEquals("y", Gearman.expect(client, Packet.WORK_COMPLETE)[1]);
            // Waits until the background jobs of the random packets are refused, so that no queue holds any.
            for (String row = "\t1\t"; row.contains("\t1\t") || row.contains("\t2\t"); ) {
                row = harness.gearman().write("status\n").readTo(".\n").replaceAll("\t[0-9]+\n", "\n");
            }
        }
    }

    /** Incremental counts equal a recount after any sequence of events. */
    @Property(tries = 300, seed = "7")
    void queueCountsMatchTheJobs(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Queues queues = new Queues(5);
        List<int[]> jobs = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            int action = random.nextInt(4);
            int[] job = jobs.isEmpty() ? null : jobs.get(random.nextInt(jobs.size()));
            if (action < 2) {
                int priority = random.nextInt(3);
                long waiting = jobs.stream()
                        .filter(other -> other[0] == priority && other[1] == 0)
                        .count();
                assertEquals(waiting < 5, queues.admits("f", priority));
                if (waiting < 5) {
                    queues.recordQueued("f", priority);
                    jobs.add(new int[] {priority, 0});
                }
            } else if (action == 2 && job != null && job[1] == 0) {
                queues.recordStarted("f", job[0]);
                job[1] = 1;
            } else if (job != null) {
                queues.recordEnded("f", job[0], job[1] == 1);
                jobs.remove(job);
            }
            assertEquals(
                    jobs.stream().filter(other -> other[1] == 0).count(),
                    queues.counts("f").queued());
            assertEquals(
                    jobs.stream().filter(other -> other[1] == 1).count(),
                    queues.counts("f").running());
            assertEquals(jobs.isEmpty(), queues.counts("f").isIdle());
        }
    }
}
