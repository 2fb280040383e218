package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * One instance of a member: a process from its start, or from when it learned that it had been declared dead and
 * started over. Only one instance at a time holds a name.
 *
 * @param name of the scheduler, up to {@link #MAX_NAME_BYTES} bytes
 * @param generation increases with each instance of a name; initially the start time in Unix milliseconds
 * @param address source and destination of its datagrams
 * @param id hash of the other components
 */
public record MemberInstance(String name, long generation, InetSocketAddress address, long id) {
    /** Limit on the name's length in UTF-8. */
    public static final int MAX_NAME_BYTES = 64;
    /** Larger values come from no clock and are rejected. */
    public static final long MAX_GENERATION = 1L << 53;

    public static MemberInstance of(String name, long generation, InetSocketAddress address) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(generation).array());
            digest.update(address.getAddress().getAddress());
            digest.update((byte) address.getPort());
            digest.update((byte) (address.getPort() >> Byte.SIZE));
            byte[] hash = digest.digest(name.getBytes(StandardCharsets.UTF_8));
            long id = ByteBuffer.wrap(hash).getLong();
            // 0 stands for no instance.
            return new MemberInstance(name, generation, address, id == 0 ? 1 : id);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("required algorithm is missing: SHA-256", e);
        }
    }

    /** The next instance of the same process. */
    MemberInstance nextInstance(long minGeneration) {
        return of(name, Math.max(generation + 1, minGeneration), address);
    }

    @Override
    public String toString() {
        return name + "#" + generation;
    }
}
