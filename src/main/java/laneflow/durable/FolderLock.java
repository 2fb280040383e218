package laneflow.durable;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;

/** An exclusive lock on a folder for one process; it is held until the lock file is closed. */
public final class FolderLock {
    private FolderLock() {}

    /** Returns true if the lock was acquired; false if another process, or this one by another channel, holds it. */
    public static boolean tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }
}
