package laneflow.policy;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import laneflow.durable.FolderLock;

/**
 * The persistent state of a voter: its term and vote, the log and the newest snapshot, in an SQLite database
 * of its own. Whatever the Raft library asks to be flushed is synced before the call returns, since a vote or
 * entry that is announced and then forgotten breaks the agreement. Every row carries a checksum; a store that
 * is inconsistent is rejected, and its process does not vote. The store id is random and drawn when the store
 * is created: a voter that returns with another id is a different voter. Blocks on the disk, so it is used on
 * the voter thread only.
 */
final class VoteStore implements RaftStore, AutoCloseable {
    private static final int FORMAT = 1;
    private static final String FILE = "votes.db";

    private final Path dir;
    private final FileChannel lock;
    private Connection db;
    private VoterId self;
    private boolean inTransaction;
    private boolean failed;
    private Consumer<String> failureListener = reason -> {};
    /** Number of commits, counted in the database and, after each commit, in the witness file beside it. */
    private long commits;

    private FileChannel witness;

    /** Another process has the store open; it can be opened when that process has ended. */
    static final class StoreLockedException extends IOException {
        private static final long serialVersionUID = 1;

        private StoreLockedException(String message) {
            super(message);
        }
    }

    private VoteStore(Path dir) throws IOException {
        this.dir = dir;
        lock = FileChannel.open(dir.resolve("votes.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (!FolderLock.tryLock(lock)) {
            lock.close();
            throw new StoreLockedException(dir + ": the store is in use by another process");
        }
    }

    /** Opens the store of the voter of that name, or creates it. */
    static VoteStore open(Path dir, String name) throws IOException {
        Files.createDirectories(dir);
        VoteStore store = new VoteStore(dir);
        try {
            store.open(name);
            return store;
        } catch (SQLException e) {
            store.close();
            throw new IOException(dir.resolve(FILE) + ": " + e.getMessage(), e);
        } catch (IOException | RuntimeException e) {
            store.close();
            throw e instanceof IOException io ? io : new IOException(dir.resolve(FILE) + ": " + e, e);
        }
    }

    private void open(String name) throws SQLException, IOException {
        db = DriverManager.getConnection("jdbc:sqlite:" + dir.resolve(FILE).toAbsolutePath());
        execute("PRAGMA locking_mode=EXCLUSIVE");
        execute("PRAGMA journal_mode=WAL");
        execute("PRAGMA synchronous=FULL");
        int format = Integer.parseInt(queryText("PRAGMA user_version"));
        if (format > FORMAT) {
            throw new IOException(dir + ": the store of votes has format " + format
                    + ", this build supports formats up to " + FORMAT);
        }
        witness = FileChannel.open(
                dir.resolve("votes.witness"),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        long witnessed = readWitness();
        if (format == 0 && witnessed > 0) {
            throw new IOException(dir + ": the store of votes is empty but had " + witnessed + " commits before");
        }
        if (format == 0) {
            byte[] storeId = new byte[8];
            new SecureRandom().nextBytes(storeId);
            execute("BEGIN IMMEDIATE");
            execute("CREATE TABLE meta(key TEXT PRIMARY KEY, value TEXT NOT NULL, crc INTEGER NOT NULL)");
            execute("CREATE TABLE entry(idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, op TEXT NOT NULL,"
                    + " crc INTEGER NOT NULL)");
            execute("CREATE TABLE chunk(idx INTEGER NOT NULL, part INTEGER NOT NULL, parts INTEGER NOT NULL,"
                    + " term INTEGER NOT NULL, op TEXT NOT NULL, members TEXT NOT NULL, crc INTEGER NOT NULL,"
                    + " PRIMARY KEY(idx, part))");
            put("mark", HexFormat.of().formatHex(storeId));
            execute("PRAGMA user_version=" + FORMAT);
            execute("COMMIT");
        } else if (!"ok".equals(queryText("PRAGMA quick_check(1)"))) {
            throw new IOException(dir + ": the store of votes is damaged");
        }
        self = new VoterId(name, meta("mark"));
        String storedCommits = meta("commits");
        commits = storedCommits == null ? 0 : Long.parseLong(storedCommits);
        if (witnessed > commits) {
            // SQLite silently drops the damaged part of its write-ahead log.
            throw new IOException(
                    dir + ": " + (witnessed - commits) + " commits of the store of votes are" + " missing");
        }
    }

    private long readWitness() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES);
        return witness.read(buffer, 0) < Long.BYTES ? 0 : buffer.flip().getLong();
    }

    /** This voter: its name and the id of its store. */
    VoterId self() {
        return self;
    }

