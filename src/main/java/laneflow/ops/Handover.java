package laneflow.ops;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What two processes of one scheduler agree on while one takes the other's place: who takes clients, what
 * operators have ordered, and when limits are shared. The one that served first is the elder, the one that
 * was started beside it the younger; with a third start one process is both. No I/O and no clock: a line or
 * an end that comes in is an event, what is to be done is asked of the {@link Host}.
 *
 * <pre>
 *   younger                                elder
 *   laneflow-handover 1   ------------->   limits are shared from here on
 *                         <-------------   laneflow-handover 1, order ..., known
 *   (can serve, takes clients)
 *   serving               ------------->   takes no more clients, sends its own away
 *                         <-------------   handed
 *   either side: alive; tell N ORDER, answered with held N
 * </pre>
 *
 * <p>Clients wait in a queue that both share, so for both to take them is harmless and for neither is not:
 * whoever is in doubt takes them. An end or a silence of the younger puts the elder back in its place.
 */
final class Handover {
    static final String HELLO = "laneflow-handover 1";
    /** Without a line for so long the other one hangs: it is let go. Signs of life come every half second. */
    static final long SILENCE = 3_000_000;

    private static final long ALIVE = 500_000;
    /** The elder has so long to confirm before the younger goes on without its word. */
    private static final long CONFIRM = 500_000;
    /** An order has so long to be confirmed: its caller is owed an answer within a second. */
    private static final long HELD = 700_000;
    /** One whose elder is gone looks again so much later: it may be it that was let go, while it hung. */
    private static final long SEEK = 300_000;

    /** The way to another process. */
    interface Pipe {
        void send(String line);

        void close();
    }

    /** Who carries it out; it calls back into no event from there. */
    interface Host {
        /** Takes clients from the shared queue, or leaves them to the other one. */
        void accept(boolean on);

        /** Sends the clients that are connected away, or keeps them again. */
        void sendAway(boolean on);

        /** What this process is of its scheduler now: its limits follow from that. */
        void is(Role role);

        /** Further starts are to find this process, whoever they would have found. */
        void settle();

        /** Who is there is met; if nobody is, further starts are to find this process. */
        void seek();

        /** Carries out what the other process was ordered. */
        void obey(String order);

        /** Reads again what operators have ordered, from where every process writes it down. */
        void recall();

        /** What operators have ordered and still holds. */
        List<String> orders();
    }

    /** All of a scheduler, the one that has its clients while another one ends, or the one that ends. */
    enum Role {
        ALONE,
        NEWER,
        OLDER
    }

    private enum Stage {
        MET,
        KNOWN,
        SERVING,
        HANDED
    }

    private static final class Other {
        final Pipe pipe;
        Stage stage = Stage.MET;
        long heardAt;
        long since;

        Other(Pipe pipe, long now) {
            this.pipe = pipe;
            heardAt = now;
            since = now;
        }
    }

    private static final class Pending {
        final Set<Other> awaited = new HashSet<>();
        Consumer<Boolean> then;
        long until;
    }

    private final Host host;
    private Other elder;
    private Other younger;
    private boolean serving;
    private boolean placed;
    private long seekAt = Long.MAX_VALUE;
    private long saidAt;
    private int told;
    private final Map<Integer, Pending> pending = new LinkedHashMap<>();

    Handover(Host host) {
        this.host = host;
    }

    // ---- the younger's side ----

    /**
     * An elder is there. Whoever has a younger meets nobody: it would be that very one, and each would end in
     * the other's favour.
     */
    void met(long now, Pipe pipe) {
        if (elder != null || younger != null) {
            pipe.close();
            return;
        }
        elder = new Other(pipe, now);
        pipe.send(HELLO);
        tell();
    }

    /** True until the elder has told what it knows, or is gone. */
    boolean isWaiting() {
        return elder != null && elder.stage == Stage.MET;
    }

    /** This process can serve: from here on it takes clients. */
    void serving(long now) {
        if (serving) {
            return;
        }
        serving = true;
        host.accept(true);
        tell();
        if (elder == null) {
            seekAt = Math.min(seekAt, now);
        } else {
            offer(now);
        }
    }

    private void offer(long now) {
        if (serving && elder.stage == Stage.KNOWN) {
            elder.stage = Stage.SERVING;
            elder.since = now;
            elder.pipe.send("serving");
        }
    }

    /** True once callers may rely on this process: it takes clients, and the elder has had time to stop. */
    boolean isInPlace(long now) {
        placed |= serving && (elder == null || elder.stage == Stage.HANDED || now - elder.since > CONFIRM);
        return placed;
    }

    // ---- the elder's side ----

    /** A process has come that asks for this one's place; one at a time is heard. */
    void asked(long now, Pipe pipe) {
        if (younger != null || !serving) {
            pipe.close();
            return;
        }
        younger = new Other(pipe, now);
    }

