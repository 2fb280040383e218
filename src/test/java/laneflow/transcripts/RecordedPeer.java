package laneflow.transcripts;

import java.io.IOException;
import laneflow.net.SchedulerHarness.Peer;

/** One end of a connection that records every message in a transcript, in readable form: no CR, chunks as lines. */
final class RecordedPeer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    final Peer peer;
    private final Transcript transcript;
    private final String name;
    private final String otherName;

    RecordedPeer(Transcript transcript, String name, String otherName, Peer peer) {
        this.transcript = transcript;
        this.name = name;
        this.otherName = otherName;
        this.peer = peer.recordTo(text -> transcript.message(name, otherName, readable(text)));
    }

    RecordedPeer(Transcript transcript, String name, Peer peer) {
        this(transcript, name, "scheduler", peer);
    }

    /** Submits a job. */
    RecordedPeer post(String jobClass, String id, String extraHeaders, String body) throws IOException {
        peer.post(jobClass, id, extraHeaders, body);
        return this;
    }

    RecordedPeer write(String bytes) throws IOException {
        peer.write(bytes);
        return this;
    }

    /** Answers an attempt, as an endpoint does. */
    RecordedPeer reply(String... lines) throws IOException {
        peer.respond(lines);
        return this;
    }

    /** Reads the next message with its body, by its content length. */
    String message() throws IOException {
        return recorded(peer.message());
    }

    /** Reads the head of a message. */
    String head() throws IOException {
        return recorded(peer.readTo(HEAD_END));
    }

    /** Reads one line of a chunked message. */
    String chunk() throws IOException {
        int size = Integer.parseInt(peer.readTo("\r\n").strip(), 16);
        String line = new String(peer.read(size + 2), java.nio.charset.StandardCharsets.ISO_8859_1);
        transcript.message(otherName, name, line.strip());
        return line;
    }

    /** Reads a line of text. */
    String line() throws IOException {
        return readUntil("\n");
    }

    /** Reads text up to and including the given end. */
    String readUntil(String end) throws IOException {
        return recorded(peer.readTo(end));
    }

    /** Expects the other side to end the connection without sending anything more. */
    void expectEnd() throws IOException {
        if (!peer.isClosedByPeer()) {
            throw new AssertionError(otherName + " sends more to " + name);
        }
        transcript.note(otherName + " ends the connection with " + name);
    }

    /** Breaks the connection: the other side sees a reset. */
    void reset() throws IOException {
        transcript.note(name + " resets the connection with " + otherName);
        peer.reset();
    }

    void disconnect() throws IOException {
        transcript.note(name + " ends the connection with " + otherName);
        peer.close();
    }

    private String recorded(String message) {
        transcript.message(otherName, name, readable(message));
        return message;
    }

    private static String readable(String text) {
        int headEnd = text.startsWith("HTTP/") || text.contains(" HTTP/1.1\r\n") ? text.indexOf(HEAD_END) : -1;
        String body = headEnd < 0 ? text : text.substring(headEnd + HEAD_END.length());
        String headText = headEnd < 0 ? "" : text.substring(0, headEnd) + "\n\n";
        return visible((headText + chunks(body)).replace("\r\n", "\n"));
    }

    /** The lines of complete chunks, or the text unchanged if it is not chunked. */
    private static String chunks(String body) {
        StringBuilder lines = new StringBuilder();
        String remaining = body;
        while (!remaining.isEmpty()) {
            int sizeEnd = remaining.indexOf("\r\n");
            String size = sizeEnd < 0 ? "" : remaining.substring(0, sizeEnd);
            if (!size.matches("[0-9a-f]{1,6}") || remaining.length() < sizeEnd + 4 + Integer.parseInt(size, 16)) {
                return body;
            }
            int length = Integer.parseInt(size, 16);
            String data = remaining.substring(sizeEnd + 2, sizeEnd + 2 + length);
            lines.append(length == 0 ? "(last chunk)" : data.strip()).append('\n');
            remaining = remaining.substring(sizeEnd + 4 + length);
        }
        return lines.toString();
    }

    private static String visible(String text) {
        StringBuilder escaped = new StringBuilder();
        text.chars()
                .forEach(c -> escaped.append(
                        c == '\n' || c >= ' ' && c < 127 ? String.valueOf((char) c) : String.format("\\x%02x", c)));
        return escaped.toString();
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
