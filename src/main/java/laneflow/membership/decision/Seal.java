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
 * Authenticates datagrams. The header holds the version, a key fingerprint and a sequence number unique to the
 * sending instance; a message authentication code over header and content follows (HMAC-SHA256 truncated to 16
 * bytes). Two keys may be configured for rotation: the first signs, both verify.
 */
public final class Seal {
    /** Limit on the size of a datagram. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** Bytes of the header and the code before the content. */
    public static final int OVERHEAD_BYTES = 22;

    private static final byte VERSION = 1;
    private static final int MAC_BYTES = 16;
    private static final int HEADER_BYTES = OVERHEAD_BYTES - MAC_BYTES;
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_KEY_CHARS = 16;
    private static final int MAX_KEYS = 2;

    private record Key(byte fingerprint, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();
    private int lastSequenceNumber;

    /** Signs with the first of these keys. */
    public Seal(List<String> keyTexts, int initialSequenceNumber) {
        lastSequenceNumber = initialSequenceNumber;
        setKeys(keyTexts);
    }

    /** Describes why the keys are invalid; null if they are valid. */
    public static String invalidKeys(List<String> keyTexts) {
        if (keyTexts.isEmpty() || keyTexts.size() > MAX_KEYS) {
            return "has " + keyTexts.size() + " keys; expected one, or two during a key rotation";
        }
        for (String text : keyTexts) {
            if (!text.matches("[!-~]{" + MIN_KEY_CHARS + ",}")) {
                return "has a key shorter than " + MIN_KEY_CHARS
                        + " characters or with other than visible ASCII characters";
            }
        }
        return null;
    }

    /** Replaces the keys. */
    public void setKeys(List<String> keyTexts) {
        String invalid = invalidKeys(keyTexts);
        if (invalid != null) {
            throw new IllegalArgumentException(invalid);
        }
        keys.clear();
        for (String text : keyTexts) {
            byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(bytes, ALGORITHM));
                keys.add(new Key(MessageDigest.getInstance("SHA-256").digest(bytes)[0], mac));
            } catch (NoSuchAlgorithmException | InvalidKeyException e) {
                throw new IllegalStateException("required algorithm is missing: " + ALGORITHM, e);
            }
        }
    }

    /** Returns a signed datagram with this content. */
    public byte[] wrap(byte[] content) {
        Key key = keys.get(0);
        byte[] datagram = new byte[OVERHEAD_BYTES + content.length];
        ByteBuffer buffer =
                ByteBuffer.wrap(datagram).put(VERSION).put(key.fingerprint).putInt(++lastSequenceNumber);
        System.arraycopy(content, 0, datagram, OVERHEAD_BYTES, content.length);
        buffer.put(computeMac(key, datagram, datagram.length), 0, MAC_BYTES);
        return datagram;
    }

    private static byte[] computeMac(Key key, byte[] datagram, int length) {
        key.mac.update(datagram, 0, HEADER_BYTES);
        key.mac.update(datagram, OVERHEAD_BYTES, length - OVERHEAD_BYTES);
        return key.mac.doFinal();
    }

    /** Whether one of the keys signed the datagram; its content follows {@link #OVERHEAD_BYTES} bytes. */
    public boolean isAuthentic(byte[] datagram, int length) {
        if (length <= OVERHEAD_BYTES || length > MAX_DATAGRAM_BYTES || datagram[0] != VERSION) {
            return false;
        }
        byte[] receivedMac = new byte[MAC_BYTES];
        System.arraycopy(datagram, HEADER_BYTES, receivedMac, 0, MAC_BYTES);
        for (Key key : keys) {
            if (key.fingerprint == datagram[1]) {
                byte[] fullMac = computeMac(key, datagram, length);
                byte[] expectedMac = new byte[MAC_BYTES];
                System.arraycopy(fullMac, 0, expectedMac, 0, MAC_BYTES);
                if (MessageDigest.isEqual(expectedMac, receivedMac)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The sequence number of an authentic datagram. */
    public static int sequenceNumber(byte[] datagram) {
        return ByteBuffer.wrap(datagram).getInt(2);
    }
}
