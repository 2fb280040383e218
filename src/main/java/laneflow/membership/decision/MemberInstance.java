package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * One life of a member: a process that was started, or that found itself buried and begins anew. Of one name
 * only one life counts.
 *
 * @param name of the scheduler, up to {@link #MAX_NAME_BYTES} bytes
 * @param generation grows from one life of a name to the next, at first Unix milliseconds of the start
 * @param address where its datagrams come from and go to
 * @param id the life in eight bytes
 */
public record MemberInstance(String name, long generation, InetSocketAddress address, long id) {
    /** Bytes of UTF-8. */
    public static final int MAX_NAME_BYTES = 64;
    /** No clock says more; what does is no generation. */
    public static final long MAX_GENERATION = 1L << 53;

    public static MemberInstance of(String name, long generation, InetSocketAddress at) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(generation).array());
            digest.update(at.getAddress().getAddress());
            digest.update((byte) at.getPort());
            digest.update((byte) (at.getPort() >> Byte.SIZE));
            byte[] hash = digest.digest(name.getBytes(StandardCharsets.UTF_8));
            long id = ByteBuffer.wrap(hash).getLong();
            // Nothing is nobody's.
            return new MemberInstance(name, generation, at, id == 0 ? 1 : id);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** The next life of the same process. */
    MemberInstance next(long atLeast) {
        return of(name, Math.max(generation + 1, atLeast), address);
    }

    @Override
    public String toString() {
        return name + "#" + generation;
    }
}
