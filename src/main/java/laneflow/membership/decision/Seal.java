package laneflow.membership.decision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What goes around a datagram's content: version, key, a number that no datagram of the same life has twice,
 * and a code of authenticity (HMAC-SHA256 of the JDK, its first 16 bytes) over all the rest. Two keys may be
 * known at a time, so that a fleet can go from one to the other: the first seals, either opens.
 */
public final class Seal {
    /** Bytes of any datagram. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** Bytes around the content. */
    public static final int OVERHEAD_BYTES = 22;

    private static final byte VERSION = 1;
    private static final int MAC = 16;
    private static final int BEFORE = OVERHEAD_BYTES - MAC;
    private static final String ALGORITHM = "HmacSHA256";
    private static final int LEAST_KEY = 16;
    private static final int MOST_KEYS = 2;

    private record Key(byte mark, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();
    private int number;

    /** Seals by the first of these keys. */
    public Seal(List<String> texts, int firstNumber) {
        number = firstNumber;
        setKeys(texts);
    }

    /** Why these can't be keys; null if they can. */
    public static String invalidKeys(List<String> texts) {
        if (texts.isEmpty() || texts.size() > MOST_KEYS) {
            return "holds " + texts.size() + " keys: one, or two while they are changed";
        }
        for (String text : texts) {
            if (!text.matches("[!-~]{" + LEAST_KEY + ",}")) {
                return "holds a key that is shorter than " + LEAST_KEY + " visible characters, or has others";
            }
        }
        return null;
    }

    /** Goes by these from now on. */
    public void setKeys(List<String> texts) {
        String unfit = invalidKeys(texts);
        if (unfit != null) {
            throw new IllegalArgumentException(unfit);
        }
        keys.clear();
        for (String text : texts) {
            byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(bytes, ALGORITHM));
                keys.add(new Key(MessageDigest.getInstance("SHA-256").digest(bytes)[0], mac));
            } catch (NoSuchAlgorithmException | InvalidKeyException e) {
                throw new IllegalStateException("every Java has " + ALGORITHM, e);
            }
        }
    }

    /** A datagram with that content. */
    public byte[] wrap(byte[] content) {
        Key key = keys.get(0);
        byte[] all = new byte[OVERHEAD_BYTES + content.length];
        ByteBuffer to = ByteBuffer.wrap(all).put(VERSION).put(key.mark).putInt(++number);
        System.arraycopy(content, 0, all, OVERHEAD_BYTES, content.length);
        to.put(code(key, all, all.length), 0, MAC);
        return all;
    }

    private static byte[] code(Key key, byte[] all, int length) {
        key.mac.update(all, 0, BEFORE);
        key.mac.update(all, OVERHEAD_BYTES, length - OVERHEAD_BYTES);
        return key.mac.doFinal();
    }

    /** True if it was sealed by one of the keys; the content is behind the first {@link #OVERHEAD_BYTES} bytes. */
    public boolean isAuthentic(byte[] all, int length) {
        if (length <= OVERHEAD_BYTES || length > MAX_DATAGRAM_BYTES || all[0] != VERSION) {
            return false;
        }
        byte[] shown = new byte[MAC];
        System.arraycopy(all, BEFORE, shown, 0, MAC);
        for (Key key : keys) {
            if (key.mark == all[1]) {
                byte[] code = code(key, all, length);
                byte[] first = new byte[MAC];
                System.arraycopy(code, 0, first, 0, MAC);
                if (MessageDigest.isEqual(first, shown)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The number of a datagram that is whole. */
    public static int sequenceNumber(byte[] all) {
        return ByteBuffer.wrap(all).getInt(2);
    }
}
