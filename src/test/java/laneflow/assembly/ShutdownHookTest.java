package laneflow.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import laneflow.net.Stand;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Signals that arrive while the scheduler is still starting: accepted requests must be answered all the same. */
@Timeout(120)
class ShutdownHookTest {
    @Test
    void aSignalDuringTheStartAnswersAcceptedRequests() throws Exception {
        Stand.Endpoint endpoint = new Stand.Endpoint("e1");
        CompletableFuture<Serve> startedServe = new CompletableFuture<>();
        // As the JVM does on SIGTERM: it runs the hook, though the start has not been reported as complete.
        Thread hook = Serve.shutdownHook(startedServe);
        hook.start();
        try (Stand stand = new Stand(null, endpoint);
                Peer client = stand.http()) {
            client.post("card-capture", "1", "", "");
            Peer attempt = endpoint.accept();
            attempt.message();
            assertTrue(hook.isAlive());
            startedServe.complete(stand.serve);
            attempt.says("{'id':'1','state':'done','result':'paid'}");
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
