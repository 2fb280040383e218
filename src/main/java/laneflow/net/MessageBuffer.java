package laneflow.net;

import java.io.ByteArrayOutputStream;

/** A growing buffer for one message after the other. Unlike its superclass it releases its memory when emptied. */
public final class MessageBuffer extends ByteArrayOutputStream {
    private static final int INITIAL_CAPACITY = 256;

    public MessageBuffer() {
        super(INITIAL_CAPACITY);
    }

    /** The bytes of memory that it takes up. */
    public int capacity() {
        return buf.length;
    }

    /** Returns the content and empties the buffer. */
    public byte[] take() {
        byte[] content = toByteArray();
        reset();
        return content;
    }

    @Override
    public void reset() {
        super.reset();
        if (buf.length > INITIAL_CAPACITY) {
            buf = new byte[INITIAL_CAPACITY];
        }
    }
}
