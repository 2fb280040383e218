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
import laneflow.durable.DurableJobs;
import laneflow.durable.FolderLock;
import laneflow.durable.JobRow;
import laneflow.durable.Store;
import laneflow.durable.StoreMaintenance;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.task.decision.TaskHolder.Action;
import laneflow.task.decision.TaskHolder.LateSafety;
import laneflow.task.decision.TaskTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Recovery of durable jobs whose scheduler is gone: a task for each store in the folder that all schedulers
 * share. Who holds it and finds the store without a process for long enough makes it its own by renaming its
 * folder under the own store's, holding its lock. A store has one place, so it has one owner: of any number
 * that try, whatever their leases say, one rename succeeds. Then its jobs are taken over, in batches: on disk
 * here first, gone there then; what both have is known by its number. One that dies amid it leaves what it
 * had taken within its own folder, and whoever recovers that recovers both.
 *
 * <p>A process that stands still has its store's lock: its jobs stay its own for as long as it may wake.
 */
public final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    private static final String TASK = "recover/";
    private static final String ADOPTED = "adopted";
    private static final int BATCH = 128;
    private static final int LOOK_MS = 250;
    private static final int ANSWER_S = 10;
    private static final int ACT_PARTS = 3;

    private final Loop loop;
    private final Tasks tasks;
    private final Counters counters;
    private final DurableJobs jobs;
    private final Path stores;
    private final String self;
    private final long afterNs;
    private final Thread thread;
    /** Names of stores that this process may take over now, as the loop saw it last. */
    private volatile Set<String> held = Set.of();

    private volatile boolean closed;
    private final Set<String> wanted = new HashSet<>();
    /** Since when a store has had no process; on the thread of recovery. */
    private final Map<String, Long> freeSince = new HashMap<>();

    public Recovery(Loop loop, Tasks tasks, Counters counters, DurableJobs jobs, TaskConfig config, String self) {
        this.loop = loop;
        this.tasks = tasks;
        this.counters = counters;
        this.jobs = jobs;
        this.self = self;
        stores = config.stores;
        afterNs = config.after * 1000;
        thread = Threads.daemon(this::run, "recovery");
        tasks.onGrant(this::look);
    }

    /** Takes part from now on, behind this process's own recovery. */
    public void begin() {
        thread.start();
    }

    private void look() {
        Set<String> now = new HashSet<>();
        wanted.forEach(name -> {
            if (tasks.holds(TASK + name)) {
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
                List<String> names = names();
                ask(then -> {
                    want(names);
                    then.complete(true);
                });
                freeSince.keySet().retainAll(held);
                for (String name : held) {
                    adopt(name);
                }
                Thread.sleep(LOOK_MS);
            } catch (IOException | UncheckedIOException | TimeoutException e) {
                LOG.warn("recovery: {}; it is tried again", e.toString());
            } catch (InterruptedException | RejectedExecutionException e) {
                return;
            }
        }
    }

    /** Has the loop do it, and waits for what it says. */
    private <T> T ask(Consumer<CompletableFuture<T>> what) throws InterruptedException, TimeoutException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.later(() -> what.accept(answer));
        try {
            return answer.get(ANSWER_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<String> names() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> all = Files.list(stores)) {
            all.filter(Files::isDirectory)
                    .map(path -> path.getFileName().toString())
                    .filter(name -> !name.equals(self) && TaskTable.isName(name))
                    .forEach(names::add);
        }
        return names;
    }

    private void want(List<String> names) {
        for (String gone : new ArrayList<>(wanted)) {
            if (!names.contains(gone)) {
                wanted.remove(gone);
                tasks.removeCandidacy(TASK + gone);
            }
        }
        for (String name : names) {
            if (wanted.add(name)) {
                tasks.addCandidacy(TASK + name, true);
            }
        }
        look();
    }

    /** Makes a store its own that has had no process for long enough. */
    private void adopt(String name) throws IOException, InterruptedException, TimeoutException {
        Path from = stores.resolve(name);
        if (!Files.exists(from.resolve("lock"))) {
            return;
        }
        try (FileChannel lock = FileChannel.open(from.resolve("lock"), StandardOpenOption.WRITE)) {
            if (!FolderLock.tryLock(lock)) {
                freeSince.remove(name);
                return;
            }
            long now = System.nanoTime();
            if (now - freeSince.computeIfAbsent(name, first -> now) < afterNs) {
                return;
            }
            Action act = ask(then ->
                    then.complete(tasks.begin(TASK + name, tasks.lease() / ACT_PARTS, LateSafety.TOKEN_CHECKED)));
            if (act == null) {
                return;
            }
            try {
                Path to = stores.resolve(self).resolve(ADOPTED).resolve(name + "." + act.token());
                Files.createDirectories(to.getParent());
                if (tasks.now() < act.endsBy()) {
                    // Behind its lease too it would be the only one: the store is at one place, under one
                    // lock.
                    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE);
                    counters.add("task.stores_adopted");
                    LOG.info(
                            "recovery: {} has had no process for {} ms and is taken over by token {}",
                            name,
                            (now - freeSince.get(name)) / 1_000_000,
                            act.token());
                }
            } finally {
                loop.later(() -> tasks.end(act));
            }
        }
        freeSince.remove(name);
    }

    /** Takes over the jobs of all stores there, and of those that they had taken in turn. */
    private void takeOverAll(Path adopted) throws IOException, InterruptedException, TimeoutException {
        if (!Files.isDirectory(adopted)) {
            return;
        }
        List<Path> all;
        try (Stream<Path> found = Files.list(adopted)) {
            all = found.filter(Files::isDirectory).sorted().toList();
        }
        for (Path one : all) {
            if (takeOver(one)) {
                takeOverAll(one.resolve(ADOPTED));
                remove(one);
            }
        }
    }

    /** True once nothing is left there. */
    private boolean takeOver(Path dir) throws IOException, InterruptedException, TimeoutException {
        int taken = 0;
        try (Store store = Store.open(dir, StoreMaintenance.NO_LIMIT)) {
            List<JobRow> rows = new ArrayList<>();
            store.read(true, rows::add);
            for (int from = 0; from < rows.size(); from += BATCH) {
                List<JobRow> batch = rows.subList(from, Math.min(rows.size(), from + BATCH));
                Map<Long, byte[]> results = new HashMap<>();
                for (JobRow row : batch) {
                    byte[] result = store.result(row.id());
                    if (result != null) {
                        results.put(row.id(), result);
                    }
                }
                List<Long> here = ask(then -> jobs.adoptJobs(batch, results, then::complete));
                StoreMaintenance.drop(store, here);
                taken += here.size();
                if (here.size() < batch.size()) {
                    // The own store is full, or fails: the rest stays where it is.
                    return false;
                }
            }
        }
        LOG.info("recovery: {} jobs of {} were taken over", taken, dir.getFileName());
        return true;
    }

    private static void remove(Path dir) throws IOException {
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    /** Nothing further is taken over. On any thread. */
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
