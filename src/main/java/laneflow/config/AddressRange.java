package laneflow.config;

import java.net.InetAddress;
import java.net.UnknownHostException;

/** A CIDR range of numeric addresses; host names are never resolved. */
public final class AddressRange {
    private final byte[] base;
    private final int bits;

    private AddressRange(byte[] base, int bits) {
        this.base = base;
        this.bits = bits;
    }

    /** Parses a range of the form ADDRESS/BITS. */
    public static AddressRange parse(String text) {
        String[] parts = text.split("/", 2);
        if (parts.length == 2 && parts[1].matches("[0-9]{1,3}") && parts[0].matches("[0-9.]+|[0-9a-fA-F:]+")) {
            try {
                byte[] base = InetAddress.getByName(parts[0]).getAddress();
                int bits = Integer.parseInt(parts[1]);
                if (bits <= base.length * 8) {
                    return new AddressRange(base, bits);
                }
            } catch (UnknownHostException e) {
                throw new IllegalArgumentException("'" + text + "' is no range: ADDRESS/BITS", e);
            }
        }
        throw new IllegalArgumentException("'" + text + "' is no range: ADDRESS/BITS");
    }

    public boolean contains(InetAddress address) {
        byte[] bytes = address.getAddress();
        if (bytes.length != base.length) {
            return false;
        }
        for (int bit = 0; bit < bits; bit++) {
            int mask = 0x80 >> bit % 8;
            if ((bytes[bit / 8] & mask) != (base[bit / 8] & mask)) {
                return false;
            }
        }
        return true;
    }
}
