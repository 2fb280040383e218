package laneflow.assembly;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A hang-up must not end the machine, as it does where nobody handles it. */
class HangupSignalTest {
    @Test
    void eachHangUpIsHeardAndEndsNothing() throws Exception {
        Semaphore heard = new Semaphore(0);
        assumeTrue(HangupSignal.handle(heard::release), "started with the signal ignored, as by nohup");
        String self = String.valueOf(ProcessHandle.current().pid());
        for (int i = 0; i < 3; i++) {
            new ProcessBuilder("kill", "-HUP", self).start().waitFor();
            assertTrue(heard.tryAcquire(10, TimeUnit.SECONDS));
        }
    }
}
