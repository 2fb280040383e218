package laneflow.task.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import laneflow.policy.decision.Ledger;

/**
 * The fleet's tasks as the voters know them, a state machine in their log: who holds which task, by which
 * token, and who wants it, in order. Each assignment draws the next token of one counter, so tokens only
 * rise, over all tasks and for ever. Until when a holder may act is not here: that is the leader's memory,
 * and
 * no renewal is written. An assignment names the token that it follows, so that one asked for twice, or by a
 * leader that is none any more, changes nothing. Not thread-safe; no I/O, no clock.
 */
public final class TaskTable implements Ledger.Part {
    /** By this name it stands in the ledger. */
    public static final String NAME = "tasks";

    public static final int MOST_TASKS = 4096;
    /** Over all tasks together. */
    public static final int MOST_WANTS = 65_536;
    /** The longest note, in characters. */
    public static final int MOST_NOTE = 16 * 1024;

    private static final String TASK = "[A-Za-z0-9_.:/-]{1,128}";

    private final SortedMap<String, Task> tasks = new TreeMap<>();
    /** By process: the digest of what it wants. */
    private final SortedMap<String, String> wants = new TreeMap<>();

    private long tokens;
    private long version;
    private int wanted;
    private View view;

    /**
     * One task.
     *
     * @param spread true if it is placed by rendezvous among those that want it, false if they stand in line
     * @param holder the process that held it last, or empty before the first
     * @param token by which; 0 before the first
     * @param line the processes that want it; whoever gets it goes to the end
     * @param note what a holder has left for the next one, or empty
     */
    public record Task(String name, boolean spread, String holder, long token, List<String> line, String note) {}

    /**
     * The table at one moment; never changed.
     *
     * @param version counts operations
     * @param wants by process: the digest of what it wants
     */
    public record View(long version, SortedMap<String, Task> tasks, SortedMap<String, String> wants) {}

    /** One that is to get a task whose token is that one still. */
    public record Assignment(String task, long after, String to) {}

    public TaskTable() {
        look();
    }

    // ---- operations ----

    /** What a process wants, all of it: it replaces what it wanted before. */
    public static JsonObject want(String who, Candidacy all) {
        JsonObject op = op("want");
        op.addProperty("who", who);
        op.add("line", array(all.line()));
        op.add("spread", array(all.spread()));
        return op;
    }

    /** Tasks are given to these. Only a leader that knows that the former holders act no more asks for it. */
    public static JsonObject assign(List<Assignment> moves) {
        JsonObject op = op("assign");
        JsonArray all = new JsonArray();
        for (Assignment move : moves) {
            JsonArray one = new JsonArray();
            one.add(move.task());
            one.add(move.after());
            one.add(move.to());
            all.add(one);
        }
        op.add("moves", all);
        return op;
    }

    /** A process has ended: it wants nothing any more. */
    public static JsonObject gone(String who) {
        JsonObject op = op("gone");
        op.addProperty("who", who);
        return op;
    }

    /** What a holder leaves for the next one; turned down unless it holds the task by that token. */
    public static JsonObject note(String task, long token, String text) {
        JsonObject op = op("note");
        op.addProperty("task", task);
        op.addProperty("token", token);
        op.addProperty("text", text);
        return op;
    }

    private static JsonObject op(String kind) {
        JsonObject op = new JsonObject();
        op.addProperty(Ledger.PART, NAME);
        op.addProperty("op", kind);
        return op;
    }

    private static JsonArray array(Iterable<String> texts) {
        JsonArray all = new JsonArray();
        texts.forEach(all::add);
        return all;
    }

    private static Set<String> texts(JsonElement from) {
        Set<String> all = new LinkedHashSet<>();
        from.getAsJsonArray().forEach(one -> all.add(one.getAsString()));
        return all;
    }

    /** True if a task can be named so. */
    public static boolean isName(String name) {
        return name.matches(TASK);
    }

    @Override
    public JsonObject run(JsonObject op) {
        JsonObject answer = new JsonObject();
        String wrong = switch (op.get("op").getAsString()) {
            case "want" -> want(op);
            case "assign" -> assign(op, answer);
            case "gone" -> {
                replace(op.get("who").getAsString(), Candidacy.NONE);
                yield null;
            }
            case "note" -> note(op);
            default -> "is no operation on tasks";
        };
        if (wrong != null) {
            answer.addProperty("error", wrong);
        }
        version++;
        look();
        return answer;
    }

    private String want(JsonObject op) {
        Candidacy all = new Candidacy(texts(op.get("line")), texts(op.get("spread")));
        Set<String> named = new LinkedHashSet<>(all.line());
        named.addAll(all.spread());
        long unknown = named.stream().filter(name -> !tasks.containsKey(name)).count();
        if (named.stream().anyMatch(name -> !isName(name))) {
            return "a task is named by up to 128 letters, digits, '_', '.', ':', '/' and '-'";
        }
        if (tasks.size() + unknown > MOST_TASKS || wanted + named.size() > MOST_WANTS) {
            return "there are " + tasks.size() + " tasks, wanted " + wanted + " times: the most are " + MOST_TASKS
                    + " and " + MOST_WANTS;
        }
        replace(op.get("who").getAsString(), all);
        return null;
    }