    /** The state that an earlier process left, or null if this store has never voted. */
    RestoredRaftState restored() throws IOException {
        try {
            String members = meta("members");
            String endpoint = meta("endpoint");
            if (members == null || endpoint == null) {
                return null;
            }
            String term = meta("term");
            JsonObject termFields = term == null ? new JsonObject() : parseObject(term);
            RaftTermPersistentState termState = term == null
                    ? null
                    : RaftCodec.models()
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(termFields.get("term").getAsInt())
                            .setVotedFor(
                                    termFields.has("voted")
                                            ? VoterId.parse(
                                                    termFields.get("voted").getAsString())
                                            : null)
                            .build();
            RaftEndpointPersistentState endpointState = RaftCodec.models()
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(self)
                    .setVoting(endpoint.equals("voting"))
                    .build();
            SnapshotEntry snapshot = snapshot();
            long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
            return new RestoredRaftState(
                    endpointState,
                    RaftCodec.readMembers(parseObject(members)),
                    termState,
                    snapshot,
                    entries(snapshotIndex));
        } catch (SQLException | RuntimeException e) {
            throw new IOException(dir + ": the store of votes can't be read: " + e.getMessage(), e);
        }
    }

    private SnapshotEntry snapshot() throws SQLException, IOException {
        long newest = -1;
        try (ResultSet rows = db.createStatement()
                .executeQuery(
                        "SELECT idx FROM chunk GROUP BY idx HAVING count(*)=max(parts) ORDER BY idx DESC LIMIT 1")) {
            newest = rows.next() ? rows.getLong(1) : -1;
        }
        if (newest < 0) {
            return null;
        }
        List<SnapshotChunk> chunks = new ArrayList<>();
        RaftGroupMembersView members = null;
        try (PreparedStatement query = db.prepareStatement(
                "SELECT part, parts, term, op, members, crc FROM chunk WHERE idx=? ORDER BY part")) {
            query.setLong(1, newest);
            ResultSet rows = query.executeQuery();
            while (rows.next()) {
                verify(rows.getLong(6), newest + " " + rows.getInt(3) + rows.getString(4) + rows.getString(5));
                members = RaftCodec.readMembers(parseObject(rows.getString(5)));
                chunks.add(RaftCodec.models()
                        .createSnapshotChunkBuilder()
                        .setIndex(newest)
                        .setTerm(rows.getInt(3))
                        .setOperation(parseOperation(rows.getString(4)))
                        .setSnapshotChunkIndex(rows.getInt(1))
                        .setSnapshotChunkCount(rows.getInt(2))
                        .setGroupMembersView(members)
                        .build());
            }
        }
        return RaftCodec.models()
                .createSnapshotEntryBuilder()
                .setIndex(newest)
                .setTerm(chunks.get(0).getTerm())
                .setSnapshotChunks(chunks)
                .setGroupMembersView(members)
                .build();
    }

    private List<LogEntry> entries(long afterIndex) throws SQLException, IOException {
        List<LogEntry> entries = new ArrayList<>();
        long next = afterIndex + 1;
        try (PreparedStatement query =
                db.prepareStatement("SELECT idx, term, op, crc FROM entry WHERE idx>? ORDER BY idx")) {
            query.setLong(1, afterIndex);
            ResultSet rows = query.executeQuery();
            while (rows.next()) {
                long index = rows.getLong(1);
                verify(rows.getLong(4), index + " " + rows.getInt(2) + rows.getString(3));
                if (index != next++) {
                    throw new IOException(dir + ": entry " + (next - 1) + " of the log of votes is missing");
                }
                entries.add(RaftCodec.entry(index, rows.getInt(2), parseOperation(rows.getString(3))));
            }
        }
        return entries;
    }

    private static Object parseOperation(String text) {
        return RaftCodec.readOperation(JsonParser.parseString(text));
    }

