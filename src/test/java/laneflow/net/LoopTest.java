package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Exceptions and errors of an action are rethrown to the thread that waits for it, and the loop continues. */
@Timeout(30)
class LoopTest {
    private Loop loop;

    @BeforeEach
    void createLoop() throws Exception {
        loop = new Loop(8);
    }

    @AfterEach
    void stopLoop() throws InterruptedException {
        loop.stop();
    }

    @Test
    void failedCallIsRethrownAndTheLoopContinues() throws Exception {
        IllegalStateException exception = new IllegalStateException("a fault");
        assertSame(
                exception,
                assertThrows(
                        IllegalStateException.class,
                        () -> loop.call(() -> {
                            throw exception;
                        })));
        AssertionError error = new AssertionError("an expectation");
        assertSame(
                error,
                assertThrows(
                        AssertionError.class,
                        () -> loop.call(() -> {
                            throw error;
                        })));
        List<String> ran = new ArrayList<>();
        loop.call(() -> ran.add("the next one"));
        assertEquals(List.of("the next one"), ran);
    }
}