    private void replace(String who, Candidacy all) {
        for (Task task : new ArrayList<>(tasks.values())) {
            boolean wants = all.line().contains(task.name()) || all.spread().contains(task.name());
            if (!wants && task.line().contains(who)) {
                List<String> line = new ArrayList<>(task.line());
                line.remove(who);
                wanted--;
                keep(new Task(task.name(), task.spread(), task.holder(), task.token(), List.copyOf(line), task.note()));
            }
        }
        all.line().forEach(name -> join(name, false, who));
        all.spread().forEach(name -> join(name, true, who));
        if (all.isNothing()) {
            wants.remove(who);
        } else {
            wants.put(who, all.digest());
        }
    }

    private void join(String name, boolean spread, String who) {
        Task task = tasks.get(name);
        if (task == null) {
            task = new Task(name, spread, "", 0, List.of(), "");
        }
        List<String> line = new ArrayList<>(task.line());
        if (!line.contains(who)) {
            line.add(who);
            wanted++;
        }
        tasks.put(name, new Task(name, spread, task.holder(), task.token(), List.copyOf(line), task.note()));
    }

    /** A task that nobody wants and that holds no note goes: tokens rise without it. */
    private void keep(Task task) {
        if (task.line().isEmpty() && task.note().isEmpty()) {
            tasks.remove(task.name());
        } else {
            tasks.put(task.name(), task);
        }
    }

    private String assign(JsonObject op, JsonObject answer) {
        int done = 0;
        for (JsonElement one : op.getAsJsonArray("moves")) {
            JsonArray move = one.getAsJsonArray();
            Task task = tasks.get(move.get(0).getAsString());
            String to = move.get(2).getAsString();
            if (task != null
                    && task.token() == move.get(1).getAsLong()
                    && task.line().contains(to)) {
                List<String> line = new ArrayList<>(task.line());
                line.remove(to);
                line.add(to);
                tasks.put(
                        task.name(),
                        new Task(task.name(), task.spread(), to, ++tokens, List.copyOf(line), task.note()));
                done++;
            }
        }
        answer.addProperty("done", done);
        return null;
    }

    private String note(JsonObject op) {
        Task task = tasks.get(op.get("task").getAsString());
        String text = op.get("text").getAsString();
        if (task == null || task.token() != op.get("token").getAsLong()) {
            return "token " + op.get("token") + " is not the latest of '"
                    + op.get("task").getAsString() + "'" + (task == null ? "" : ", that is " + task.token());
        }
        if (text.length() > MOST_NOTE) {
            return "a note has at most " + MOST_NOTE + " characters";
        }
        keep(new Task(task.name(), task.spread(), task.holder(), task.token(), task.line(), text));
        return null;
    }

    private void look() {
        view = new View(
                version,
                Collections.unmodifiableSortedMap(new TreeMap<>(tasks)),
                Collections.unmodifiableSortedMap(new TreeMap<>(wants)));
    }

    // ---- reading ----

    @Override
    public View view() {
        return view;
    }

    @Override
    public JsonObject snapshot() {
        JsonObject all = new JsonObject();
        JsonArray list = new JsonArray();
        for (Task task : tasks.values()) {
            JsonObject one = new JsonObject();
            one.addProperty("name", task.name());
            one.addProperty("spread", task.spread());
            one.addProperty("holder", task.holder());
            one.addProperty("token", task.token());
            one.add("line", array(task.line()));
            one.addProperty("note", task.note());
            list.add(one);
        }
        all.add("tasks", list);
        JsonObject digests = new JsonObject();
        wants.forEach(digests::addProperty);
        all.add("wants", digests);
        all.addProperty("tokens", tokens);
        all.addProperty("version", version);
        return all;
    }

    @Override
    public void restore(JsonObject from) {
        tasks.clear();
        wants.clear();
        wanted = 0;
        tokens = 0;
        version = 0;
        if (from != null) {
            for (JsonElement each : from.getAsJsonArray("tasks")) {
                JsonObject one = each.getAsJsonObject();
                List<String> line = List.copyOf(texts(one.get("line")));
                wanted += line.size();
                tasks.put(
                        one.get("name").getAsString(),
                        new Task(
                                one.get("name").getAsString(),
                                one.get("spread").getAsBoolean(),
                                one.get("holder").getAsString(),
                                one.get("token").getAsLong(),
                                line,
                                one.get("note").getAsString()));
            }
            from.getAsJsonObject("wants")
                    .entrySet()
                    .forEach(one -> wants.put(one.getKey(), one.getValue().getAsString()));
            tokens = from.get("tokens").getAsLong();
            version = from.get("version").getAsLong();
        }
        look();
    }
}
