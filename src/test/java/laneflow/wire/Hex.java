package laneflow.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HexFormat;

/** Builds frames from hexadecimal text, in which white space is ignored. */
final class Hex {
    private Hex() {}

    static byte[] bytes(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    static String hexOf(String ascii) {
        return hex(ascii.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    static String u32(int value) {
        return String.format("%08x", Integer.reverseBytes(value));
    }

    static String record(int code, String... fields) {
        String body = String.join("", fields).replaceAll("\\s", "");
        return String.format("%02x", code) + u32(body.length() / 2) + body;
    }

    /** A batch at clock 4.706 with these records. */
    static String batch(int batchNumber, String... records) {
        String body = String.join("", records).replaceAll("\\s", "");
        return u32(batchNumber) + u32(20 + body.length() / 2) + u32(records.length) + "508d976e12d31240" + body;
    }

    /** The host's replies to these frames, in hexadecimal. */
    static String answer(String... frames) throws IOException, WireException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(bytes(String.join("", frames))), out).run();
        return hex(out.toByteArray());
    }
}