    /** True once another process takes the clients. */
    boolean isSuperseded() {
        return younger != null && younger.stage == Stage.HANDED;
    }

    // ---- both ----

    boolean isAlone() {
        return elder == null && younger == null;
    }

    void line(long now, Pipe from, String text) {
        Other other = other(from);
        if (other == null) {
            return;
        }
        other.heardAt = now;
        String[] words = text.split(" ", 3);
        if (other.stage == Stage.MET) {
            greeted(now, other, text);
        } else if (words[0].equals("tell") && words.length == 3) {
            told(now, other, words[1], words[2]);
        } else if (words[0].equals("held") && words.length == 2) {
            held(other, words[1]);
        } else if (other == younger && text.equals("serving") && other.stage == Stage.KNOWN) {
            other.stage = Stage.HANDED;
            host.accept(false);
            host.sendAway(true);
            tell();
            other.pipe.send("handed");
        } else if (other == elder && text.equals("handed") && other.stage == Stage.SERVING) {
            other.stage = Stage.HANDED;
            host.settle();
        }
    }

    /** Before anything else both say which version they speak; another one is not spoken with. */
    private void greeted(long now, Other other, String text) {
        if (other == younger) {
            if (!text.equals(HELLO)) {
                other.pipe.send(HELLO);
                drop(now, other);
                return;
            }
            other.stage = Stage.KNOWN;
            host.recall();
            other.pipe.send(HELLO);
            host.orders().forEach(order -> other.pipe.send("order " + order));
            other.pipe.send("known");
        } else if (text.equals("known")) {
            other.stage = Stage.KNOWN;
            offer(now);
        } else if (text.startsWith("order ")) {
            host.obey(text.substring(6));
        } else if (!text.equals(HELLO) && !text.equals("alive")) {
            drop(now, other);
        }
    }

    void gone(long now, Pipe pipe) {
        Other other = other(pipe);
        if (other != null) {
            drop(now, other);
        }
    }

    private void drop(long now, Other other) {
        other.pipe.close();
        // One that was let go while it hung is not told what was ordered meanwhile.
        host.recall();
        for (Integer number : new ArrayList<>(pending.keySet())) {
            confirmed(number, other);
        }
        if (other == younger) {
            boolean superseded = isSuperseded();
            younger = null;
            if (superseded) {
                host.accept(true);
                host.sendAway(false);
                host.settle();
            }
        } else {
            elder = null;
            seekAt = now + SEEK;
        }
        tell();
    }

    private void tell() {
        host.is(isSuperseded() ? Role.OLDER : elder != null && serving ? Role.NEWER : Role.ALONE);
    }

    /** Time passes. */
    void tick(long now) {
        for (Other other : new Other[] {elder, younger}) {
            if (other != null && now - other.heardAt > SILENCE) {
                drop(now, other);
            } else if (other != null && now - saidAt >= ALIVE) {
                other.pipe.send("alive");
            }
        }
        if (serving && elder == null && younger == null && now >= seekAt) {
            seekAt = Long.MAX_VALUE;
            host.seek();
        }
        saidAt = now - saidAt >= ALIVE ? now : saidAt;
        for (Map.Entry<Integer, Pending> each : new ArrayList<>(pending.entrySet())) {
            if (now > each.getValue().until) {
                pending.remove(each.getKey());
                each.getValue().then.accept(false);
            }
        }
    }

    private Other other(Pipe pipe) {
        return elder != null && elder.pipe == pipe ? elder : younger != null && younger.pipe == pipe ? younger : null;
    }

    // ---- orders ----

    /** An order that holds here already; then hears whether it holds everywhere. */
    void ordered(long now, String order, Consumer<Boolean> then) {
        spread(now, null, order, then);
    }

    private void spread(long now, Other not, String order, Consumer<Boolean> then) {
        Pending all = new Pending();
        all.then = then;
        all.until = now + HELD;
        int number = ++told;
        for (Other other : new Other[] {elder, younger}) {
            // Who has not been told what holds yet hears it with the rest.
            if (other != null && other != not && (other == elder || other.stage != Stage.MET)) {
                all.awaited.add(other);
            }
        }
        if (all.awaited.isEmpty()) {
            then.accept(true);
            return;
        }
        pending.put(number, all);
        all.awaited.forEach(other -> other.pipe.send("tell " + number + " " + order));
    }

    private void told(long now, Other by, String number, String order) {
        host.obey(order);
        spread(now, by, order, all -> {
            if (all) {
                by.pipe.send("held " + number);
            }
        });
    }

    private void held(Other by, String number) {
        try {
            confirmed(Integer.valueOf(number), by);
        } catch (NumberFormatException e) {
            // No number of an order that waits: nothing is held by it.
            return;
        }
    }

    private void confirmed(Integer number, Other by) {
        Pending all = pending.get(number);
        if (all != null && all.awaited.remove(by) && all.awaited.isEmpty()) {
            pending.remove(number);
            all.then.accept(true);
        }
    }
}
