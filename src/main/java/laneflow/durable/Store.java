package laneflow.durable;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.sql.Types;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sqlite.SQLiteErrorCode;
import org.sqlite.SQLiteException;

/**
 * Stores durable jobs in SQLite (write-ahead log, synchronous=FULL): a batch of {@link Op}s is one transaction
 * with one sync, and is on disk when {@link #write} returns. The folder also contains {@code lock}, which is
 * held while the store is open, and {@code witness}, the number of the last acknowledged commit.
 *
 * <p>The witness is written after each commit and never synced. It survives the death of the process; after a
 * power loss it may be behind the database but never ahead. A database that is behind its witness has therefore
 * lost acknowledged commits. SQLite alone can't detect this, because it treats a damaged end of its log as an
 * incomplete commit.
 *
 * <p>Not thread-safe: one thread owns it. Blocks on disk I/O.
 */
public final class Store implements Journal.Storage {
    /** The current version of the schema; 0 means that there are no tables yet. */
    static final int FORMAT_VERSION = 2;
    /** Migrates a store from format 1 to format 2. */
    private static final String MIGRATION_1_TO_2 =
            "ALTER TABLE job ADD COLUMN not_before_ms INTEGER NOT NULL DEFAULT 0";

    private static final int PAGE_BYTES = 4096;
    private static final int WITNESS_BYTES = 12;
    private static final String[] TABLES = {
        "CREATE TABLE meta(key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID",
        "CREATE TABLE job(id INTEGER PRIMARY KEY, class TEXT NOT NULL, function TEXT NOT NULL,"
                + " key TEXT NOT NULL, target TEXT NOT NULL, request_id TEXT NOT NULL, repeat_key TEXT,"
                + " hint REAL, slots REAL NOT NULL,"
                + " memory REAL NOT NULL, subject INTEGER NOT NULL, urgency INTEGER NOT NULL,"
                + " accepted_ms INTEGER NOT NULL, body_sum INTEGER NOT NULL, sum INTEGER NOT NULL,"
                + " body BLOB NOT NULL)",
        "CREATE TABLE state(id INTEGER PRIMARY KEY, state INTEGER NOT NULL, attempts TEXT NOT NULL,"
                + " reason TEXT NOT NULL, changed_ms INTEGER NOT NULL, sum INTEGER NOT NULL)",
        "CREATE TABLE result(id INTEGER PRIMARY KEY, sum INTEGER NOT NULL, body BLOB NOT NULL)"
    };

    private final Path dir;
    private final FileChannel lock;
    private FileChannel witness;
    private Connection db;
    private PreparedStatement insertJob;
    private PreparedStatement upsertState;
    private PreparedStatement upsertResult;
    private PreparedStatement updateMeta;
    private PreparedStatement[] deleteJob;
    private long commits;
    private long latestMs;
    private StoreException broken;

