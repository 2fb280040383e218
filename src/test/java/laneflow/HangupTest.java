package laneflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A hang-up must not end the machine, as it does where nobody handles it. */
class HangupTest {
    @Test
    void eachHangUpIsHeardAndEndsNothing() throws Exception {
        Semaphore heard = new Semaphore(0);
        Hangup.handle(heard::release);
        String self = String.valueOf(ProcessHandle.current().pid());
        for (int i = 0; i < 3; i++) {
            new ProcessBuilder("kill", "-HUP", self).start().waitFor();
            assertTrue(heard.tryAcquire(10, TimeUnit.SECONDS));
        }
    }
}
