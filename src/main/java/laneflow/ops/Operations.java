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
 * The commands of on-call staff to a running scheduler: checks, setting endpoints down or up, and drains. Runs on the
 * loop's thread, except for writes to disk.
 */
public final class Operations {
    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);

    private final Loop loop;
    private final Scheduler scheduler;
    private final Drain drain;
    private final OpsPort port;
    private final BooleanSupplier isStopping;
    /** Null if there is no folder that the next process can read. */
    private final BanFile banFile;
    /** Null if no other process can replace this one. */
    private final Upgrade upgrade;
    /** Number of set-down and set-up orders so far. */
    private int banChanges;

    private final ExecutorService banWriter = Threads.serialExecutor("set-down");

    /**
     * The state of the scheduler's process. A record rather than an interface: the platform's run line would load an
     * interface that its classes implement.
     *
     * @param canServe whether clients can be served, apart from a drain
     * @param isStopping whether the process is shutting down
     * @param onReplaced called when another process has all clients, so that this one may end
     */
    public record ProcessState(BooleanSupplier canServe, BooleanSupplier isStopping, Runnable onReplaced) {}

    /**
     * Applies stored bans, and connects to the process that serves already, if there is one.
     *
     * @param folder folder that outlives this process, or null
     * @param passed whether another process may be started beside this one on the same listening socket
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
                (words, answer) -> answer.accept(
                        state.canServe().getAsBoolean() && (upgrade == null || upgrade.isInPlace())
                                ? "done"
                                : "error it can't serve yet, or not any more"));
        port.add("set-down ID", (words, answer) -> setBan(true, words[1], answer));
        port.add("set-up ID", (words, answer) -> setBan(false, words[1], answer));
        port.add("drain-on", (words, answer) -> orderDrain(true, answer));
        port.add("drain-off", (words, answer) -> orderDrain(false, answer));
        Set<String> persistedBans = banFile == null ? Set.of() : banFile.read();
        loop.call(() -> persistedBans.forEach(scheduler::setDown));
        if (upgrade != null) {
            upgrade.connectToPredecessor();
        }
    }

    /** Starts taking over from the process that serves already, or accepts clients at once if there is none. */
    public void begin(HttpFront front) {
        if (upgrade != null) {
            upgrade.begin();
        } else {
            front.setAccepting(true);
        }
    }

    public void listen(InetSocketAddress address) throws IOException {
        port.listen(address);
    }

    public InetSocketAddress address() {
        return port.address();
    }

    /** True while a drain ordered by operators is in force. */
    public boolean isDrained() {
        return drain.isOrdered();
    }

    /** True once another process of this scheduler accepts the clients. */
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

    /** Replies once the bans are stored for the next process. They are in force here even if that fails. */
    private void persistBans(String order, Consumer<String> answer) {
        if (banWriter.isShutdown()) {
            answer.accept("error the process ends: the order is not written down");
            return;
        }
        Set<String> names = new TreeSet<>(scheduler.endpoints().downNames());
        banWriter.execute(() -> {
            String outcome = "done";
            try {
                if (banFile != null) {
                    banFile.write(names);
                }
            } catch (IOException e) {
                LOG.warn("endpoints set down could not be stored for the next process: {}", e.toString());
                outcome = "done for this process only: it could not be written down";
            }
            String reply = outcome;
            loop.later(() -> broadcastOrder(order, reply, answer));
        });
    }

    /** Replies with success only once the other process of an upgrade, if there is one, has confirmed the order. */
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
        LOG.info(on ? "drain on: clients are sent away" : "drain off: clients are kept again");
        scheduler.counters().add(on ? "ops.drain_on" : "ops.drain_off");
        drain.setOrdered(on);
    }

    // ---- between the processes of an upgrade ----

    /** Applies an order that another process of this scheduler has received. */
    void applyOrder(String order) {
        String[] words = order.split(" ");
        if (words.length == 2 && (words[0].equals("set-down") || words[0].equals("set-up"))) {
            applyBan(words[0].equals("set-down"), words[1]);
        } else if (words[0].equals("drain-on") || words[0].equals("drain-off")) {
            setDrained(words[0].equals("drain-on"));
        }
    }

    /** Applies the stored bans again, after pending writes; without a valid file nothing changes. */
    void reloadBans() {
        if (banWriter.isShutdown()) {
            return;
        }
        int changesBeforeRead = banChanges;
        banWriter.execute(() -> banFile.tryRead()
                .ifPresent(names -> loop.later(() -> {
                    if (banChanges != changesBeforeRead) {
                        // An order given during the read is not in the result.
                        reloadBans();
                        return;
                    }
                    Set<String> current = new TreeSet<>(scheduler.endpoints().downNames());
                    current.stream().filter(name -> !names.contains(name)).forEach(scheduler::setUp);
                    names.stream().filter(name -> !current.contains(name)).forEach(scheduler::setDown);
                })));
    }

    /** Returns the bans and the drain in force, as orders. */
    List<String> currentOrders() {
        List<String> orders = new ArrayList<>();
        scheduler.endpoints().downNames().forEach(name -> orders.add("set-down " + name));
        if (drain.isOrdered()) {
            orders.add("drain-on");
        }
        return orders;
    }

    /** Completes the orders that are being written. On any thread except the loop. */
    public void close() throws InterruptedException {
        Threads.finish(banWriter);
    }

    /** Writes nothing more, as in a power failure. On any thread except the loop. */
    public void halt() throws InterruptedException {
        Threads.abort(banWriter);
    }
}