    /**
     * Opens the store in this folder, or creates it.
     *
     * @param maxBytes upper bound on the size of the database on disk, without its log
     */
    public static Store open(Path dir, long maxBytes) throws IOException {
        Files.createDirectories(dir);
        Store store = new Store(dir);
        try {
            store.open(maxBytes);
            return store;
        } catch (SQLException e) {
            store.close();
            throw store.toStoreException(e);
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    private Store(Path dir) throws IOException {
        this.dir = dir;
        lock = FileChannel.open(
                dir.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        if (!FolderLock.tryLock(lock)) {
            ByteBuffer buffer = ByteBuffer.allocate(64);
            lock.read(buffer, 0);
            lock.close();
            String holder = new String(buffer.array(), 0, buffer.position(), StandardCharsets.US_ASCII).strip();
            throw new StoreException(
                    StoreException.Kind.HELD,
                    dir + ": the store is held by "
                            + (holder.isEmpty() ? "another process" : "process " + holder)
                            + "; a store has one scheduler at a time");
        }
        lock.truncate(0);
        lock.write(ByteBuffer.wrap((ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.US_ASCII)), 0);
    }

    private void open(long maxBytes) throws SQLException, IOException {
        db = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve("jobs.db").toAbsolutePath());
        execute("PRAGMA locking_mode=EXCLUSIVE");
        execute("PRAGMA auto_vacuum=INCREMENTAL");
        execute("PRAGMA journal_mode=WAL");
        execute("PRAGMA synchronous=FULL");
        execute("PRAGMA wal_autocheckpoint=4000");
        execute("PRAGMA max_page_count=" + Math.max(16, maxBytes / PAGE_BYTES));
        int format = (int) queryLong("PRAGMA user_version");
        if (format > FORMAT_VERSION) {
            throw new StoreException(
                    StoreException.Kind.FORMAT,
                    dir + ": the store has format " + format + ", this build reads up to " + FORMAT_VERSION
                            + "; a newer laneflow wrote it");
        }
        if (format == 0) {
            execute("BEGIN IMMEDIATE");
            for (String table : TABLES) {
                execute(table);
            }
            execute(MIGRATION_1_TO_2);
            execute("INSERT INTO meta VALUES('commits', 0), ('latest_ms', 0)");
            execute("PRAGMA user_version=" + FORMAT_VERSION);
            execute("COMMIT");
        }
        if (format == 1) {
            execute("BEGIN IMMEDIATE");
            execute(MIGRATION_1_TO_2);
            execute("PRAGMA user_version=" + FORMAT_VERSION);
            execute("COMMIT");
        }
        commits = queryLong("SELECT value FROM meta WHERE key='commits'");
        latestMs = queryLong("SELECT value FROM meta WHERE key='latest_ms'");
        witness = FileChannel.open(
                dir.resolve("witness"), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long acknowledged = readWitness();
        if (acknowledged > commits) {
            throw new StoreException(
                    StoreException.Kind.DAMAGED,
                    dir + ": " + (acknowledged - commits)
                            + " acknowledged commits are missing (commit " + acknowledged
                            + " was acknowledged, the last one here is "
                            + commits
                            + "): jobs.db or its log was damaged or replaced by an older copy. 'laneflow jobs verify"
                            + " --accept-loss'"
                            + " continues with the remaining data");
        }
        prepare();
    }

    private void prepare() throws SQLException {
        insertJob = db.prepareStatement("INSERT INTO job VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
        upsertState = db.prepareStatement("INSERT OR REPLACE INTO state VALUES(?,?,?,?,?,?)");
        upsertResult = db.prepareStatement("INSERT OR REPLACE INTO result VALUES(?,?,?)");
        updateMeta =
                db.prepareStatement("UPDATE meta SET value=CASE key" + " WHEN 'commits' THEN ? ELSE max(value, ?) END");
        deleteJob = new PreparedStatement[] {
            db.prepareStatement("DELETE FROM result WHERE id=?"),
            db.prepareStatement("DELETE FROM state WHERE id=?"),
            db.prepareStatement("DELETE FROM job WHERE id=?")
        };
    }

    private void closeStatements() throws SQLException {
        for (PreparedStatement statement : new PreparedStatement[] {
            insertJob, upsertState, upsertResult, updateMeta, deleteJob[0], deleteJob[1], deleteJob[2]
        }) {
            statement.close();
        }
    }

    // ---- writing ----

    /** Writes the ops atomically; they are on disk when this returns. */
    @Override
    public void write(List<Op> ops) throws StoreException {
        if (broken != null) {
            throw broken;
        }
        long newLatestMs = latestMs;
        try {
            // Explicit BEGIN and COMMIT: the driver loses track of the transaction when SQLite rolls back by itself.
            execute("BEGIN IMMEDIATE");
            for (Op op : ops) {
                apply(op);
                newLatestMs = Math.max(newLatestMs, op.atMs());
            }
            updateMeta.setLong(1, commits + 1);
            updateMeta.setLong(2, newLatestMs);
            updateMeta.executeUpdate();
            execute("COMMIT");
        } catch (SQLException e) {
            throw rollback(e);
        }
        commits++;
        latestMs = newLatestMs;
        writeWitness();
    }

    private void apply(Op op) throws SQLException {
        switch (op.kind()) {
            case ACCEPT:
                writeJob(op.row());
                if (op.state() != State.QUEUED || !op.attempts().isEmpty()) {
                    writeState(op);
                }
                break;
            case DROP:
                for (PreparedStatement statement : deleteJob) {
                    statement.setLong(1, op.id());
                    statement.executeUpdate();
                }
                break;
            default:
                writeState(op);
                break;
        }
    }

    private void writeState(Op op) throws SQLException {
        String attempts = RowCodec.attempts(op.attempts());
        upsertState.setLong(1, op.id());
        upsertState.setInt(2, op.state().number);
        upsertState.setString(3, attempts);
        upsertState.setString(4, op.reason());
        upsertState.setLong(5, op.atMs());
        upsertState.setInt(6, RowCodec.checksum(op.id(), op.state(), attempts, op.reason(), op.atMs()));
        upsertState.executeUpdate();
        if (op.result() != null) {
            upsertResult.setLong(1, op.id());
            upsertResult.setInt(2, RowCodec.checksum(op.result()));
            upsertResult.setBytes(3, op.result());
            upsertResult.executeUpdate();
        }
    }

    private void writeJob(JobRow row) throws SQLException {
        insertJob.setLong(1, row.id());
        insertJob.setString(2, row.jobClass());
        insertJob.setString(3, row.function());
        insertJob.setString(4, row.key());
        insertJob.setString(5, row.target());
        insertJob.setString(6, row.requestId());
        insertJob.setString(7, row.repeatKey());
        if (Double.isNaN(row.hint())) {
            insertJob.setNull(8, Types.REAL);
        } else {
            insertJob.setDouble(8, row.hint());
        }
        insertJob.setDouble(9, row.slots());
        insertJob.setDouble(10, row.memory());
        insertJob.setLong(11, row.subject());
        insertJob.setInt(12, row.urgency());
        insertJob.setLong(13, row.acceptedMs());
        insertJob.setInt(14, row.bodySum());
        insertJob.setInt(15, RowCodec.checksum(row));
        insertJob.setBytes(16, row.body());
        insertJob.setLong(17, row.notBeforeMs());
        insertJob.executeUpdate();
    }

    /** Rolls back a failed transaction. Unless the store is merely full, it is not written to any more. */
    private StoreException rollback(SQLException e) {
        StoreException failure = toStoreException(e);
        try {
            execute("ROLLBACK");
        } catch (SQLException rollbackFailure) {
            // No transaction was open: on some failures SQLite rolls back by itself.
            e.addSuppressed(rollbackFailure);
        }
        try {
            // The driver closes a statement that fails, so all are prepared again.
            closeStatements();
            prepare();
        } catch (SQLException prepareFailure) {
            failure = toStoreException(prepareFailure);
        }
        if (failure.kind != StoreException.Kind.FULL) {
            broken = failure;
        }
        return failure;
    }

    private void writeWitness() throws StoreException {
        ByteBuffer buffer = ByteBuffer.allocate(WITNESS_BYTES).putLong(commits);
        buffer.putInt(RowCodec.checksum(ByteBuffer.allocate(8).putLong(commits).array()));
        try {
            witness.write(buffer.flip(), 0);
        } catch (IOException e) {
            broken = new StoreException(StoreException.Kind.BROKEN, dir + ": witness: " + e.getMessage(), e);
            throw broken;
        }
    }

    /** The number of the last acknowledged commit; 0 if the witness is missing or damaged. */
    private long readWitness() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(WITNESS_BYTES);
        if (witness.read(buffer, 0) < WITNESS_BYTES) {
            return 0;
        }
        long acknowledged = buffer.flip().getLong();
        return buffer.getInt()
                        == RowCodec.checksum(
                                ByteBuffer.allocate(8).putLong(acknowledged).array())
                ? acknowledged
                : 0;
    }

    // ---- reading ----

    /** Which jobs are read with their bodies. */
    public enum Bodies {
        NONE,
        OF_OPEN_JOBS,
        ALL
    }

    /**
     * Reads all jobs in the order of their ids, and fails at the first row that is damaged.
     *
     * @param bodies whether to read the bodies of ended jobs too
     */
    public void read(boolean bodies, Consumer<JobRow> consumer) throws StoreException {
        read(bodies ? Bodies.ALL : Bodies.OF_OPEN_JOBS, consumer, damage -> {
            throw new IllegalArgumentException(damage);
        });
    }

    /** Reads the first jobs, in the order of their ids, while the consumer returns true; fails at a damaged row. */
    public void readWhile(Bodies bodies, Predicate<JobRow> consumer) throws StoreException {
        readWhile(bodies, consumer, damage -> {
            throw new IllegalArgumentException(damage);
        });
    }

    private void read(Bodies bodies, Consumer<JobRow> consumer, Consumer<String> damaged) throws StoreException {
        readWhile(
                bodies,
                row -> {
                    consumer.accept(row);
                    return true;
                },
                damaged);
    }

    private void readWhile(Bodies bodies, Predicate<JobRow> consumer, Consumer<String> damaged) throws StoreException {
        String sql = "SELECT job.id, class, function, key, target, request_id, repeat_key, hint, slots,"
                + " memory, subject, urgency, accepted_ms, body_sum, job.sum, length(body),"
                + " CASE WHEN ? OR ? AND coalesce(state, 0) < " + State.DONE.number + " THEN body END,"
                + " state, attempts, reason, changed_ms, state.sum, not_before_ms"
                + " FROM job LEFT JOIN state ON state.id = job.id ORDER BY job.id";
        try (PreparedStatement query = db.prepareStatement(sql)) {
            query.setBoolean(1, bodies == Bodies.ALL);
            query.setBoolean(2, bodies == Bodies.OF_OPEN_JOBS);
            try (ResultSet from = query.executeQuery()) {
                boolean more = true;
                while (more && from.next()) {
                    try {
                        more = consumer.test(row(from));
                    } catch (IllegalArgumentException e) {
                        damaged.accept("job " + hex(from.getLong(1)) + ": " + e.getMessage());
                    }
                }
            }
        } catch (SQLException e) {
            throw toStoreException(e);
        } catch (IllegalArgumentException e) {
            throw new StoreException(
                    StoreException.Kind.DAMAGED,
                    dir + ": " + e.getMessage() + ". 'laneflow jobs verify' lists all damage",
                    e);
        }
    }

    private static JobRow row(ResultSet from) throws SQLException {
        long id = from.getLong(1);
        double hint = from.getDouble(8);
        hint = from.wasNull() ? Double.NaN : hint;
        JobRow row = new JobRow(
                id,
                from.getString(2),
                from.getString(3),
                from.getString(4),
                from.getString(5),
                from.getString(6),
                from.getString(7),
                hint,
                from.getDouble(9),
                from.getDouble(10),
                from.getLong(11),
                from.getInt(12),
                from.getLong(13),
                from.getInt(14),
                from.getInt(16),
                from.getBytes(17),
                State.QUEUED,
                List.of(),
                "",
                from.getLong(13),
                from.getLong(23));
        if (RowCodec.checksum(row) != from.getInt(15)
                || row.body() != null && RowCodec.checksum(row.body()) != row.bodySum()) {
            throw new IllegalArgumentException("checksum mismatch in its submission");
        }
        int number = from.getInt(18);
        if (from.wasNull()) {
            return row;
        }
        String attempts = from.getString(19);
        String reason = from.getString(20);
        long changed = from.getLong(21);
        State state = State.of(number);
        if (RowCodec.checksum(id, state, attempts, reason, changed) != from.getInt(22)) {
            throw new IllegalArgumentException("checksum mismatch in its state");
        }
        return row.withState(state, RowCodec.attempts(attempts), reason, changed);
    }

    /** A job's result, or null if there is none. */
    @Override
    public byte[] result(long id) throws StoreException {
        try (PreparedStatement query = db.prepareStatement("SELECT sum, body FROM result WHERE id=?")) {
            query.setLong(1, id);
            try (ResultSet from = query.executeQuery()) {
                byte[] body = from.next() ? from.getBytes(2) : null;
                if (body != null && RowCodec.checksum(body) != from.getInt(1)) {
                    throw new StoreException(
                            StoreException.Kind.DAMAGED, "job " + hex(id) + ": checksum mismatch in its result");
                }
                return body;
            }
        } catch (SQLException e) {
            throw toStoreException(e);
        }
    }

    /** The length of a job's result in bytes; 0 if there is none. */
    public long resultBytes(long id) throws StoreException {
        try (PreparedStatement query = db.prepareStatement("SELECT length(body) FROM result WHERE id=?")) {
            query.setLong(1, id);
            try (ResultSet from = query.executeQuery()) {
                return from.next() ? from.getLong(1) : 0;
            }
        } catch (SQLException e) {
            throw toStoreException(e);
        }
    }

    /** The latest recorded wall-clock time. */
    public long latestMs() {
        return latestMs;
    }

    /** The number of commits since the store was created. */
    public long commits() {
        return commits;
    }

    /** The size in bytes of the database pages in use, without free pages. */
    @Override
    public long usedBytes() throws StoreException {
        try {
            return (queryLong("PRAGMA page_count") - queryLong("PRAGMA freelist_count")) * PAGE_BYTES;
        } catch (SQLException e) {
            throw toStoreException(e);
        }
    }

    // ---- maintenance ----

    /** Checks the whole store and reports each damage found, as text. */
    public void verify(Consumer<String> damage) throws StoreException {
        try (Statement statement = db.createStatement();
                ResultSet problems = statement.executeQuery("PRAGMA integrity_check")) {
            while (problems.next()) {
                if (!"ok".equals(problems.getString(1))) {
                    damage.accept("database: " + problems.getString(1));
                }
            }
        } catch (SQLException e) {
            damage.accept("database: " + e.getMessage());
            return;
        }
        read(
                Bodies.ALL,
                row -> {
                    try {
                        if (row.state() == State.DONE && result(row.id()) == null) {
                            damage.accept("job " + hex(row.id()) + ": done, but has no result");
                        }
                    } catch (StoreException e) {
                        damage.accept(e.getMessage());
                    }
                },
                damage);
    }

    /** Returns some free pages to the file system; takes a few milliseconds. */
    @Override
    public void vacuumIncrementally() throws StoreException {
        try {
            execute("PRAGMA incremental_vacuum(200)");
        } catch (SQLException e) {
            throw rollback(e);
        }
    }

    /** Returns all free pages to the file system; rewrites the whole database. */
    public void compact() throws StoreException {
        try {
            // The driver leaves executed statements open, and VACUUM fails while a statement is open.
            closeStatements();
            execute("VACUUM");
            execute("PRAGMA wal_checkpoint(TRUNCATE)");
            prepare();
        } catch (SQLException e) {
            throw rollback(e);
        }
    }

    /** Accepts the loss of acknowledged commits and keeps the remaining data; returns how many were lost. */
    public static long acceptLoss(Path dir) throws IOException {
        Path file = dir.resolve("witness");
        Path lostWitness = dir.resolve("witness.lost");
        if (!Files.exists(file)) {
            return 0;
        }
        Files.move(file, lostWitness, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (Store store = open(dir, Long.MAX_VALUE / 2)) {
            store.writeWitness();
            return Math.max(0, ByteBuffer.wrap(Files.readAllBytes(lostWitness)).getLong() - store.commits);
        }
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    private void execute(String sql) throws SQLException {
        try (Statement statement = db.createStatement()) {
            if (statement.execute(sql)) {
                try (ResultSet rows = statement.getResultSet()) {
                    // Some pragmas only take effect as their rows are read.
                    while (rows.next()) {
                        rows.getObject(1);
                    }
                }
            }
        }
    }

    private long queryLong(String sql) throws SQLException {
        try (Statement statement = db.createStatement();
                ResultSet from = statement.executeQuery(sql)) {
            return from.next() ? from.getLong(1) : 0;
        }
    }

    private StoreException toStoreException(SQLException e) {
        SQLiteErrorCode code = e instanceof SQLiteException ? ((SQLiteException) e).getResultCode() : null;
        StoreException.Kind kind = StoreException.Kind.BROKEN;
        if (code == SQLiteErrorCode.SQLITE_FULL) {
            kind = StoreException.Kind.FULL;
        } else if (code == SQLiteErrorCode.SQLITE_BUSY || code == SQLiteErrorCode.SQLITE_LOCKED) {
            kind = StoreException.Kind.HELD;
        } else if (code == SQLiteErrorCode.SQLITE_CORRUPT || code == SQLiteErrorCode.SQLITE_NOTADB) {
            kind = StoreException.Kind.DAMAGED;
        }
        return new StoreException(kind, dir + ": " + e.getMessage(), e);
    }

    @Override
    public void close() {
        try {
            if (db != null) {
                db.close();
            }
        } catch (SQLException e) {
            // Acknowledged data is on disk already; closing only cleans up.
            broken = toStoreException(e);
        }
        try {
            if (witness != null) {
                witness.close();
            }
            lock.close();
        } catch (IOException e) {
            broken = new StoreException(StoreException.Kind.BROKEN, dir + ": " + e.getMessage(), e);
        }
    }
}
