package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import laneflow.assembly.Setup;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on discovery: one test for each sentence of the operators' page on it. */
@Timeout(120)
class DiscoveryStoryTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Accepts the next watch that sends its request: on a busy machine one may be abandoned before it connects. */
    private static Peer acceptWatch(Endpoint discovery, String after) throws IOException {
        while (true) {
            Peer watch = discovery.accept();
            try {
                assertTrue(watch.readTo("\r\n\r\n").contains("after=" + after + " "));
                return watch;
            } catch (IOException e) {
                watch.close();
            }
        }
    }

    private static double secondsSince(long instant) {
        return (System.nanoTime() - instant) / 1e9;
    }

    @Test
    void listsMayBeIndentedAndSplit() throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint endpoint1 = new Endpoint("e1");
        Endpoint endpoint2 = new Endpoint("e2");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint1);
                Peer client = harness.http()) {
            Peer watch = acceptWatch(discovery, "1");
            long watches = harness.counter("discovery.watches");
            String list = SchedulerHarness.hostList(2, false, endpoint1.host("Terminating"), endpoint2.host("Ready"))
                    .replace("{", "{\n    ")
                    .replace(",", ",\r\n  ")
                    .replace("}", "\n}");
            watch.write(HEAD);
            for (char character : ("\n" + list).toCharArray()) {
                watch.write(chunk("" + character));
            }
            // The last brace ends the list, without a line feed.
            harness.awaitCounter("discovery.lists", 1);
            watch.write(chunk("\n\n  " + SchedulerHarness.hostList(3, false, endpoint2.host("Ready"))) + chunk("\n"));
            harness.awaitCounter("discovery.lists", 2);
            client.post("basket-check", "1", "", "");
            Peer call = endpoint2.accept();
            call.message();
            call.respond("{'id':'1','state':'done','result':'priced'}");
            assertTrue(client.message().endsWith("priced"));
            assertEquals(watches, harness.counter("discovery.watches"));
        }
    }

    /** Missed changes count as announced 6 s after the silence began: two more watches are opened before that. */
    @Test
    void aSilentWatchIsReplacedAndTheListStaysInUse() throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint)) {
            long startedAt = System.nanoTime();
            Peer silent = acceptWatch(discovery, "1");
            long watches = harness.counter("discovery.watches");
            silent.write(HEAD + chunk("\n"));
            // An incomplete line is no sign of life, even if bytes keep arriving.
            Peer next = acceptWatch(discovery, "1");
            assertTrue(secondsSince(startedAt) > 2 && secondsSince(startedAt) < 4.4, "" + secondsSince(startedAt));
            assertTrue(silent.isClosedByPeer());
            startedAt = System.nanoTime();
            next.write(HEAD + chunk("{"));
            Thread slowWriter = new Thread(() -> {
                try {
                    for (; true; Thread.sleep(100)) {
                        next.write(chunk(" "));
                    }
                } catch (IOException | InterruptedException e) {
                    // The expected close.
                }
            });
            slowWriter.start();
            Peer third = acceptWatch(discovery, "1");
            slowWriter.join();
            assertTrue(secondsSince(startedAt) > 2 && secondsSince(startedAt) < 4.4, "" + secondsSince(startedAt));
            assertEquals(2, harness.counter("discovery.silent"));
            assertEquals(watches + 2, harness.counter("discovery.watches"));
            assertServedAt(endpoint, harness);
        }
    }

    /**
     * A watch that was up to date falls silent, and its successor is accepted but never answered. Changes missed by the
     * first one count as announced 6 s after its last sign of life, and each of the two later connections may take 1 s
     * to open, so the third watch must ask within 4 s. It used to ask after 5 s, as the second watch was given the full
     * 2.5 s of a missing heartbeat although an agent on this machine would have answered at once.
     */
    @Test
    void aSilentSuccessorOfASilentWatchIsReplacedInTime() throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint endpoint1 = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint1)) {
            Peer first = acceptWatch(discovery, "1");
            first.write(HEAD + chunk("\n"));
            long startedAt = System.nanoTime();
            Peer second = acceptWatch(discovery, "1");
            Peer third = acceptWatch(discovery, "1");
            assertTrue(
                    secondsSince(startedAt) < 4,
                    "requested again " + secondsSince(startedAt) + " s after the last sign of life");
            assertTrue(second.isClosedByPeer());
            third.write(HEAD + chunk(SchedulerHarness.hostList(2, false, endpoint1.host("Terminating"))));
            harness.awaitCounter("discovery.lists", 1);
            assertEquals(2, harness.counter("discovery.silent"));
        }
    }

    /** The agent's list counts from the process's start, so the process is not ready before the agent has answered. */
    @Test
    void aNewProcessIsReadyOnceItsAgentHasAnsweredOrHadTheTimeTo() throws Exception {
        Endpoint discovery = new Endpoint("d");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, new Endpoint("e1"));
                Peer client = harness.http()) {
            boolean[] readyTooEarly = new boolean[1];
            harness.serve
                    .loop()
                    .call(() -> readyTooEarly[0] = harness.serve.front().isReady()
                            && harness.serve.scheduler().counters().get("discovery.lists") == 0);
            Peer watch = acceptWatch(discovery, "1");
            // No answer, as while discovery is down: then the last known list is used.
            String ready;
            do {
                ready = client.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
            } while (ready.startsWith("HTTP/1.1 503 "));
            assertTrue(ready.startsWith("HTTP/1.1 200 "), ready);
            assertTrue(!readyTooEarly[0], "ready before its agent answered");
        }
    }

    /** At a shared service a watch may be queued: not being answered yet does not count as silence. */
    @Test
    void aWatchAtASharedServiceMayBeQueued() throws Exception {
        Endpoint discovery = new Endpoint("d");
        try (SchedulerHarness harness = SchedulerHarness.withSetting(
                "'tick':0.005", "'tick':0.005,'discovery':'ask'", discovery, new Endpoint("e1"))) {
            Peer watch = acceptWatch(discovery, "1");
            long watches = harness.counter("discovery.watches");
            Thread.sleep(2800);
            watch.write(HEAD + chunk(SchedulerHarness.hostList(2, true)));
            harness.awaitCounter("discovery.lists", 1);
            assertEquals(watches, harness.counter("discovery.watches"));
        }
    }

    /**
     * The grace of a drain runs from when it may have been announced, not from when it was read; an empty line before
     * the first list does not show that nothing was missed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "\n"})
    void aDrainInTheFirstListCountsFromTheLastSignOfLife(String prefix) throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint endpoint1 = new Endpoint("e1", 1);
        try (SchedulerHarness harness = SchedulerHarness.withSetting(
                        "'connectTimeout':1", "'connectTimeout':4.5", discovery, endpoint1);
                Peer client = harness.http()) {
            Peer watch = acceptWatch(discovery, "1");
            watch.write(HEAD + chunk("\n"));
            int crowd = endpoint1.fillBacklog();
            client.post("card-capture", "1", "", "pay");
            harness.awaitCounter("endpoint.connects", 1);
            watch.reset();
            Peer next = acceptWatch(discovery, "1");
            // The connection opens 1 s after it was requested, or 3 s if this thread is late.
            Thread.sleep(800);
            next.write(HEAD + chunk(prefix + SchedulerHarness.hostList(2, false, endpoint1.host("Terminating"))));
            harness.awaitCounter("discovery.lists", 1);
            for (int i = 0; i < crowd; i++) {
                endpoint1.accept();
            }
            Peer late = endpoint1.accept();
            assertTrue(late.isClosedByPeer());
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            assertEquals(1, harness.counter("core.kept.drain"));
        }
    }

    /** When the agent recovers, its list counts at once and must not go to a connection that is already closed. */
    @Test
    void aSilentWatchIsReadUntilTheNextOneHasSentItsRequest() throws Exception {
        Endpoint discovery = new Endpoint("d", 1);
        Endpoint endpoint1 = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint1)) {
            Peer silent = acceptWatch(discovery, "1");
            silent.write(HEAD + chunk("\n"));
            // The next connection can't open before those ahead of it have been accepted.
            int crowd = discovery.fillBacklog();
            harness.awaitCounter("discovery.silent", 1);
            silent.write(chunk(SchedulerHarness.hostList(2, false, endpoint1.host("Terminating"))));
            harness.awaitCounter("discovery.lists", 1);
            for (int i = 0; i < crowd; i++) {
                discovery.accept();
            }
            acceptWatch(discovery, "2");
            assertTrue(silent.isClosedByPeer());
        }
    }

    /** Of two moves in a row the second counts; the former address is read until the new one has sent its list. */
    @Test
    void aSecondMoveDuringTheFirstIsFollowedAndTheFormerAddressRead() throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint unreachable = new Endpoint("d2", 1);
        Endpoint last = new Endpoint("d3");
        Endpoint endpoint1 = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint1)) {
            Peer formerWatch = acceptWatch(discovery, "1");
            formerWatch.write(HEAD + chunk("\n"));
            unreachable.fillBacklog();
            move(harness, unreachable);
            harness.awaitCounter("discovery.moves", 1);
            formerWatch.write(chunk(SchedulerHarness.hostList(2, false, endpoint1.host("Ready"))));
            harness.awaitCounter("discovery.lists", 1);
            move(harness, last);
            Peer current = acceptWatch(last, "0");
            formerWatch.write(chunk(SchedulerHarness.hostList(3, false, endpoint1.host("Ready"))));
            harness.awaitCounter("discovery.lists", 2);
            current.write(HEAD + chunk(SchedulerHarness.hostList(1, true, endpoint1.host("Ready"))));
            harness.awaitCounter("discovery.lists", 3);
            assertTrue(formerWatch.isClosedByPeer());
            assertEquals(2, harness.counter("discovery.moves"));
        }
    }

    /**
     * Configurations change in quick succession, and the addresses in between accept the watch but never answer. The
     * last address must send its complete list, and the first one is read until it has.
     */
    @Test
    void ofFourMovesInARowTheLastIsFollowed() throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint endpoint1 = new Endpoint("e1");
        Endpoint last = new Endpoint("d5");
        try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint1)) {
            Peer formerWatch = acceptWatch(discovery, "1");
            formerWatch.write(HEAD + chunk("\n"));
            List<Endpoint> intermediate = List.of(new Endpoint("d2"), new Endpoint("d3"), new Endpoint("d4"));
            for (Endpoint intermediateAddress : intermediate) {
                move(harness, intermediateAddress);
                acceptWatch(intermediateAddress, "0");
            }
            move(harness, last);
            Peer current = acceptWatch(last, "0");
            formerWatch.write(chunk(SchedulerHarness.hostList(2, false, endpoint1.host("Terminating"))));
            harness.awaitCounter("discovery.lists", 1);
            current.write(HEAD + chunk(SchedulerHarness.hostList(1, true, endpoint1.host("Ready"))));
            harness.awaitCounter("discovery.lists", 2);
            assertTrue(formerWatch.isClosedByPeer());
            assertEquals(4, harness.counter("discovery.moves"));
            assertServedAt(endpoint1, harness);
            for (Endpoint intermediateAddress : intermediate) {
                intermediateAddress.close();
            }
        }
    }

    /** Checks that a request is sent to the endpoint and that its client gets the answer. */
    private static void assertServedAt(Endpoint endpoint, SchedulerHarness harness) throws Exception {
        Peer client = harness.http().post("basket-check", "1", "", "");
        Peer call = endpoint.accept();
        call.message();
        call.respond("{'id':'1','state':'done','result':'priced'}");
        assertTrue(client.message().endsWith("priced"));
    }

    private static void move(SchedulerHarness harness, Endpoint to) {
        harness.serve.reload(
                () -> new Setup(Config.parse(SchedulerHarness.configWithDiscovery(to.dial())), null, null, null));
    }

    /** After an unreadable list a shared service is not asked again at once. */
    @Test
    void unreadableListsAreRequestedAgainWithGrowingWaits() throws Exception {
        Endpoint discovery = new Endpoint("d");
        try (SchedulerHarness harness = SchedulerHarness.withSetting(
                "'tick':0.005", "'tick':0.005,'discovery':'ask'", discovery, new Endpoint("e1"))) {
            Peer watch = acceptWatch(discovery, "1");
            long startedAt = System.nanoTime();
            for (int i = 0; i < 4; i++) {
                watch.write(HEAD + chunk("{\"seq\":9,\"hosts\":7}\n"));
                watch = acceptWatch(discovery, "0");
            }
            // 0.1, 0.2, 0.4 and 0.8 s at least.
            assertTrue(secondsSince(startedAt) >= 1.5, "" + secondsSince(startedAt));
            assertEquals(0, harness.counter("discovery.lists"));
            watch.write(HEAD + chunk(SchedulerHarness.hostList(2, true)));
            harness.awaitCounter("discovery.lists", 1);
        }
    }

    /** Started without a list while discovery is down, a process could only refuse requests, so it is not ready. */
    @Test
    void withoutEndpointsAProcessIsReadyOnceItHasAList() throws Exception {
        Endpoint discovery = new Endpoint("d");
        // Referenced to the end: an unreachable socket may be closed at any time.
        try (SchedulerHarness harness = new SchedulerHarness(discovery);
                Peer silent = acceptWatch(discovery, "1")) {
            harness.awaitCounter("discovery.silent", 1);
            Peer client = harness.http();
            client.write("GET /health/ready HTTP/1.1\r\n\r\n");
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            Peer next = acceptWatch(discovery, "1").write(HEAD + chunk(SchedulerHarness.hostList(2, true)));
            harness.awaitCounter("discovery.lists", 1);
            next.write(chunk("\n"));
            assertTrue(!silent.socket.isClosed());
            client.write("GET /health/ready HTTP/1.1\r\n\r\n");
            assertTrue(client.message().startsWith("HTTP/1.1 200 "));
        }
    }

    /**
     * A process restarts without a list while discovery is unreachable. The operators allow each process 30 s to become
     * ready, and nine in ten 10 s. It used to stay unready as long as discovery was unreachable, and clients without
     * another scheduler got no answer, where a refusal would have told them when to retry.
     */
    @Test
    void withoutEndpointsAndDiscoveryAProcessIsReadyWithinTenSeconds() throws Exception {
        Endpoint discovery = new Endpoint("d");
        discovery.close();
        long start = System.nanoTime();
        try (SchedulerHarness harness = new SchedulerHarness(discovery);
                Peer client = harness.http()) {
            String ready;
            do {
                // The interval of the operators' front.
                Thread.sleep(100);
                ready = client.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
            } while (ready.startsWith("HTTP/1.1 503 ") && System.nanoTime() - start < 10_000_000_000L);
            assertTrue(ready.startsWith("HTTP/1.1 200 "), ready);
            assertEquals(0, harness.counter("discovery.lists"));
        }
    }

    /** Clients have a share of the descriptors, which the watch does not use. */
    @Test
    void idleClientsLeaveADescriptorForTheWatch() throws Exception {
        Endpoint discovery = new Endpoint("d");
        Endpoint endpoint1 = new Endpoint("e1");
        int clientDescriptors = 48;
        try (SchedulerHarness harness = new SchedulerHarness(discovery, 160, endpoint1)) {
            Peer watch = acceptWatch(discovery, "1");
            List<Peer> idle = new ArrayList<>();
            for (int i = 0; i < 2 * clientDescriptors; i++) {
                idle.add(harness.http());
            }
            harness.awaitCounter("http.gave_way", 1);
            watch.reset();
            acceptWatch(discovery, "1")
                    .write(HEAD + chunk(SchedulerHarness.hostList(2, false, endpoint1.host("Ready"))));
            harness.awaitCounter("discovery.lists", 1);
        }
    }
}
