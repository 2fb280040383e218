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
import org.sqlite.SQLiteErrorCode;
import org.sqlite.SQLiteException;

/**
 * Durable jobs on disk, in SQLite (write-ahead log, synchronous=FULL): a batch of {@link Op}s is one
 * transaction and one sync, and is on disk when {@link #write} returns. Beside the database lie {@code
 * lock}, held for as long as the process lives, and {@code witness}, the number of the last acknowledged
 * commit.
 *
 * <p>The witness is written after the commit and never synced. A process that dies can't lose it, and after
 * a loss of power it may be behind the database, never ahead: a database that is behind its witness has lost
 * acknowledged commits. SQLite alone can't tell, since it takes a damaged end of its log for a commit that
 * was never made.
 *
 * <p>Not thread-safe: one thread owns it. Blocks on the disk.
 */
public final class Store implements Journal.Disk {
    /** The form of the tables; 0 before there are any. */
    static final int FORMAT = 2;
    /** What makes a store of the first format one of the second. */
    private static final String TO_SECOND = "ALTER TABLE job ADD COLUMN not_before_ms INTEGER NOT NULL DEFAULT 0";

    private static final int PAGE = 4096;
    private static final int WITNESS = 12;
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
    private PreparedStatement accept;
    private PreparedStatement move;
    private PreparedStatement end;
    private PreparedStatement mark;
    private PreparedStatement[] drop;
    private long commits;
    private long latestMs;
    private StoreException broken;

    /**
     * Opens the store there, or makes one.
     *
     * @param mostBytes the most that the database takes on disk, its log apart
     */
    public static Store open(Path dir, long mostBytes) throws IOException {
        Files.createDirectories(dir);
        Store store = new Store(dir);
        try {
            store.open(mostBytes);
            return store;
        } catch (SQLException e) {
            store.close();
            throw store.meaning(e);
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
            ByteBuffer said = ByteBuffer.allocate(64);
            lock.read(said, 0);
            lock.close();
            String holder = new String(said.array(), 0, said.position(), StandardCharsets.US_ASCII).strip();
            throw new StoreException(
                    StoreException.Kind.HELD,
                    dir + ": the store is held by "
                            + (holder.isEmpty() ? "another process" : "process " + holder)
                            + "; a store has one scheduler at a time");
        }
        lock.truncate(0);
        lock.write(ByteBuffer.wrap((ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.US_ASCII)), 0);
    }

    private void open(long mostBytes) throws SQLException, IOException {
        db = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve("jobs.db").toAbsolutePath());
        run("PRAGMA locking_mode=EXCLUSIVE");
        run("PRAGMA auto_vacuum=INCREMENTAL");
        run("PRAGMA journal_mode=WAL");
        run("PRAGMA synchronous=FULL");
        run("PRAGMA wal_autocheckpoint=4000");
        run("PRAGMA max_page_count=" + Math.max(16, mostBytes / PAGE));
        int format = (int) number("PRAGMA user_version");
        if (format > FORMAT) {
            throw new StoreException(
                    StoreException.Kind.FORMAT,
                    dir + ": the store has format " + format + ", this build reads up to " + FORMAT
                            + "; a newer laneflow wrote it");
        }
        if (format == 0) {
            run("BEGIN IMMEDIATE");
            for (String table : TABLES) {
                run(table);
            }
            run(TO_SECOND);
            run("INSERT INTO meta VALUES('commits', 0), ('latest_ms', 0)");
            run("PRAGMA user_version=" + FORMAT);
            run("COMMIT");
        }
        if (format == 1) {
            run("BEGIN IMMEDIATE");
            run(TO_SECOND);
            run("PRAGMA user_version=" + FORMAT);
            run("COMMIT");
        }
        commits = number("SELECT value FROM meta WHERE key='commits'");
        latestMs = number("SELECT value FROM meta WHERE key='latest_ms'");
        witness = FileChannel.open(
                dir.resolve("witness"), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long seen = witnessed();
        if (seen > commits) {
            throw new StoreException(
                    StoreException.Kind.DAMAGED,
                    dir + ": " + (seen - commits)
                            + " acknowledged commits are missing (commit " + seen
                            + " was acknowledged, the last one here is "
                            + commits + "): jobs.db or its log was damaged or put back. 'laneflow jobs verify"
                            + " --accept-loss'"
                            + " goes on with what is left");
        }
        prepare();
    }

