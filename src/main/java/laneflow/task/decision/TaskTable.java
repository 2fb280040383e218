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
 * The fleet's tasks as a state machine replicated in the voters' log: the holder and fencing token of each
 * task, and its candidates in order. Every assignment takes the next token of one counter, so tokens only
 * ever rise, across all tasks. The ends of leases are not kept here: they are in the leader's memory, and no
 * renewal is logged. An assignment names the token that it replaces, so one that is submitted twice, or by a
 * deposed leader, has no effect. Not thread-safe; performs no I/O and reads no clock.
 */
public final class TaskTable implements Ledger.Part {
    /** Name of this part of the ledger. */
    public static final String NAME = "tasks";

    public static final int MAX_TASKS = 4096;
    /** Total number of candidates over all tasks. */
    public static final int MAX_CANDIDATES = 65_536;
    /** In characters. */
    public static final int MAX_NOTE_LENGTH = 16 * 1024;

    private static final String TASK_NAME = "[A-Za-z0-9_.:/-]{1,128}";

    private final SortedMap<String, Task> tasks = new TreeMap<>();
    /** Digest of each process's candidacy, by process. */
    private final SortedMap<String, String> candidacyDigests = new TreeMap<>();

    private long lastToken;
    private long version;
    private int candidateCount;
    private View view;

    /**
     * One task.
     *
     * @param placed true if it is placed by rendezvous hashing, false if it rotates among its candidates
     * @param holder the current or last holder; empty before the first assignment
     * @param token that holder's token; 0 before the first assignment
     * @param candidates processes that may be assigned the task; an assigned one moves to the end
     * @param note text that a holder has left for its successor, or empty
     */
    public record Task(String name, boolean placed, String holder, long token, List<String> candidates, String note) {}

    /**
     * An immutable snapshot of the table.
     *
     * @param version number of operations applied
     * @param candidacyDigests digest of each process's candidacy, by process
     */
    public record View(long version, SortedMap<String, Task> tasks, SortedMap<String, String> candidacyDigests) {}

    /** Assigns a task to a process if the task's token is still the given one. */
    public record Assignment(String task, long previousToken, String process) {}

    public TaskTable() {
        refreshView();
    }

    // ---- operations ----

    /** Sets a process's candidacy, replacing its previous one. */
    public static JsonObject setCandidacy(String process, Candidacy candidacy) {
        JsonObject op = op("want");
        op.addProperty("who", process);
        op.add("line", array(candidacy.rotating()));
        op.add("spread", array(candidacy.placed()));
        return op;
    }

    /** Assigns tasks. Submitted only by a leader that knows that the previous holders no longer act on them. */
    public static JsonObject assign(List<Assignment> assignments) {
        JsonObject op = op("assign");
        JsonArray all = new JsonArray();
        for (Assignment assignment : assignments) {
            JsonArray fields = new JsonArray();
            fields.add(assignment.task());
            fields.add(assignment.previousToken());
            fields.add(assignment.process());
            all.add(fields);
        }
        op.add("moves", all);
        return op;
    }

    /** Removes the candidacy of a process that has ended. */
    public static JsonObject removeProcess(String process) {
        JsonObject op = op("gone");
        op.addProperty("who", process);
        return op;
    }

    /** Stores a holder's note for its successor; rejected unless the token is the task's latest. */
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

    private static Set<String> strings(JsonElement from) {
        Set<String> all = new LinkedHashSet<>();
        from.getAsJsonArray().forEach(element -> all.add(element.getAsString()));
        return all;
    }

    /** True if this is a valid name of a task. */
    public static boolean isName(String name) {
        return name.matches(TASK_NAME);
    }

    @Override
    public JsonObject run(JsonObject op) {
        JsonObject answer = new JsonObject();
        String error = switch (op.get("op").getAsString()) {
            case "want" -> setCandidacy(op);
            case "assign" -> assign(op, answer);
            case "gone" -> {
                replaceCandidacy(op.get("who").getAsString(), Candidacy.NONE);
                yield null;
            }
            case "note" -> note(op);
            default -> "unknown operation on tasks";
        };
        if (error != null) {
            answer.addProperty("error", error);
        }
        version++;
        refreshView();
        return answer;
    }

    private String setCandidacy(JsonObject op) {
        Candidacy candidacy = new Candidacy(strings(op.get("line")), strings(op.get("spread")));
        Set<String> named = new LinkedHashSet<>(candidacy.rotating());
        named.addAll(candidacy.placed());
        long unknown = named.stream().filter(name -> !tasks.containsKey(name)).count();
        if (named.stream().anyMatch(name -> !isName(name))) {
            return "a task name has 1 to 128 characters: letters, digits, '_', '.', ':', '/' and '-'";
        }
        if (tasks.size() + unknown > MAX_TASKS || candidateCount + named.size() > MAX_CANDIDATES) {
            return "there are " + tasks.size() + " tasks and " + candidateCount + " candidates, the limits are "
                    + MAX_TASKS + " and " + MAX_CANDIDATES;
        }
        replaceCandidacy(op.get("who").getAsString(), candidacy);
        return null;
    }

