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
import laneflow.net.Listener;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The ops port, the scheduler's second address: on-call staff send one command line per connection and read one reply
 * line that begins with "done" or "error". It has file descriptors of its own, so that it works when clients use all
 * others; a new caller displaces the oldest idle one, so that silent callers can't block it. Runs on the loop's thread.
 */
public final class OpsPort {
    private static final Logger LOG = LoggerFactory.getLogger(OpsPort.class);
    /** Maximum of concurrent callers. */
    static final int MAX_CALLERS = 24;
    /** Maximum length of a command line, including its end. */
    static final int MAX_LINE_BYTES = 256;
    /** Time from the connection to the end of the line, for programs and for people who type ahead. */
    private static final long LINE_TIMEOUT_US = 3_000_000;

    private static final int RING_BYTES = 4 * 1024;

    /** A command; it must reply exactly once, now or later. */
    public interface Command {
        /** @param words the command's name and its arguments */
        void run(String[] words, Consumer<String> answer);
    }

    private record CommandEntry(int wordCount, String usage, Command command) {}

    private final Loop loop;
    private final Map<String, CommandEntry> commands = new TreeMap<>();
    /** Connected callers, the oldest first. */
    private final List<Caller> callers = new ArrayList<>();

    private Listener listener;

    public OpsPort(Loop loop) {
        this.loop = loop;
    }

    /** Adds a command by its usage, such as "set-down ID": its name and a word for each argument. */
    public void add(String usage, Command command) {
        String[] words = usage.split(" ");
        commands.put(words[0], new CommandEntry(words.length, usage, command));
    }

    public void listen(InetSocketAddress address) throws IOException {
        listener = loop.listenWithOwnLimit(address, RING_BYTES, RING_BYTES, MAX_CALLERS, this::makeRoom, Caller::new);
        listener.begin();
        LOG.info("operators' calls at {}", listener.address());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Displaces a caller that has its reply, else the oldest silent one; never one whose command is running. */
    private boolean makeRoom() {
        Caller candidate = null;
        for (Caller caller : callers) {
            if (caller.answered) {
                candidate = caller;
                break;
            }
            candidate = candidate == null && !caller.running ? caller : candidate;
        }
        if (candidate == null) {
            return false;
        }
        candidate.disconnect();
        return true;
    }

    /** A caller's connection. */
    private final class Caller implements LinkHandler {
        private final Deadline timer = loop.deadlines().create(this::lineTimedOut);
        private Link link;
        private boolean running;
        private boolean answered;

        @Override
        public void opened(Link opened) {
            link = opened;
            callers.add(this);
            loop.deadlines().set(timer, loop.micros() + LINE_TIMEOUT_US);
        }

        private void lineTimedOut() {
            if (link.in.isEmpty()) {
                disconnect();
            } else {
                reply("error the line did not end in time");
            }
        }

        private void disconnect() {
            release();
            link.close();
        }

        private void release() {
            loop.deadlines().cancel(timer);
            callers.remove(this);
        }

        @Override
        public void received(Link from) {
            if (running || answered) {
                link.in.skip(link.in.size());
                return;
            }
            int end = link.in.indexOf((byte) '\n', 0);
            if (end < 0 ? link.in.size() >= MAX_LINE_BYTES : end >= MAX_LINE_BYTES) {
                reply("error a line holds " + MAX_LINE_BYTES + " bytes at most");
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
                    reply("error the line holds what is no plain text");
                    return;
                }
            }
            String[] words = new String(line, 0, length, StandardCharsets.US_ASCII)
                    .strip()
                    .split(" +");
            CommandEntry entry = commands.get(words[0]);
            if (entry == null) {
                reply("error known calls are " + usages());
            } else if (words.length != entry.wordCount) {
                reply("error the form is " + entry.usage);
            } else {
                running = true;
                loop.deadlines().cancel(timer);
                entry.command.run(words, this::reply);
            }
        }

        private String usages() {
            return String.join(
                    ", ", commands.values().stream().map(CommandEntry::usage).toList());
        }

        private void reply(String text) {
            if (answered || link.isClosed()) {
                return;
            }
            answered = true;
            loop.deadlines().cancel(timer);
            link.out.put((text + "\n").getBytes(StandardCharsets.US_ASCII));
            link.endOutputWhenFlushed();
        }

        @Override
        public void disconnected(Link closed) {
            release();
        }
    }
}