    private void prepare() throws SQLException {
        accept = db.prepareStatement("INSERT INTO job VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)");
        move = db.prepareStatement("INSERT OR REPLACE INTO state VALUES(?,?,?,?,?,?)");
        end = db.prepareStatement("INSERT OR REPLACE INTO result VALUES(?,?,?)");
        mark = db.prepareStatement("UPDATE meta SET value=CASE key" + " WHEN 'commits' THEN ? ELSE max(value, ?) END");
        drop = new PreparedStatement[] {
            db.prepareStatement("DELETE FROM result WHERE id=?"),
            db.prepareStatement("DELETE FROM state WHERE id=?"),
            db.prepareStatement("DELETE FROM job WHERE id=?")
        };
    }

    private void forget() throws SQLException {
        for (PreparedStatement statement :
                new PreparedStatement[] {accept, move, end, mark, drop[0], drop[1], drop[2]}) {
            statement.close();
        }
    }

    // ---- writing ----

    /** Writes all of them or none; they are on disk when this returns. */
    @Override
    public void write(List<Op> ops) throws StoreException {
        if (broken != null) {
            throw broken;
        }
        long latest = latestMs;
        try {
            // Begun and ended here by hand: the driver loses count where SQLite rolls back by itself.
            run("BEGIN IMMEDIATE");
            for (Op op : ops) {
                apply(op);
                latest = Math.max(latest, op.atMs());
            }
            mark.setLong(1, commits + 1);
            mark.setLong(2, latest);
            mark.executeUpdate();
            run("COMMIT");
        } catch (SQLException e) {
            throw undone(e);
        }
        commits++;
        latestMs = latest;
        bearWitness();
    }

    private void apply(Op op) throws SQLException {
        switch (op.kind()) {
            case ACCEPT:
                accept(op.row());
                if (op.state() != State.QUEUED || !op.attempts().isEmpty()) {
                    stands(op);
                }
                break;
            case DROP:
                for (PreparedStatement each : drop) {
                    each.setLong(1, op.id());
                    each.executeUpdate();
                }
                break;
            default:
                stands(op);
                break;
        }
    }

    private void stands(Op op) throws SQLException {
        String attempts = RowCodec.attempts(op.attempts());
        move.setLong(1, op.id());
        move.setInt(2, op.state().number);
        move.setString(3, attempts);
        move.setString(4, op.reason());
        move.setLong(5, op.atMs());
        move.setInt(6, RowCodec.sum(op.id(), op.state(), attempts, op.reason(), op.atMs()));
        move.executeUpdate();
        if (op.result() != null) {
            end.setLong(1, op.id());
            end.setInt(2, RowCodec.sum(op.result()));
            end.setBytes(3, op.result());
            end.executeUpdate();
        }
    }

    private void accept(JobRow row) throws SQLException {
        accept.setLong(1, row.id());
        accept.setString(2, row.jobClass());
        accept.setString(3, row.function());
        accept.setString(4, row.key());
        accept.setString(5, row.target());
        accept.setString(6, row.requestId());
        accept.setString(7, row.repeatKey());
        if (Double.isNaN(row.hint())) {
            accept.setNull(8, Types.REAL);
        } else {
            accept.setDouble(8, row.hint());
        }
        accept.setDouble(9, row.slots());
        accept.setDouble(10, row.memory());
        accept.setLong(11, row.subject());
        accept.setInt(12, row.urgency());
        accept.setLong(13, row.acceptedMs());
        accept.setInt(14, row.bodySum());
        accept.setInt(15, RowCodec.sum(row));
        accept.setBytes(16, row.body());
        accept.setLong(17, row.notBeforeMs());
        accept.executeUpdate();
    }

