package laneflow.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** SIGHUP must reach the handler and must not end the JVM, which is its default effect. */
class HangupSignalTest {
    @Test
    void eachHangupIsHandledAndTheProcessGoesOn() throws Exception {
        Semaphore handled = new Semaphore(0);
        assumeTrue(HangupSignal.handle(handled::release), "started with the signal ignored, as by nohup");
        String processId = String.valueOf(ProcessHandle.current().pid());
        for (int i = 0; i < 3; i++) {
            new ProcessBuilder("kill", "-HUP", processId).start().waitFor();
            assertTrue(handled.tryAcquire(10, TimeUnit.SECONDS));
        }
    }
}
