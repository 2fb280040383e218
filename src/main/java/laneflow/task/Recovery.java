package laneflow.task;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;
import laneflow.core.Counters;
import laneflow.durable.Adoption.Head;
import laneflow.durable.Adoption.Reservation;
import laneflow.durable.DurableJobs;
import laneflow.durable.FolderLock;
import laneflow.durable.Store;
import laneflow.durable.StoreException;
import laneflow.durable.StoreMaintenance;
import laneflow.durable.StoredBatch;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.task.decision.TaskHolder.Action;
import laneflow.task.decision.TaskHolder.LateSafety;
import laneflow.task.decision.TaskTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Recovery of the durable jobs of dead schedulers: a task for each store in the directory that all schedulers
 * share. A holder that finds the store without a process for long enough adopts it: it takes the store's lock
 * and moves the store's directory into that of its own store. A store exists at one path only, so it has one
 * owner: of any number of processes that try, whatever their leases, one rename succeeds. Its jobs are then
 * taken over in batches: written to this process's store first, removed from the adopted one after; a job
 * found in both is recognised by its number. If the adopter dies in between, what it has adopted lies within
 * its own store's directory, and whoever recovers that store recovers both.
 *
 * <p>A suspended process still has its store's lock: it keeps its jobs for as long as it may resume.
 */
