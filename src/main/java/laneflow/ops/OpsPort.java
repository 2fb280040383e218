package laneflow.ops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The second address: on-call staff send one line a connection and read one line that begins with "done" or
 * "error". It has descriptors of its own, so that it answers when clients have taken all others; a new caller
 * takes the place of the stalest, so that callers who say nothing shut it to nobody. On the loop's thread.
 */
public final class OpsPort {
    private static final Logger LOG = LoggerFactory.getLogger(OpsPort.class);
    /** Callers at once. */
    static final int MOST = 24;
    /** The longest line, its end included. */
    static final int MOST_LINE = 256;
    /** From coming up to the end of the line; callers are programs, and people who type ahead. */
    private static final long WITHIN = 3_000_000;

    private static final int RING = 4 * 1024;

    /** What a call does; its answer may come later, but comes. */
    public interface Call {
        void run(String[] words, Consumer<String> answer);
    }

    private record Entry(int words, String form, Call call) {}

    private final Loop loop;
    private final Map<String, Entry> calls = new TreeMap<>();
    /** Those connected, the stalest first. */
    private final List<Caller> callers = new ArrayList<>();

    private Loop.Listener listener;

    public OpsPort(Loop loop) {
        this.loop = loop;
    }

    /** Adds a call by its form, such as "set-down ID": its name and a word for each argument. */
    public void add(String form, Call call) {
        String[] words = form.split(" ");
        calls.put(words[0], new Entry(words.length, form, call));
    }

    public void listen(InetSocketAddress at) throws IOException {
        listener = loop.listenWithOwnLimit(at, RING, RING, MOST, this::makeRoom, Caller::new);
        listener.begin();
        LOG.info("operators' calls at {}", listener.address());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Who has the answer gives way first, then who has been silent for longest; a call at work never. */
    private boolean makeRoom() {
        Caller stalest = null;
        for (Caller caller : callers) {
            if (caller.answered) {
                stalest = caller;
                break;
            }
            stalest = stalest == null && !caller.atWork ? caller : stalest;
        }
        if (stalest == null) {
            return false;
        }
        stalest.leave();
        return true;
    }

    /** One who calls. */
    private final class Caller implements LinkHandler {
        private final Deadline timer = loop.deadlines().create(this::late);
        private Link link;
        private boolean atWork;
        private boolean answered;

        @Override
        public void opened(Link up) {
            link = up;
            callers.add(this);
            loop.deadlines().set(timer, loop.micros() + WITHIN);
        }

        private void late() {
            if (link.in.isEmpty()) {
                leave();
            } else {
                answer("error the line did not end in time");
            }
        }

        private void leave() {
            over();
            link.close();
        }

        private void over() {
            loop.deadlines().cancel(timer);
            callers.remove(this);
        }

        @Override
        public void received(Link from) {
            if (atWork || answered) {
                link.in.skip(link.in.size());
                return;
            }
            int end = link.in.indexOf((byte) '\n', 0);
            if (end < 0 ? link.in.size() >= MOST_LINE : end >= MOST_LINE) {
                answer("error a line holds " + MOST_LINE + " bytes at most");
            } else if (end >= 0) {
                byte[] line = new byte[end + 1];
                link.in.take(line, 0, line.length);
                int length = end > 0 && line[end - 1] == '\r' ? end - 1 : end;
                run(line, length);
            }
        }

        private void run(byte[] line, int length) {
            for (int i = 0; i < length; i++) {
                if (line[i] < ' ' || line[i] > '~') {
                    answer("error the line holds what is no plain text");
                    return;
                }
            }
            String[] words = new String(line, 0, length, StandardCharsets.US_ASCII)
                    .strip()
                    .split(" +");
            Entry entry = calls.get(words[0]);
            if (entry == null) {
                answer("error known calls are " + forms());
            } else if (words.length != entry.words) {
                answer("error the form is " + entry.form);
            } else {
                atWork = true;
                loop.deadlines().cancel(timer);
                entry.call.run(words, this::answer);
            }
        }

        private String forms() {
            return String.join(", ", calls.values().stream().map(Entry::form).toList());
        }

        private void answer(String text) {
            if (answered || link.isClosed()) {
                return;
            }
            answered = true;
            loop.deadlines().cancel(timer);
            link.out.put((text + "\n").getBytes(StandardCharsets.US_ASCII));
            link.endOutputWhenFlushed();
        }

        @Override
        public void disconnected(Link gone) {
            over();
        }
    }
}
