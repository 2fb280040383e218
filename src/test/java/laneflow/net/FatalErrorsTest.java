package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import laneflow.lab.rig.ChildProcesses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process whose loop can't go on must end, and one whose event failed must not. */
@Timeout(60)
class FatalErrorsTest {
    private static final int HEAP_MB = 32;

    @TempDir
    private Path folder;

    /** Runs a loop in which an event throws the error of that name, and ends with code 0 if the loop still works. */
    public static final class FailingLoop {
        public static void main(String[] arguments) throws Exception {
            FatalErrors.endProcessIfUncaught();
            Loop loop = new Loop(128);
            Error error = (Error)
                    Class.forName("java.lang." + arguments[0]).getConstructor().newInstance();
            loop.call(() -> loop.deadlines().at(loop.micros(), () -> {
                throw error;
            }));
            loop.later(() -> {
                throw error;
            });
            loop.call(() -> {});
            loop.call(() -> {});
            loop.stop();
            System.exit(0);
        }
    }

    private int exitCode(String error) throws Exception {
        try (ChildProcesses processes = new ChildProcesses(folder)) {
            Process process = processes.start(error, HEAP_MB, FailingLoop.class, error);
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), processes.log(error));
            return process.exitValue();
        }
    }

    /** Guards against a process that stays up without serving after an error of the JVM. */
    @Test
    void errorOfTheJvmEndsTheProcess() throws Exception {
        assertEquals(3, exitCode("OutOfMemoryError"));
        assertEquals(3, exitCode("InternalError"));
    }

    @Test
    void failureOfOneEventDoesNotEndTheProcess() throws Exception {
        assertEquals(0, exitCode("StackOverflowError"));
        assertEquals(0, exitCode("AssertionError"));
    }
}
