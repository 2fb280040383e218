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
    private final BooleanSupplier isStopping;
    /** Null where there is no folder that the next process can read. */
    private final BanFile banFile;
    /** Null where no process can come to take this one's place. */
    private final Upgrade upgrade;
    /** Orders on workers so far. */
    private int banChanges;

    private final ExecutorService banWriter = Threads.serialExecutor("set-down");

    /**
     * What a scheduler is to its operations; no interface, which the platform's path would load.
     *
     * @param serves whether clients can be served, but for a drain
     * @param stops whether the process is on its way to its end
     * @param end called when another process has all its clients: it may end
     */
    public record ProcessState(BooleanSupplier canServe, BooleanSupplier isStopping, Runnable onReplaced) {}

    /**
     * Applies what was set down before.
     *
     * @param folder outlives this process, or null
     * @param passed whether another process may be started beside it on the same listening socket
     */
    public Operations(Loop loop, Scheduler scheduler, HttpFront front, Path folder, boolean passed, ProcessState state)
            throws InterruptedException {
        this.loop = loop;
        this.scheduler = scheduler;
        isStopping = state.isStopping();
        drain = new Drain(loop, front);
        banFile = folder == null ? null : new BanFile(folder);
        upgrade = folder == null || !passed
                ? null
                : new Upgrade(loop, scheduler, front, drain, this, folder, state.canServe(), state.onReplaced());
        port = new OpsPort(loop);
        port.add(
                "check",
                (arguments, answer) -> answer.accept(
                        state.canServe().getAsBoolean() && (upgrade == null || upgrade.isInPlace())
                                ? "done"
                                : "error it can't serve yet, or not any more"));
        port.add("set-down ID", (arguments, answer) -> setBan(true, arguments[1], answer));
        port.add("set-up ID", (arguments, answer) -> setBan(false, arguments[1], answer));
        port.add("drain-on", (arguments, answer) -> orderDrain(true, answer));
        port.add("drain-off", (arguments, answer) -> orderDrain(false, answer));
        Set<String> persistedBans = banFile == null ? Set.of() : banFile.read();
        loop.call(() -> persistedBans.forEach(scheduler::setDown));
        if (upgrade != null) {
            upgrade.connectToPredecessor();
        }
    }

    /** Takes the place of the process that serves already, if there is one; else clients come at once. */
    public void begin(HttpFront front) {
        if (upgrade != null) {
            upgrade.begin();
        } else {
            front.accept(true);
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
        return upgrade != null && upgrade.isSuperseded();
    }

    private void setBan(boolean down, String name, Consumer<String> answer) {
        if (!scheduler.endpoints().isKnown(name)) {
            answer.accept("error no worker " + name + " was ever listed here");
            return;
        }
        LOG.info("{} is set {}", name, down ? "down" : "up");
        scheduler.counters().add(down ? "ops.set_down" : "ops.set_up");
        applyBan(down, name);
        persistBans((down ? "set-down " : "set-up ") + name, answer);
    }

    private void applyBan(boolean down, String name) {
        banChanges++;
        if (down) {
            scheduler.setDown(name);
        } else {
            scheduler.setUp(name);
        }
    }

    /** Answers once the next process would find it too. What holds here holds whether or not that works. */
    private void persistBans(String order, Consumer<String> answer) {
        Set<String> names = new TreeSet<>(scheduler.endpoints().downNames());
        banWriter.execute(() -> {
            String outcome = "done";
            try {
                if (banFile != null) {
                    banFile.write(names);
                }
            } catch (IOException e) {
                LOG.warn("what is set down is not kept for the next process: {}", e.toString());
                outcome = "done for this process only: it could not be written down";
            }
            String reply = outcome;
            loop.later(() -> broadcastOrder(order, reply, answer));
        });
    }

    /** Where another process serves beside this one, it holds only once that one has it too. */
    private void broadcastOrder(String order, String reply, Consumer<String> answer) {
        if (upgrade == null) {
            answer.accept(reply);
        } else {
            upgrade.broadcastOrder(
                    order,
                    isConfirmed -> answer.accept(
                            isConfirmed
                                    ? reply
                                    : "error it holds here, but the other process of the upgrade"
                                            + " has not confirmed it"));
        }
    }

    private void orderDrain(boolean on, Consumer<String> answer) {
        if (isStopping.getAsBoolean()) {
            answer.accept("error the process is about to end, its clients are sent away already");
            return;
        }
        setDrained(on);
        broadcastOrder(on ? "drain-on" : "drain-off", "done", answer);
    }

    private void setDrained(boolean on) {
        LOG.info(on ? "drained: clients are sent away" : "back to work");
        scheduler.counters().add(on ? "ops.drain_on" : "ops.drain_off");
        drain.setOrdered(on);
    }

    // ---- between the processes of an upgrade ----

    /** What another process of this scheduler was ordered. */
    void applyOrder(String order) {
        String[] arguments = order.split(" ");
        if (arguments.length == 2 && (arguments[0].equals("set-down") || arguments[0].equals("set-up"))) {
            applyBan(arguments[0].equals("set-down"), arguments[1]);
        } else if (arguments[0].equals("drain-on") || arguments[0].equals("drain-off")) {
            setDrained(arguments[0].equals("drain-on"));
        }
    }

    /** Reads again what is set down, behind whatever is being written; without a good file all stays. */
    void reloadBans() {
        int changesBeforeRead = banChanges;
        banWriter.execute(() -> banFile.tryRead()
                .ifPresent(names -> loop.later(() -> {
                    if (banChanges != changesBeforeRead) {
                        // Ordered meanwhile, it is not in what was read.
                        reloadBans();
                        return;
                    }
                    Set<String> current = new TreeSet<>(scheduler.endpoints().downNames());
                    current.stream().filter(name -> !names.contains(name)).forEach(scheduler::setUp);
                    names.stream().filter(name -> !current.contains(name)).forEach(scheduler::setDown);
                })));
    }

    /** What holds now, as orders. */
    List<String> currentOrders() {
        List<String> orders = new ArrayList<>();
        scheduler.endpoints().downNames().forEach(name -> orders.add("set-down " + name));
        if (drain.isOrdered()) {
            orders.add("drain-on");
        }
        return orders;
    }
}
