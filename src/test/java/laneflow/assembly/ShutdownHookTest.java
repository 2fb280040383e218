package laneflow.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Signals that arrive while the scheduler is still starting: accepted requests must be answered all the same. */
@Timeout(120)
class ShutdownHookTest {
    @Test
    void aSignalDuringTheStartAnswersAcceptedRequests() throws Exception {
        SchedulerHarness.Endpoint endpoint = new SchedulerHarness.Endpoint("e1");
        CompletableFuture<Serve> startedServe = new CompletableFuture<>();
        // As the JVM does on SIGTERM: it runs the hook, though the start has not been reported as complete.
        Thread hook = Serve.shutdownHook(startedServe);
        hook.start();
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("card-capture", "1", "", "");
            Peer attempt = endpoint.accept();
            attempt.message();
            assertTrue(hook.isAlive());
            startedServe.complete(harness.serve);
            attempt.respond("{'id':'1','state':'done','result':'paid'}");
            assertTrue(client.message().endsWith("paid"));
            hook.join();
        }
    }

    @Test
    void aFailedStartEndsTheHook() throws Exception {
        CompletableFuture<Serve> startedServe = new CompletableFuture<>();
        Thread hook = Serve.shutdownHook(startedServe);
        hook.start();
        startedServe.completeExceptionally(new IOException("its port is taken"));
        hook.join();
        assertTrue(!hook.isAlive());
    }
}
