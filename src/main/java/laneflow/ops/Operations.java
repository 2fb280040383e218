package laneflow.ops;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import laneflow.core.Scheduler;
import laneflow.http.HttpFront;
import laneflow.net.Loop;
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
    private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "set-down");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Listens there, and applies what was set down before.
     *
     * @param folder outlives this process, or null
     * @param serves tells whether clients can be served, but for a drain
     * @param stops tells whether the process is on its way to its end
     */
    public Operations(Loop loop, Scheduler scheduler, HttpFront front, Path folder, BooleanSupplier serves,
            BooleanSupplier stops) throws InterruptedException {
        this.loop = loop;
        this.scheduler = scheduler;
        this.stops = stops;
        drain = new Drain(loop, front);
        bans = folder == null ? null : new BanFile(folder);
        port = new OpsPort(loop);
        port.add("check", (words, answer) ->
                answer.accept(serves.getAsBoolean() ? "done" : "error it can't serve yet, or not any more"));
        port.add("set-down ID", (words, answer) -> setDown(words[1], answer));
        port.add("set-up ID", (words, answer) -> setUp(words[1], answer));
        port.add("drain-on", (words, answer) -> drainOn(answer));
        port.add("drain-off", (words, answer) -> drainOff(answer));
        Set<String> before = bans == null ? Set.of() : bans.read();
        loop.call(() -> before.forEach(scheduler::setDown));
    }

    public void listen(InetSocketAddress at) throws IOException {
        port.listen(at);
    }

    public InetSocketAddress address() {
        return port.address();
    }

    /** True while clients are sent away. */
    public boolean isDrained() {
        return drain.isOn();
    }

    private void setDown(String name, Consumer<String> answer) {
        if (!scheduler.destinations().hasListed(name)) {
            answer.accept("error no worker " + name + " was ever listed here");
            return;
        }
        LOG.info("{} is set down", name);
        scheduler.counters().add("ops.set_down");
        scheduler.setDown(name);
        keep(answer);
    }

    private void setUp(String name, Consumer<String> answer) {
        if (!scheduler.destinations().hasListed(name)) {
            answer.accept("error no worker " + name + " was ever listed here");
            return;
        }
        LOG.info("{} is set up", name);
        scheduler.counters().add("ops.set_up");
        scheduler.setUp(name);
        keep(answer);
    }

    /** Answers once the next process would find it too. What holds here holds whether or not that works. */
    private void keep(Consumer<String> answer) {
        if (bans == null) {
            answer.accept("done");
            return;
        }
        Set<String> names = new TreeSet<>(scheduler.destinations().down());
        writer.execute(() -> {
            String said = "done";
            try {
                bans.write(names);
            } catch (IOException e) {
                LOG.warn("what is set down is not kept for the next process: {}", e.toString());
                said = "done for this process only: it could not be written down";
            }
            String text = said;
            loop.later(() -> answer.accept(text));
        });
    }

    private void drainOn(Consumer<String> answer) {
        if (stops.getAsBoolean()) {
            answer.accept("error the process is about to end, its clients are sent away already");
            return;
        }
        LOG.info("drained: clients are sent away");
        scheduler.counters().add("ops.drain_on");
        drain.on();
        answer.accept("done");
    }

    private void drainOff(Consumer<String> answer) {
        if (stops.getAsBoolean()) {
            answer.accept("error the process is about to end");
            return;
        }
        LOG.info("back to work");
        scheduler.counters().add("ops.drain_off");
        drain.off();
        answer.accept("done");
    }
}
