package laneflow.ops;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.http.HttpFront;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A process's part in an upgrade: carries out on the loop what {@link Handover} decides. */
final class Succession implements Handover.Host {
    private static final Logger LOG = LoggerFactory.getLogger(Succession.class);
    private static final long LOOK = 50_000;
    /** An elder that has told nothing by then hangs: it is not waited for. */
    private static final long KNOWN_WITHIN_MS = 1_000;
    /** The newer process's part of what may be sent to cold endpoints ... */
    private static final double NEWER_SENDS = 0.9;
    /** ... and of the connections. */
    private static final double NEWER_LINKS = 0.75;

    private final Loop loop;
    private final Scheduler scheduler;
    private final HttpFront front;
    private final Drain drain;
    private final Operations operations;
    private final Meeting meeting;
    private final BooleanSupplier serves;
    private final Runnable end;
    private final Deadline timer;
    private final Deadline settled;
    private Handover.Role role = Handover.Role.ALONE;
    private final Handover handover = new Handover(this);
    private final CountDownLatch known = new CountDownLatch(1);

    Succession(
            Loop loop,
            Scheduler scheduler,
            HttpFront front,
            Drain drain,
            Operations operations,
            Path folder,
            BooleanSupplier serves,
            Runnable end) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.front = front;
        this.drain = drain;
        this.operations = operations;
        this.serves = serves;
        this.end = end;
        meeting = new Meeting(folder, loop::later);
        timer = loop.deadlines().create(this::look);
        settled = loop.deadlines().create(this::settled);
    }

    /** Meets the process that serves already, if there is one, and learns what it knows; blocks shortly. */
    void meet() throws InterruptedException {
        Meeting.SocketPipe pipe = meeting.connect();
        if (pipe == null) {
            return;
        }
        LOG.info("another process serves already: its place is taken once this one can serve");
        loop.call(() -> {
            handover.met(loop.micros(), pipe);
            pipe.read(this::line, this::gone);
        });
        if (!known.await(KNOWN_WITHIN_MS, TimeUnit.MILLISECONDS)) {
            LOG.warn("it tells nothing: this one goes on by itself");
        }
    }

    private void line(Meeting.SocketPipe from, String text) {
        handover.line(loop.micros(), from, text);
        if (!handover.isWaiting()) {
            known.countDown();
        }
    }

    private void gone(Meeting.SocketPipe pipe) {
        LOG.info("the other process of the upgrade is gone");
        handover.gone(loop.micros(), pipe);
        known.countDown();
    }

    /** Begins to look whether this process can serve, and whether the other one still lives. */
    void begin() {
        if (handover.isAlone()) {
            // Nobody else would answer those who ask whether it is ready.
            front.setAccepting(true);
        }
        loop.later(this::look);
    }

    private void look() {
        long now = loop.micros();
        if (serves.getAsBoolean()) {
            handover.serving(now);
        }
        handover.tick(now);
        if (handover.isSuperseded() && front.hasNoClients() && scheduler.openRequests() == 0 && drain.isOver(now)) {
            LOG.info("all clients have gone over to the other process");
            end.run();
            return;
        }
        loop.deadlines().set(timer, now + LOOK);
    }

    boolean isInPlace() {
        return handover.isInPlace(loop.micros());
    }

    boolean isSuperseded() {
        return handover.isSuperseded();
    }

    /** True while there is another process; an order holds only once that one has it too. */
    void ordered(String order, Consumer<Boolean> then) {
        handover.ordered(loop.micros(), order, then);
    }

    // ---- what the handover asks for ----

    @Override
    public void accept(boolean on) {
        front.setAccepting(on);
    }

    @Override
    public void sendAway(boolean on) {
        LOG.info(on ? "the other process takes the clients from here on" : "clients are taken here again");
        drain.handed(on);
    }

    /**
     * Both draw on one budget. What either has sent counts for a while, so parts change in two steps: halves
     * at first, then nearly all for the one that has the clients. The other has their last retries.
     */
    @Override
    public void is(Handover.Role now) {
        if (now != role) {
            role = now;
            if (now != Handover.Role.ALONE) {
                scheduler.setShare(0.5);
            }
            loop.share(part(NEWER_LINKS));
            loop.deadlines().set(settled, loop.micros() + (long) (scheduler.settings().fallWithin * 1e6));
        }
    }

    private void settled() {
        scheduler.setShare(part(NEWER_SENDS));
    }

    private double part(double newer) {
        return role == Handover.Role.ALONE ? 1 : role == Handover.Role.NEWER ? newer : 1 - newer;
    }

    @Override
    public void seek() {
        meeting.seek(pipe -> {
            if (pipe != null) {
                LOG.info("another process serves too: this one is met with it again");
                handover.met(loop.micros(), pipe);
                pipe.read(this::line, this::gone);
            } else if (!meeting.isSettled()) {
                settle();
            }
        });
    }

    @Override
    public void settle() {
        meeting.settle(pipe -> {
            handover.asked(loop.micros(), pipe);
            pipe.read(this::line, this::gone);
        });
    }

    @Override
    public void obey(String order) {
        operations.obey(order);
    }

    @Override
    public void recall() {
        operations.recall();
    }

    @Override
    public List<String> orders() {
        return operations.orders();
    }
}