    /** Undoes a transaction that failed. Where the disk itself failed nothing is asked of it any more. */
    private StoreException undone(SQLException e) {
        StoreException meaning = meaning(e);
        try {
            run("ROLLBACK");
        } catch (SQLException again) {
            // There was nothing to undo: SQLite has rolled back by itself, as it does on some failures.
            e.addSuppressed(again);
        }
        try {
            // The driver closes a statement that fails.
            forget();
            prepare();
        } catch (SQLException again) {
            meaning = meaning(again);
        }
        if (meaning.kind != StoreException.Kind.FULL) {
            broken = meaning;
        }
        return meaning;
    }

    private void bearWitness() throws StoreException {
        ByteBuffer said = ByteBuffer.allocate(WITNESS).putLong(commits);
        said.putInt(RowCodec.sum(ByteBuffer.allocate(8).putLong(commits).array()));
        try {
            witness.write(said.flip(), 0);
        } catch (IOException e) {
            broken = new StoreException(StoreException.Kind.BROKEN, dir + ": witness: " + e.getMessage(), e);
            throw broken;
        }
    }

    /** The last commit that was acknowledged, as far as the witness can be read. */
    private long witnessed() throws IOException {
        ByteBuffer said = ByteBuffer.allocate(WITNESS);
        if (witness.read(said, 0) < WITNESS) {
            return 0;
        }
        long seen = said.flip().getLong();
        return said.getInt()
                        == RowCodec.sum(ByteBuffer.allocate(8).putLong(seen).array())
                ? seen
                : 0;
    }

    // ---- reading ----

    /**
     * Tells of every job, in the order of their ids; one whose row is not as it was written ends the
     * reading.
     */
    public void read(boolean bodies, Consumer<JobRow> to) throws StoreException {
        read(bodies, to, damage -> {
            throw new IllegalArgumentException(damage);
        });
    }