public final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    private static final String TASK_PREFIX = "recover/";
    private static final String ADOPTED = "adopted";
    private static final int BATCH_SIZE = 128;

    private static final int POLL_MS = 250;
    private static final int LOOP_TIMEOUT_S = 10;
    private static final int ADOPTIONS_PER_LEASE = 3;

    private final Loop loop;
    private final Tasks tasks;
    private final Counters counters;
    private final DurableJobs jobs;
    private final Path stores;
    private final String self;
    private final long adoptAfterNs;
    private final Thread thread;
    /** Names of the stores whose tasks this process holds, as of the latest grant. */
    private volatile Set<String> held = Set.of();

    private volatile boolean closed;
    /** Names of the stores for whose tasks this process is a candidate. */
    private final Set<String> candidacies = new HashSet<>();
    /** When each store was first seen without a process; on the recovery thread. */
    private final Map<String, Long> unlockedSince = new HashMap<>();

    public Recovery(Loop loop, Tasks tasks, Counters counters, DurableJobs jobs, TaskConfig config, String self) {
        this.loop = loop;
        this.tasks = tasks;
        this.counters = counters;
        this.jobs = jobs;
        this.self = self;
        stores = config.stores;
        adoptAfterNs = config.adoptAfter * 1000;
        thread = Threads.daemon(this::run, "recovery");
        tasks.onGrant(this::updateHeld);
    }

    /** Starts; to be called after this process has recovered its own store. */
    public void begin() {
        thread.start();
    }

    private void updateHeld() {
        Set<String> now = new HashSet<>();
        candidacies.forEach(name -> {
            if (tasks.holds(TASK_PREFIX + name)) {
                now.add(name);
            }
        });
        held = Set.copyOf(now);
    }

    // ---- on its own thread ----

    private void run() {
        while (!closed) {
            try {
                takeOverAll(stores.resolve(self).resolve(ADOPTED));
                List<String> names = storeNames();
                callOnLoop(then -> {
                    updateCandidacies(names);
                    then.complete(true);
                });
                unlockedSince.keySet().retainAll(held);
                for (String name : held) {
                    adopt(name);
                }
                Thread.sleep(POLL_MS);
            } catch (IOException | UncheckedIOException | TimeoutException e) {
                LOG.warn("recovery: failed, will be retried: {}", e.toString());
            } catch (InterruptedException | RejectedExecutionException e) {
                return;
            }
        }
    }

    /** Runs the call on the loop and waits for its result. */
    private <T> T callOnLoop(Consumer<CompletableFuture<T>> call) throws InterruptedException, TimeoutException {
        CompletableFuture<T> reply = new CompletableFuture<>();
        loop.later(() -> call.accept(reply));
        try {
            return reply.get(LOOP_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            reply.cancel(false);
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<String> storeNames() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> all = Files.list(stores)) {
            all.filter(Files::isDirectory)
                    .map(path -> path.getFileName().toString())
                    .filter(name -> !name.equals(self) && TaskTable.isName(name))
                    .forEach(names::add);
        }
        return names;
    }

    private void updateCandidacies(List<String> names) {
        for (String gone : new ArrayList<>(candidacies)) {
            if (!names.contains(gone)) {
                candidacies.remove(gone);
                tasks.removeCandidacy(TASK_PREFIX + gone);
            }
        }
        for (String name : names) {
            if (candidacies.add(name)) {
                tasks.addCandidacy(TASK_PREFIX + name, true);
            }
        }
        updateHeld();
    }

    /** Adopts a store if it has had no process for long enough. */
    private void adopt(String name) throws IOException, InterruptedException, TimeoutException {
        Path from = stores.resolve(name);
        if (!Files.exists(from.resolve("lock"))) {
            return;
        }
        try (FileChannel lock = FileChannel.open(from.resolve("lock"), StandardOpenOption.WRITE)) {
            if (!FolderLock.tryLock(lock)) {
                unlockedSince.remove(name);
                return;
            }
            long now = System.nanoTime();
            if (now - unlockedSince.computeIfAbsent(name, first -> now) < adoptAfterNs) {
                return;
            }
            Action action = callOnLoop(then -> then.complete(
                    tasks.begin(TASK_PREFIX + name, tasks.lease() / ADOPTIONS_PER_LEASE, LateSafety.TOKEN_CHECKED)));
            if (action == null) {
                return;
            }
            try {
                Path to = stores.resolve(self).resolve(ADOPTED).resolve(name + "." + action.token());
                Files.createDirectories(to.getParent());
                if (tasks.now() < action.endsBy()) {
                    // The rename is exclusive even after the lease: the store has one path and one lock.
                    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
                    counters.add("task.stores_adopted");
                    LOG.info(
                            "recovery: {} has had no process for {} ms and is adopted with token {}",
                            name,
                            (now - unlockedSince.get(name)) / 1_000_000,
                            action.token());
                }
            } finally {
                loop.later(() -> tasks.end(action));
            }
        }
        unlockedSince.remove(name);
    }

    /** Takes over the jobs of all adopted stores, and of the stores that these had adopted in turn. */
    private void takeOverAll(Path adopted) throws IOException, InterruptedException, TimeoutException {
        if (!Files.isDirectory(adopted)) {
            return;
        }
        List<Path> all;
        try (Stream<Path> found = Files.list(adopted)) {
            all = found.filter(Files::isDirectory).sorted().toList();
        }
        for (Path dir : all) {
            if (takeOver(dir)) {
                takeOverAll(dir.resolve(ADOPTED));
                remove(dir);
            }
        }
    }

    /** Takes over the jobs of one store. True if none are left there. */
    private boolean takeOver(Path dir) throws IOException, InterruptedException, TimeoutException {
        int taken = 0;
        try (Store store = Store.open(dir, StoreMaintenance.NO_LIMIT)) {
            List<Head> heads = StoredBatch.heads(store, BATCH_SIZE);
            while (!heads.isEmpty()) {
                Reservation reservation = reserve(heads);
                List<Long> stored = takeOver(store, reservation);
                taken += stored.size();
                if (stored.isEmpty() || stored.size() < reservation.jobs()) {
                    // This process has no room for them, on disk or in memory: the rest stays in the adopted store.
                    return false;
                }
                heads = StoredBatch.heads(store, BATCH_SIZE);
            }
        }
        LOG.info("recovery: took over {} jobs of {}", taken, dir.getFileName());
        return true;
    }

    /** Reserves memory for the first jobs of a store; a reservation that comes too late is released. */
    private Reservation reserve(List<Head> heads) throws InterruptedException, TimeoutException {
        return callOnLoop(then -> {
            Reservation made = jobs.adoption().reserve(heads);
            if (!then.complete(made)) {
                jobs.adoption().release(made);
            }
        });
    }

    /** Takes over the first jobs of a store, for which memory is reserved; returns the ids of those that are here. */
    private List<Long> takeOver(Store store, Reservation reservation)
            throws IOException, InterruptedException, TimeoutException {
        if (reservation.jobs() == 0) {
            return List.of();
        }
        StoredBatch batch;
        try {
            batch = StoredBatch.read(store, reservation.jobs());
        } catch (StoreException e) {
            loop.later(() -> jobs.adoption().release(reservation));
            throw e;
        }
        List<Long> stored =
                callOnLoop(then -> jobs.adoption().adopt(reservation, batch.rows(), batch.results(), then::complete));
        StoreMaintenance.drop(store, stored);
        return stored;
    }

    private static void remove(Path dir) throws IOException {
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** Stops taking over. On any thread. */
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
