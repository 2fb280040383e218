package laneflow.config;

import java.net.InetAddress;
import java.net.UnknownHostException;

/** A range of addresses in CIDR form, in figures; no names are looked up. */
public final class AddressRange {
    private final byte[] first;
    private final int bits;

    private AddressRange(byte[] first, int bits) {
        this.first = first;
        this.bits = bits;
    }

    /** Reads ADDRESS/BITS. */
    public static AddressRange parse(String text) {
        String[] parts = text.split("/", 2);
        if (parts.length == 2 && parts[1].matches("[0-9]{1,3}") && parts[0].matches("[0-9.]+|[0-9a-fA-F:]+")) {
            try {
                byte[] first = InetAddress.getByName(parts[0]).getAddress();
                int bits = Integer.parseInt(parts[1]);
                if (bits <= first.length * 8) {
                    return new AddressRange(first, bits);
                }
            } catch (UnknownHostException e) {
                throw new IllegalArgumentException("'" + text + "' is no range: ADDRESS/BITS", e);
            }
        }
        throw new IllegalArgumentException("'" + text + "' is no range: ADDRESS/BITS");
    }

    public boolean contains(InetAddress address) {
        byte[] bytes = address.getAddress();
        if (bytes.length != first.length) {
            return false;
        }
        for (int bit = 0; bit < bits; bit++) {
            int mask = 0x80 >> bit % 8;
            if ((bytes[bit / 8] & mask) != (first[bit / 8] & mask)) {
                return false;
            }
        }
        return true;
    }
}