    private void read(boolean bodies, Consumer<JobRow> to, Consumer<String> damaged) throws StoreException {
        String what = "SELECT job.id, class, function, key, target, request_id, repeat_key, hint, slots,"
                + " memory, subject, urgency, accepted_ms, body_sum, job.sum, length(body),"
                + " CASE WHEN ? OR coalesce(state, 0) < " + State.DONE.number + " THEN body END,"
                + " state, attempts, reason, changed_ms, state.sum, not_before_ms"
                + " FROM job LEFT JOIN state ON state.id = job.id ORDER BY job.id";
        try (PreparedStatement query = db.prepareStatement(what)) {
            query.setBoolean(1, bodies);
            try (ResultSet from = query.executeQuery()) {
                while (from.next()) {
                    try {
                        to.accept(row(from));
                    } catch (IllegalArgumentException e) {
                        damaged.accept("job " + hex(from.getLong(1)) + ": " + e.getMessage());
                    }
                }
            }
        } catch (SQLException e) {
            throw meaning(e);
        } catch (IllegalArgumentException e) {
            throw new StoreException(
                    StoreException.Kind.DAMAGED,
                    dir + ": " + e.getMessage() + ". 'laneflow jobs verify' names all that is damaged",
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
        if (RowCodec.sum(row) != from.getInt(15) || row.body() != null && RowCodec.sum(row.body()) != row.bodySum()) {
            throw new IllegalArgumentException("what was taken on is not as it was written");
        }
        int number = from.getInt(18);
        if (from.wasNull()) {
            return row;
        }
        String attempts = from.getString(19);
        String reason = from.getString(20);
        long changed = from.getLong(21);
        State state = State.of(number);
        if (RowCodec.sum(id, state, attempts, reason, changed) != from.getInt(22)) {
            throw new IllegalArgumentException("where it stands is not as it was written");
        }
        return row.at(state, RowCodec.attempts(attempts), reason, changed);
    }

    /** A job's result, or null where there is none. */
    @Override
    public byte[] result(long id) throws StoreException {
        try (PreparedStatement query = db.prepareStatement("SELECT sum, body FROM result WHERE id=?")) {
            query.setLong(1, id);
            try (ResultSet from = query.executeQuery()) {
                byte[] body = from.next() ? from.getBytes(2) : null;
                if (body != null && RowCodec.sum(body) != from.getInt(1)) {
                    throw new StoreException(
                            StoreException.Kind.DAMAGED, "the result of job " + hex(id) + " is not as it was written");
                }
                return body;
            }
        } catch (SQLException e) {
            throw meaning(e);
        }
    }

    /** The latest wall clock on record. */
    public long latestMs() {
        return latestMs;
    }

    /** Commits since the store was made. */
    public long commits() {
        return commits;
    }

    /** Bytes of the database in use; what is free in its file is not counted. */
    @Override
    public long usedBytes() throws StoreException {
        try {
            return (number("PRAGMA page_count") - number("PRAGMA freelist_count")) * PAGE;
        } catch (SQLException e) {
            throw meaning(e);
        }
    }

    // ---- care ----

    /** All that is wrong with it, in words; empty if nothing is. */
    public void verify(Consumer<String> damage) throws StoreException {
        try (Statement statement = db.createStatement();
                ResultSet said = statement.executeQuery("PRAGMA integrity_check")) {
            while (said.next()) {
                if (!"ok".equals(said.getString(1))) {
                    damage.accept("database: " + said.getString(1));
                }
            }
        } catch (SQLException e) {
            damage.accept("database: " + e.getMessage());
            return;
        }
        read(
                true,
                row -> {
                    try {
                        if (row.state() == State.DONE && result(row.id()) == null) {
                            damage.accept("job " + hex(row.id()) + ": done, with no result");
                        }
                    } catch (StoreException e) {
                        damage.accept(e.getMessage());
                    }
                },
                damage);
    }

    /** Gives back a part of the free room, as much as takes a few milliseconds. */
    @Override
    public void tidy() throws StoreException {
        try {
            run("PRAGMA incremental_vacuum(200)");
        } catch (SQLException e) {
            throw undone(e);
        }
    }

    /** Gives back all free room; takes as long as writing all of it anew. */
    public void compact() throws StoreException {
        try {
            // The driver leaves a statement that has run in progress, and beside such there is no VACUUM.
            forget();
            run("VACUUM");
            run("PRAGMA wal_checkpoint(TRUNCATE)");
            prepare();
        } catch (SQLException e) {
            throw undone(e);
        }
    }

    /** Goes on with what is left where acknowledged commits are missing; returns how many there were. */
    public static long acceptLoss(Path dir) throws IOException {
        Path file = dir.resolve("witness");
        Path aside = dir.resolve("witness.lost");
        if (!Files.exists(file)) {
            return 0;
        }
        Files.move(file, aside, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (Store store = open(dir, Long.MAX_VALUE / 2)) {
            store.bearWitness();
            return Math.max(0, ByteBuffer.wrap(Files.readAllBytes(aside)).getLong() - store.commits);
        }
    }

    static String hex(long id) {
        return String.format("%016x", id);
    }

    private void run(String sql) throws SQLException {
        try (Statement statement = db.createStatement()) {
            if (statement.execute(sql)) {
                try (ResultSet rows = statement.getResultSet()) {
                    // Some pragmas do their work as their rows are read.
                    while (rows.next()) {
                        rows.getObject(1);
                    }
                }
            }
        }
    }

    private long number(String sql) throws SQLException {
        try (Statement statement = db.createStatement();
                ResultSet from = statement.executeQuery(sql)) {
            return from.next() ? from.getLong(1) : 0;
        }
    }

    private StoreException meaning(SQLException e) {
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
            // What was acknowledged is on disk already; closing only tidies up.
            broken = meaning(e);
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
