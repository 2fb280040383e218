package laneflow.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The handover's states, without I/O: lines, ends, kills and time in every order. */
class HandoverTest {
    /** One process: what its handover has asked for. */
    private final class Process implements Handover.Host {
        final Handover handover = new Handover(this);
        final TreeSet<String> down = new TreeSet<>();
        boolean dead;
        boolean hangs;
        boolean accepts;
        boolean away;
        int settled;
        Handover.Role role = Handover.Role.ALONE;

        @Override
        public void accept(boolean on) {
            accepts = on;
        }

        @Override
        public void sendAway(boolean on) {
            away = on;
        }

        @Override
        public void is(Handover.Role now) {
            role = now;
        }

        @Override
        public void settle() {
            settled++;
            place = this;
        }

        @Override
        public void seek() {
            if (place != null && place != this && !place.dead && !place.hangs) {
                connect(this, place);
            } else if (place != this) {
                settle();
            }
        }

        @Override
        public void obey(String order) {
            String name = order.substring(order.indexOf(' ') + 1);
            if (order.startsWith("set-down ")) {
                down.add(name);
            } else {
                down.remove(name);
            }
        }

        @Override
        public void recall() {
            down.clear();
            down.addAll(file);
        }

        void order(String name) {
            down.add(name);
            file.add(name);
        }

        @Override
        public List<String> orders() {
            return down.stream().map(name -> "set-down " + name).toList();
        }
    }

    /** One end of a connection; what is sent comes to the other end in order, later. */
    private final class End implements Handover.Pipe {
        final Process owner;
        End other;
        final ArrayDeque<String> in = new ArrayDeque<>();
        boolean closed;
        boolean told;

        End(Process owner) {
            this.owner = owner;
        }