    private static JsonObject parseObject(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    private void verify(long crc, String text) throws IOException {
        if (crc != checksum(text)) {
            throw new IOException(dir + ": a row of the store of votes has a wrong checksum");
        }
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    // ---- called by the Raft library ----

    private interface StoreOperation {
        void run() throws SQLException, IOException;
    }

    /** Sets a listener that is called once, on the voter thread, when a write fails. */
    void onFailure(Consumer<String> listener) {
        failureListener = listener;
    }

    /** After a failed write the library may hold more in memory than is on the disk: it must not send anything. */
    private IOException fail(Exception cause) {
        String text = dir.resolve(FILE) + ": " + cause.getMessage();
        if (!failed) {
            failed = true;
            failureListener.accept(text);
        }
        return new IOException(text, cause);
    }

    private void write(boolean flush, StoreOperation operation) throws IOException {
        runUnlessFailed(() -> {
            if (!inTransaction) {
                execute("BEGIN IMMEDIATE");
                inTransaction = true;
            }
            operation.run();
            if (flush) {
                commit();
            }
        });
    }

    private void runUnlessFailed(StoreOperation operation) throws IOException {
        if (failed) {
            throw new IOException(dir.resolve(FILE) + ": an earlier write failed");
        }
        try {
            operation.run();
        } catch (SQLException | IOException e) {
            throw fail(e);
        }
    }

    private void commit() throws SQLException, IOException {
        if (inTransaction) {
            put("commits", String.valueOf(commits + 1));
            execute("COMMIT");
            inTransaction = false;
            commits++;
            // Not synced: the witness may lag behind the database, but shows if the database lags behind it.
            witness.write(ByteBuffer.allocate(Long.BYTES).putLong(commits).flip(), 0);
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        write(true, () -> put("endpoint", state.isVoting() ? "voting" : "learning"));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        write(true, () -> put("members", RaftCodec.writeMembers(members).toString()));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        JsonObject fields = new JsonObject();
        fields.addProperty("term", state.getTerm());
        RaftEndpoint votedFor = state.getVotedFor();
        if (votedFor != null) {
            fields.addProperty("voted", votedFor.getId().toString());
        }
        write(true, () -> put("term", fields.toString()));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        write(false, () -> {
            try (PreparedStatement insert = db.prepareStatement("INSERT OR REPLACE INTO entry VALUES(?,?,?,?)")) {
                for (LogEntry entry : entries) {
                    String op = RaftCodec.writeOperation(entry.getOperation()).toString();
                    insert.setLong(1, entry.getIndex());
                    insert.setInt(2, entry.getTerm());
                    insert.setString(3, op);
                    insert.setLong(4, checksum(entry.getIndex() + " " + entry.getTerm() + op));
                    insert.executeUpdate();
                }
            }
        });
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write(false, () -> {
            String op = RaftCodec.writeOperation(chunk.getOperation()).toString();
            String members = RaftCodec.writeMembers(chunk.getGroupMembersView()).toString();
            try (PreparedStatement insert = db.prepareStatement("INSERT OR REPLACE INTO chunk VALUES(?,?,?,?,?,?,?)")) {
                insert.setLong(1, chunk.getIndex());
                insert.setInt(2, chunk.getSnapshotChunkIndex());
                insert.setInt(3, chunk.getSnapshotChunkCount());
                insert.setInt(4, chunk.getTerm());
                insert.setString(5, op);
                insert.setString(6, members);
                insert.setLong(7, checksum(chunk.getIndex() + " " + chunk.getTerm() + op + members));
                insert.executeUpdate();
            }
        });
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(false, () -> execute("DELETE FROM entry WHERE idx>=" + index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(false, () -> execute("DELETE FROM entry WHERE idx<=" + index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write(false, () -> execute("DELETE FROM chunk WHERE idx=" + index));
    }

    @Override
    public void flush() throws IOException {
        runUnlessFailed(this::commit);
    }

    // ---- rows ----

    private void put(String key, String value) throws SQLException {
        try (PreparedStatement insert = db.prepareStatement("INSERT OR REPLACE INTO meta VALUES(?,?,?)")) {
            insert.setString(1, key);
            insert.setString(2, value);
            insert.setLong(3, checksum(key + value));
            insert.executeUpdate();
        }
    }

    private String meta(String key) throws SQLException, IOException {
        try (PreparedStatement query = db.prepareStatement("SELECT value, crc FROM meta WHERE key=?")) {
            query.setString(1, key);
            ResultSet rows = query.executeQuery();
            if (!rows.next()) {
                return null;
            }
            verify(rows.getLong(2), key + rows.getString(1));
            return rows.getString(1);
        }
    }

    private void execute(String sql) throws SQLException {
        try (Statement statement = db.createStatement()) {
            statement.execute(sql);
        }
    }

    private String queryText(String query) throws SQLException {
        try (Statement statement = db.createStatement();
                ResultSet rows = statement.executeQuery(query)) {
            return rows.next() ? rows.getString(1) : "0";
        }
    }

    @Override
    public void close() throws IOException {
        try {
            if (db != null) {
                db.close();
            }
            if (witness != null) {
                witness.close();
            }
        } catch (SQLException e) {
            throw new IOException(e);
        } finally {
            lock.close();
        }
    }
}
