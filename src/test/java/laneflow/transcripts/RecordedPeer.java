package laneflow.transcripts;

import java.io.IOException;
import laneflow.net.Stand.Peer;

/** One end of a connection whose every message goes into a transcript, as a reader wants it: no CR, chunks as lines. */
final class RecordedPeer implements AutoCloseable {
    private static final String HEAD_END = "\r\n\r\n";

    final Peer peer;
    private final Transcript transcript;
    private final String name;
    private final String other;

    RecordedPeer(Transcript transcript, String name, String other, Peer peer) {
        this.transcript = transcript;
        this.name = name;
        this.other = other;
        this.peer = peer.noted(said -> transcript.message(name, other, readable(said)));
    }

    RecordedPeer(Transcript transcript, String name, Peer peer) {
        this(transcript, name, "scheduler", peer);
    }

    /** Hands in a job. */
    RecordedPeer post(String jobClass, String id, String more, String body) throws IOException {
        peer.post(jobClass, id, more, body);
        return this;
    }

    RecordedPeer write(String bytes) throws IOException {
        peer.write(bytes);
        return this;
    }

    /** Answers a call, as an endpoint does. */
    RecordedPeer reply(String... lines) throws IOException {
        peer.says(lines);
        return this;
    }

    /** The next message with its body, by its length. */
    String message() throws IOException {
        return heard(peer.message());
    }

    /** The head of a message. */
    String head() throws IOException {
        return heard(peer.readTo(HEAD_END));
    }

    /** One line of a message in chunks. */
    String chunk() throws IOException {
        int size = Integer.parseInt(peer.readTo("\r\n").strip(), 16);
        String line = new String(peer.read(size + 2), java.nio.charset.StandardCharsets.ISO_8859_1);
        transcript.message(other, name, line.strip());
        return line;
    }

    /** A line of text. */
    String line() throws IOException {
        return readUntil("\n");
    }

    /** Text up to that, which belongs to it. */
    String readUntil(String end) throws IOException {
        return heard(peer.readTo(end));
    }

    /** The other side ends the connection, and says nothing more. */
    void expectEnd() throws IOException {
        if (!peer.ended()) {
            throw new AssertionError(other + " says more to " + name);
        }
        transcript.note(other + " ends the connection with " + name);
    }

    /** Breaks the connection: the other side sees a reset. */
    void reset() throws IOException {
        transcript.note(name + " resets the connection with " + other);
        peer.reset();
    }

    void disconnect() throws IOException {
        transcript.note(name + " ends the connection with " + other);
        peer.close();
    }

    private String heard(String message) {
        transcript.message(other, name, readable(message));
        return message;
    }

    private static String readable(String said) {
        int head = said.startsWith("HTTP/") || said.contains(" HTTP/1.1\r\n") ? said.indexOf(HEAD_END) : -1;
        String body = head < 0 ? said : said.substring(head + HEAD_END.length());
        String front = head < 0 ? "" : said.substring(0, head) + "\n\n";
        return visible((front + chunks(body)).replace("\r\n", "\n"));
    }

    /** The lines of whole chunks, or the text as it is where it is none. */
    private static String chunks(String body) {
        StringBuilder lines = new StringBuilder();
        String left = body;
        while (!left.isEmpty()) {
            int at = left.indexOf("\r\n");
            String size = at < 0 ? "" : left.substring(0, at);
            if (!size.matches("[0-9a-f]{1,6}") || left.length() < at + 4 + Integer.parseInt(size, 16)) {
                return body;
            }
            int length = Integer.parseInt(size, 16);
            String data = left.substring(at + 2, at + 2 + length);
            lines.append(length == 0 ? "(last chunk)" : data.strip()).append('\n');
            left = left.substring(at + 4 + length);
        }
        return lines.toString();
    }

    private static String visible(String text) {
        StringBuilder shown = new StringBuilder();
        text.chars()
                .forEach(c -> shown.append(
                        c == '\n' || c >= ' ' && c < 127 ? String.valueOf((char) c) : String.format("\\x%02x", c)));
        return shown.toString();
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