    private void replaceCandidacy(String process, Candidacy candidacy) {
        for (Task task : new ArrayList<>(tasks.values())) {
            boolean applies = candidacy.rotating().contains(task.name())
                    || candidacy.placed().contains(task.name());
            if (!applies && task.candidates().contains(process)) {
                List<String> candidates = new ArrayList<>(task.candidates());
                candidates.remove(process);
                candidateCount--;
                storeOrRemove(new Task(
                        task.name(), task.placed(), task.holder(), task.token(), List.copyOf(candidates), task.note()));
            }
        }
        candidacy.rotating().forEach(name -> addCandidate(name, false, process));
        candidacy.placed().forEach(name -> addCandidate(name, true, process));
        if (candidacy.isNothing()) {
            candidacyDigests.remove(process);
        } else {
            candidacyDigests.put(process, candidacy.digest());
        }
    }

    private void addCandidate(String name, boolean placed, String process) {
        Task task = tasks.get(name);
        if (task == null) {
            task = new Task(name, placed, "", 0, List.of(), "");
        }
        List<String> candidates = new ArrayList<>(task.candidates());
        if (!candidates.contains(process)) {
            candidates.add(process);
            candidateCount++;
        }
        tasks.put(name, new Task(name, placed, task.holder(), task.token(), List.copyOf(candidates), task.note()));
    }

    /** Removes a task without candidates and note; its later tokens still rise, as the counter is shared. */
    private void storeOrRemove(Task task) {
        if (task.candidates().isEmpty() && task.note().isEmpty()) {
            tasks.remove(task.name());
        } else {
            tasks.put(task.name(), task);
        }
    }

    private String assign(JsonObject op, JsonObject answer) {
        int assigned = 0;
        for (JsonElement element : op.getAsJsonArray("moves")) {
            JsonArray fields = element.getAsJsonArray();
            Task task = tasks.get(fields.get(0).getAsString());
            String process = fields.get(2).getAsString();
            if (task != null
                    && task.token() == fields.get(1).getAsLong()
                    && task.candidates().contains(process)) {
                List<String> candidates = new ArrayList<>(task.candidates());
                candidates.remove(process);
                candidates.add(process);
                tasks.put(
                        task.name(),
                        new Task(
                                task.name(),
                                task.placed(),
                                process,
                                ++lastToken,
                                List.copyOf(candidates),
                                task.note()));
                assigned++;
            }
        }
        answer.addProperty("done", assigned);
        return null;
    }

    private String note(JsonObject op) {
        Task task = tasks.get(op.get("task").getAsString());
        String text = op.get("text").getAsString();
        if (task == null || task.token() != op.get("token").getAsLong()) {
            return "token " + op.get("token") + " is not the latest token of task '"
                    + op.get("task").getAsString() + "'" + (task == null ? "" : ", which is " + task.token());
        }
        if (text.length() > MAX_NOTE_LENGTH) {
            return "a note is limited to " + MAX_NOTE_LENGTH + " characters";
        }
        storeOrRemove(new Task(task.name(), task.placed(), task.holder(), task.token(), task.candidates(), text));
        return null;
    }

    private void refreshView() {
        view = new View(
                version,
                Collections.unmodifiableSortedMap(new TreeMap<>(tasks)),
                Collections.unmodifiableSortedMap(new TreeMap<>(candidacyDigests)));
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
            JsonObject fields = new JsonObject();
            fields.addProperty("name", task.name());
            fields.addProperty("spread", task.placed());
            fields.addProperty("holder", task.holder());
            fields.addProperty("token", task.token());
            fields.add("line", array(task.candidates()));
            fields.addProperty("note", task.note());
            list.add(fields);
        }
        all.add("tasks", list);
        JsonObject digests = new JsonObject();
        candidacyDigests.forEach(digests::addProperty);
        all.add("wants", digests);
        all.addProperty("tokens", lastToken);
        all.addProperty("version", version);
        return all;
    }

    @Override
    public void restore(JsonObject from) {
        tasks.clear();
        candidacyDigests.clear();
        candidateCount = 0;
        lastToken = 0;
        version = 0;
        if (from != null) {
            for (JsonElement element : from.getAsJsonArray("tasks")) {
                JsonObject fields = element.getAsJsonObject();
                List<String> candidates = List.copyOf(strings(fields.get("line")));
                candidateCount += candidates.size();
                tasks.put(
                        fields.get("name").getAsString(),
                        new Task(
                                fields.get("name").getAsString(),
                                fields.get("spread").getAsBoolean(),
                                fields.get("holder").getAsString(),
                                fields.get("token").getAsLong(),
                                candidates,
                                fields.get("note").getAsString()));
            }
            from.getAsJsonObject("wants")
                    .entrySet()
                    .forEach(entry -> candidacyDigests.put(
                            entry.getKey(), entry.getValue().getAsString()));
            lastToken = from.get("tokens").getAsLong();
            version = from.get("version").getAsLong();
        }
        refreshView();
    }
}
