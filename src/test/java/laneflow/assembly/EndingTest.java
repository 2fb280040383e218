package laneflow.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A signal that comes while the scheduler is still being put together. */
@Timeout(120)
class EndingTest {
    @Test
    void aSignalAmidTheStartAnswersWhatWasTaken() throws Exception {
        SchedulerHarness.Endpoint endpoint = new SchedulerHarness.Endpoint("e1");
        CompletableFuture<Serve> serving = new CompletableFuture<>();
        // As the machine does on SIGTERM: its hook runs, though nobody has said yet that the scheduler stands.
        Thread hook = Serve.ending(serving);
        hook.start();
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("card-capture", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            assertTrue(hook.isAlive());
            serving.complete(harness.serve);
            call.respond("{'id':'1','state':'done','result':'paid'}");
            assertTrue(client.message().endsWith("paid"));
            hook.join();
        }
    }

    @Test
    void aStartThatFailsKeepsNobodyWaiting() throws Exception {
        CompletableFuture<Serve> serving = new CompletableFuture<>();
        Thread hook = Serve.ending(serving);
        hook.start();
        serving.completeExceptionally(new IOException("its port is taken"));
        hook.join();
        assertTrue(!hook.isAlive());
    }
}
