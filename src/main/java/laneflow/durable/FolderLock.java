package laneflow.durable;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;

/** The lock of a folder that belongs to one process at a time; it is held until its file is closed. */
public final class FolderLock {
    private FolderLock() {}

    /** True if this process has it now; false if another has, or this very one by another channel. */
    public static boolean tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }
}
