package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import laneflow.net.Pace;
import laneflow.net.Ring;
import org.junit.jupiter.api.Test;

class HttpReaderTest {
    private static final String CHUNKED = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Pace UNBOUNDED = () -> true;

    private final StringBuilder body = new StringBuilder();
    private final HttpReader reader = new HttpReader(false, new BodySink());

    private final class BodySink implements HttpReader.Sink {
        @Override
        public void head(HttpHead head) {}

        @Override
        public void body(byte[] bytes) {
            body.append(new String(bytes, StandardCharsets.US_ASCII));
        }

        @Override
        public void end() {}
    }

    private static Ring ring(String text) {
        Ring ring = new Ring(1 << 20);
        assertTrue(ring.put(text.getBytes(StandardCharsets.US_ASCII)));
        return ring;
    }

    /** Guards against one message that takes as much of a turn as its sender likes. */
    @Test
    void aMessageIsReadInAsManyTurnsAsItsPaceAsks() throws HttpException {
        Ring ring = ring(CHUNKED + "1\r\nb\r\n".repeat(1000) + "0\r\n\r\n");
        int turns = 0;
        while (!reader.isDone()) {
            AtomicInteger steps = new AtomicInteger();
            reader.read(ring, () -> steps.incrementAndGet() <= 100);
            turns++;
        }
        assertEquals("b".repeat(1000), body.toString());
        // A head, a size, a part and an end for each chunk, the last size and the end of the trailers.
        assertEquals((1 + 3 * 1000 + 2 + 99) / 100, turns);
    }

    @Test
    void chunkSizesMayHaveExtensionsAndBlanks() throws HttpException {
        reader.read(ring(CHUNKED + " 3 ;name=value\r\nabc\r\n2\nd"), UNBOUNDED);
        assertEquals("abcd", body.toString());
        assertFalse(reader.isDone());
    }

    @Test
    void malformedChunksAreRejected() {
        for (String chunk : new String[] {"\r\n", "g\r\n", "-1\r\n", "12345678\r\n", "1\r\nab\r\n", "1 2\r\n"}) {
            HttpReader fresh = new HttpReader(false, new BodySink());
            HttpException error = assertThrows(HttpException.class, () -> fresh.read(ring(CHUNKED + chunk), UNBOUNDED));
            assertEquals(400, error.status, chunk);
        }
    }

    /** Guards against megabytes of chunk extensions around a body of an allowed length. */
    @Test
    void aBodyOfMostlyFramingIsRejected() {
        Ring ring = ring(CHUNKED + ("1;" + "x".repeat(200) + "\r\nb\r\n").repeat(200));
        HttpException error = assertThrows(HttpException.class, () -> reader.read(ring, UNBOUNDED));
        assertEquals("too much chunk framing", error.getMessage());
    }
}