        @Override
        public void send(String line) {
            if (!closed) {
                other.in.add(line);
            }
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** Who starts find. */
    private Process place;
    /** Where both write down what is ordered. */
    private final TreeSet<String> file = new TreeSet<>();

    private long now = 1_000_000;
    private final List<End> ends = new ArrayList<>();

    private End connect(Process from, Process to) {
        End a = new End(from);
        End b = new End(to);
        a.other = b;
        b.other = a;
        ends.add(a);
        ends.add(b);
        to.handover.asked(now, b);
        from.handover.met(now, a);
        return a;
    }

    /** Brings one line, or an end, to whom it is for; false if there is none. */
    private boolean deliver(End end) {
        if (end.owner.dead || end.owner.hangs || end.closed) {
            return false;
        }
        if (!end.in.isEmpty()) {
            end.owner.handover.line(now, end, end.in.poll());
            return true;
        }
        if ((end.other.closed || end.other.owner.dead) && !end.told) {
            end.told = true;
            end.owner.handover.gone(now, end);
            return true;
        }
        return false;
    }

    private void settle() {
        boolean more = true;
        while (more) {
            more = false;
            for (End end : new ArrayList<>(ends)) {
                more |= deliver(end);
            }
        }
    }

    /** The younger is met, can serve, and has all that is said of it delivered. */
    private void takeOver(Process younger, Process elder) {
        connect(younger, elder);
        settle();
        younger.handover.serving(now);
        settle();
    }

    private void pass(long micros, Process... all) {
        for (long end = now + micros; now < end; now += 50_000) {
            for (Process each : all) {
                if (!each.dead && !each.hangs) {
                    each.handover.tick(now);
                }
            }
            settle();
        }
    }

    @Test
    void theElderStopsOnlyOnceTheYoungerServesAndTellsWhatHolds() {
        Process old = new Process();
        Process young = new Process();
        old.handover.serving(now);
        old.order("s-1");
        connect(young, old);
        settle();
        assertTrue(old.accepts && !young.accepts && !young.handover.isWaiting());
        assertEquals(old.down, young.down);
        assertFalse(young.handover.isInPlace(now));
        young.handover.serving(now);
        assertTrue(young.accepts && old.accepts);
        settle();
        assertTrue(young.handover.isInPlace(now) && old.handover.isSuperseded());
        assertTrue(!old.accepts && old.away);
        assertEquals(Handover.Role.NEWER, young.role);
        assertEquals(Handover.Role.OLDER, old.role);
        assertEquals(1, young.settled);
        assertEquals(young, place);
    }

    @Test
    void anOrderHoldsOnlyOnceBothHaveIt() {
        Process old = new Process();
        Process young = new Process();
        old.handover.serving(now);
        End end = connect(young, old);
        settle();
        List<Boolean> said = new ArrayList<>();
        old.order("s-2");
        old.handover.ordered(now, "set-down s-2", said::add);
        assertTrue(said.isEmpty());
        settle();
        assertEquals(List.of(true), said);
        assertTrue(young.down.contains("s-2"));
        young.hangs = true;
        old.handover.ordered(now, "set-down s-3", said::add);
        pass(800_000, old, young);
        assertEquals(List.of(true, false), said);
        old.handover.ordered(now, "set-down s-4", said::add);
        young.dead = true;
        young.hangs = false;
        end.close();
        settle();
        assertEquals(List.of(true, false, true), said);
    }

    @Test
    void aYoungerThatDiesOrHangsPutsTheElderBack() {
        for (boolean hangs : new boolean[] {true, false}) {
            place = null;
            Process old = new Process();
            Process young = new Process();
            old.handover.serving(now);
            takeOver(young, old);
            assertFalse(old.accepts);
            young.hangs = hangs;
            young.dead = !hangs;
            pass(Handover.SILENCE + 200_000, old, young);
            assertTrue(old.accepts && !old.away && !old.handover.isSuperseded());
            assertEquals(Handover.Role.ALONE, old.role);
            assertEquals(old, place);
        }
    }

    @Test
    void anotherVersionIsNotSpokenWithAndAHangingElderNotWaitedFor() {
        Process old = new Process();
        old.handover.serving(now);
        End foreign = new End(new Process());
        foreign.other = new End(old);
        foreign.other.other = foreign;
        old.handover.asked(now, foreign.other);
        old.handover.line(now, foreign.other, "laneflow-handover 2");
        assertTrue(foreign.other.closed && old.accepts);
        assertEquals(List.of(Handover.HELLO), new ArrayList<>(foreign.in));

        old.hangs = true;
        Process young = new Process();
        connect(young, old);
        young.handover.serving(now);
        assertTrue(young.accepts);
        assertFalse(young.handover.isInPlace(now));
        pass(600_000, old, young);
        assertTrue(young.handover.isInPlace(now));
    }

    @Test
    void aThirdStartMeetsTheOneInPlace() {
        Process[] all = {new Process(), new Process(), new Process()};
        all[0].handover.serving(now);
        connect(all[1], all[0]);
        // One at a time: the second who asks is sent off, and finds whoever is in place later.
        End late = connect(all[2], all[0]);
        assertTrue(late.other.closed);
        settle();
        all[1].handover.serving(now);
        settle();
        connect(all[2], all[1]);
        settle();
        all[2].handover.serving(now);
        settle();
        assertTrue(all[2].accepts && !all[1].accepts && !all[0].accepts);
        List<Boolean> said = new ArrayList<>();
        all[0].handover.ordered(now, "set-down s-9", said::add);
        settle();
        assertEquals(List.of(true), said);
        assertTrue(all[2].down.contains("s-9"));
    }

    /** Once all is quiet somebody takes clients, and what was said to hold everywhere does. */
    @Test
    void inEveryOrderSomebodyTakesClientsAndOrdersAreKept() {
        for (int seed = 0; seed < 3000; seed++) {
            Random random = new Random(seed);
            ends.clear();
            file.clear();
            place = null;
            Process old = new Process();
            Process young = new Process();
            Process[] both = {old, young};
            old.handover.serving(now);
            old.handover.tick(now);
            connect(young, old);
            TreeSet<String> held = new TreeSet<>();
            int killed = -1;
            for (int step = 0; step < 60; step++) {
                int what = random.nextInt(12);
                Process one = both[random.nextInt(2)];
                if (what < 6) {
                    deliver(ends.get(random.nextInt(ends.size())));
                } else if (what < 8) {
                    now += random.nextInt(200_000);
                    if (!one.dead && !one.hangs) {
                        one.handover.tick(now);
                    }
                } else if (what == 8 && !young.dead) {
                    young.handover.serving(now);
                } else if (what == 9 && !one.dead && !one.hangs) {
                    String name = "s-" + step;
                    one.order(name);
                    one.handover.ordered(now, "set-down " + name, all -> {
                        if (all) {
                            held.add(name);
                        }
                    });
                } else if (what == 10 && random.nextInt(20) == 0 && killed < 0) {
                    killed = random.nextInt(2);
                    both[killed].dead = true;
                } else if (what == 11 && random.nextInt(10) == 0 && !young.dead) {
                    young.hangs = !young.hangs;
                }
            }
            young.hangs = false;
            if (!young.dead) {
                young.handover.serving(now);
            }
            pass(4_000_000, old, young);
            boolean taken = false;
            for (Process each : both) {
                taken |= each.accepts && !each.dead;
                if (!each.dead) {
                    assertTrue(each.down.containsAll(held), "seed " + seed + ": " + held + " not in " + each.down);
                }
            }
            assertTrue(taken, "seed " + seed);
            if (!old.dead && !young.dead) {
                // One has taken the other's place, also where either was let go while it hung.
                assertTrue(old.handover.isSuperseded() && !old.accepts && young.accepts, "seed " + seed);
                assertEquals(old.down, young.down, "seed " + seed);
            }
            if (killed >= 0 && !both[1 - killed].dead) {
                assertEquals(Handover.Role.ALONE, both[1 - killed].role, "seed " + seed);
                assertFalse(both[1 - killed].away, "seed " + seed);
            }
        }
    }

    /**
     * Three in a row: the second loses its elder, and looks for others just when the third takes its place. It
     * met that as an elder of its own, both handed over to each other, and both ended.
     */
    @Test
    void whoeverHasASuccessorTakesItForNoElder() {
        for (long gap = 0; gap <= 600_000; gap += 50_000) {
            place = null;
            Process old = new Process();
            Process young = new Process();
            Process third = new Process();
            old.handover.serving(now);
            takeOver(young, old);
            old.dead = true;
            settle();
            pass(gap, young);
            takeOver(third, young);
            pass(1_500_000, young, third);
            assertTrue(third.accepts && !third.handover.isSuperseded(), "gap " + gap);
            assertTrue(young.handover.isSuperseded(), "gap " + gap);
        }
    }
}
