package laneflow.ops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import laneflow.core.Scheduler;
import laneflow.http.HttpFront;
import laneflow.net.Loop;
import laneflow.net.Threads;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What on-call staff do to a running scheduler: the table of their calls, and what each one does. On the
 * loop's thread, but for what is written to disk.
 */
public final class Operations {
    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);

    private final Loop loop;
    private final Scheduler scheduler;
    private final Drain drain;
    private final OpsPort port;
    private final BooleanSupplier stops;
    /** Null where there is no folder that the next process can read. */
    private final BanFile bans;
    /** Null where no process can come to take this one's place. */
    private final Succession succession;
    /** Orders on workers so far. */
    private int changes;

    private final ExecutorService writer = Threads.inOrder("set-down");

    /**
     * What a scheduler is to its operations; no interface, which the platform's path would load.
     *
     * @param serves whether clients can be served, but for a drain
     * @param stops whether the process is on its way to its end
     * @param end called when another process has all its clients: it may end
     */
    public record Served(BooleanSupplier serves, BooleanSupplier stops, Runnable end) {}

    /**
     * Applies what was set down before.
     *
     * @param folder outlives this process, or null
     * @param passed whether another process may be started beside it on the same listening socket
     */
    public Operations(Loop loop, Scheduler scheduler, HttpFront front, Path folder, boolean passed, Served served)
            throws InterruptedException {
        this.loop = loop;
        this.scheduler = scheduler;
        stops = served.stops();
        drain = new Drain(loop, front);
        bans = folder == null ? null : new BanFile(folder);
        succession = folder == null || !passed
                ? null
                : new Succession(loop, scheduler, front, drain, this, folder, served.serves(), served.end());
        port = new OpsPort(loop);
        port.add(
                "check",
                (words, answer) -> answer.accept(
                        served.serves().getAsBoolean() && (succession == null || succession.isInPlace())
                                ? "done"
                                : "error it can't serve yet, or not any more"));
        port.add("set-down ID", (words, answer) -> worker(true, words[1], answer));
        port.add("set-up ID", (words, answer) -> worker(false, words[1], answer));
        port.add("drain-on", (words, answer) -> drain(true, answer));
        port.add("drain-off", (words, answer) -> drain(false, answer));
        Set<String> before = bans == null ? Set.of() : bans.read();
        loop.call(() -> before.forEach(scheduler::setDown));
        if (succession != null) {
            succession.meet();
        }
    }

    /** Takes the place of the process that serves already, if there is one; else clients come at once. */
    public void begin(HttpFront front) {
        if (succession != null) {
            succession.begin();
        } else {
            front.setAccepting(true);
        }
    }

    public void listen(InetSocketAddress at) throws IOException {
        port.listen(at);
    }

    public InetSocketAddress address() {
        return port.address();
    }

    /** True while operators want clients sent away. */
    public boolean isDrained() {
        return drain.isOrdered();
    }

    /** True once another process of this scheduler takes the clients. */
    public boolean isSuperseded() {
        return succession != null && succession.isSuperseded();
    }

    private void worker(boolean down, String name, Consumer<String> answer) {
        if (!scheduler.endpoints().isKnown(name)) {
            answer.accept("error no worker " + name + " was ever listed here");
            return;
        }
        LOG.info("{} is set {}", name, down ? "down" : "up");
        scheduler.counters().add(down ? "ops.set_down" : "ops.set_up");
        carryOut(down, name);
        keep((down ? "set-down " : "set-up ") + name, answer);
    }

    private void carryOut(boolean down, String name) {
        changes++;
        if (down) {
            scheduler.setDown(name);
        } else {
            scheduler.setUp(name);
        }
    }

    /** Answers once the next process would find it too. What holds here holds whether or not that works. */
    private void keep(String order, Consumer<String> answer) {
        Set<String> names = new TreeSet<>(scheduler.endpoints().downNames());
        writer.execute(() -> {
            String said = "done";
            try {
                if (bans != null) {
                    bans.write(names);
                }
            } catch (IOException e) {
                LOG.warn("what is set down is not kept for the next process: {}", e.toString());
                said = "done for this process only: it could not be written down";
            }
            String text = said;
            loop.later(() -> spread(order, text, answer));
        });
    }

    /** Where another process serves beside this one, it holds only once that one has it too. */
    private void spread(String order, String text, Consumer<String> answer) {
        if (succession == null) {
            answer.accept(text);
        } else {
            succession.ordered(
                    order,
                    all -> answer.accept(
                            all
                                    ? text
                                    : "error it holds here, but the other process of the upgrade"
                                            + " has not confirmed it"));
        }
    }

    private void drain(boolean on, Consumer<String> answer) {
        if (stops.getAsBoolean()) {
            answer.accept("error the process is about to end, its clients are sent away already");
            return;
        }
        ordered(on);
        spread(on ? "drain-on" : "drain-off", "done", answer);
    }

    private void ordered(boolean on) {
        LOG.info(on ? "drained: clients are sent away" : "back to work");
        scheduler.counters().add(on ? "ops.drain_on" : "ops.drain_off");
        drain.ordered(on);
    }

    // ---- between the processes of an upgrade ----

    /** What another process of this scheduler was ordered. */
    void obey(String order) {
        String[] words = order.split(" ");
        if (words.length == 2 && (words[0].equals("set-down") || words[0].equals("set-up"))) {
            carryOut(words[0].equals("set-down"), words[1]);
        } else if (words[0].equals("drain-on") || words[0].equals("drain-off")) {
            ordered(words[0].equals("drain-on"));
        }
    }

    /** Reads again what is set down, behind whatever is being written; without a good file all stays. */
    void recall() {
        int asOf = changes;
        writer.execute(() -> bans.find()
                .ifPresent(names -> loop.later(() -> {
                    if (changes != asOf) {
                        // Ordered meanwhile, it is not in what was read.
                        recall();
                        return;
                    }
                    Set<String> before = new TreeSet<>(scheduler.endpoints().downNames());
                    before.stream().filter(name -> !names.contains(name)).forEach(scheduler::setUp);
                    names.stream().filter(name -> !before.contains(name)).forEach(scheduler::setDown);
                })));
    }

    /** What holds now, as orders. */
    List<String> orders() {
        List<String> all = new ArrayList<>();
        scheduler.endpoints().downNames().forEach(name -> all.add("set-down " + name));
        if (drain.isOrdered()) {
            all.add("drain-on");
        }
        return all;
    }
}
