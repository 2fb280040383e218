package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp.UpdateRaftGroupMembersOpBuilder;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.LogEntry.LogEntryBuilder;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Messages and log entries of the consensus library as JSON, by its public interfaces: what a builder can be
 * told is written by the getter of that name and read back by the builder. Fields that this build does not
 * know are passed over, so a later one may add some.
 */
final class RaftCodec {
    private static final Map<String, Class<?>> MESSAGES = new LinkedHashMap<>();
    private static final Map<Class<?>, Class<?>> BUILDERS = new LinkedHashMap<>();
    /** Asked on the voter's thread, and at the start on that which opens its store. */
    private static final Map<Class<?>, Shape> SHAPES = new ConcurrentHashMap<>();

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final String GROUP = "policy";

    static {
        for (Method create : RaftModelFactory.class.getMethods()) {
            Class<?> builder = create.getReturnType();
            Class<?> model = builder.getDeclaringClass();
            BUILDERS.put(model, builder);
            if (RaftMessage.class.isAssignableFrom(model)) {
                MESSAGES.put(model.getSimpleName(), model);
            }
        }
    }

    private RaftCodec() {}

    static RaftModelFactory models() {
        return MODELS;
    }

    /** All voters are of one group. */
    static String group() {
        return GROUP;
    }

    static JsonObject write(RaftMessage message) {
        for (Map.Entry<String, Class<?>> one : MESSAGES.entrySet()) {
            if (one.getValue().isInstance(message)) {
                JsonObject all = fields(message, one.getValue());
                all.addProperty("kind", one.getKey());
                return all;
            }
        }
        throw new IllegalArgumentException("no message: " + message);
    }

    /** Reads a message; what is none is an IllegalArgumentException. */
    static RaftMessage read(JsonObject from) {
        Class<?> model = MESSAGES.get(from.get("kind").getAsString());
        if (model == null) {
            throw new IllegalArgumentException("a message of an unknown kind, " + from.get("kind"));
        }
        return (RaftMessage) build(from, model);
    }

    /** An operation of the log. */
    static JsonElement writeOperation(Object operation) {
        if (operation == null) {
            return JsonNull.INSTANCE;
        }
        if (operation instanceof UpdateRaftGroupMembersOp members) {
            JsonObject all = new JsonObject();
            all.add("members", voters(members.getMembers()));
            all.add("voting", voters(members.getVotingMembers()));
            all.addProperty("endpoint", members.getEndpoint().getId().toString());
            all.addProperty("mode", members.getMode().name());
            return all;
        }
        return new JsonPrimitive((String) operation);
    }

    static Object readOperation(JsonElement from) {
        if (from == null || from.isJsonNull()) {
            return null;
        }
        if (from.isJsonPrimitive()) {
            return from.getAsString();
        }
        JsonObject all = from.getAsJsonObject();
        UpdateRaftGroupMembersOpBuilder builder = MODELS.createUpdateRaftGroupMembersOpBuilder();
        return builder.setMembers(readVoters(all.getAsJsonArray("members")))
                .setVotingMembers(readVoters(all.getAsJsonArray("voting")))
                .setEndpoint(VoterId.parse(all.get("endpoint").getAsString()))
                .setMode(MembershipChangeMode.valueOf(all.get("mode").getAsString()))
                .build();
    }

    static JsonArray voters(Collection<RaftEndpoint> all) {
        JsonArray names = new JsonArray();
        all.forEach(one -> names.add(one.getId().toString()));
        return names;
    }

    static Collection<RaftEndpoint> readVoters(JsonArray from) {
        Collection<RaftEndpoint> all = new LinkedHashSet<>();
        from.forEach(one -> all.add(VoterId.parse(one.getAsString())));
        return all;
    }

    static JsonObject writeMembers(RaftGroupMembersView view) {
        return fields(view, RaftGroupMembersView.class);
    }

    static RaftGroupMembersView readMembers(JsonObject from) {
        return (RaftGroupMembersView) build(from, RaftGroupMembersView.class);
    }

    static LogEntry entry(long index, int term, Object operation) {
        LogEntryBuilder builder = MODELS.createLogEntryBuilder();
        return builder.setIndex(index).setTerm(term).setOperation(operation).build();
    }

    // ---- by the library's interfaces ----

    /** What a builder of the library's can be told, and the getter of that name. */
    private record Field(String name, Method set, Method get, Type as) {}

    /** How a model is made and read; found out once, since messages go to and fro all the time. */
    private static final class Shape {
        private final List<Field> fields = new ArrayList<>();
        private final Method create;
        private final Method group;
        private final Method build;

        private Shape(Class<?> type) {
            Class<?> builder = BUILDERS.get(type);
            create = only(RaftModelFactory.class, one -> one.getReturnType() == builder);
            group = first(builder, one -> one.getName().equals("setGroupId"));
            build = only(builder, one -> one.getName().equals("build"));
            for (Method set : builder.getMethods()) {
                String name = set.getName();
                if (name.startsWith("set") && !name.equals("setGroupId")) {
                    String bare = name.substring(3);
                    Method get = only(
                            type,
                            one -> one.getParameterCount() == 0
                                    && (one.getName().equals("get" + bare)
                                            || one.getName().equals("is" + bare)));
                    fields.add(new Field(bare, set, get, set.getGenericParameterTypes()[0]));
                }
            }
        }

        private static Method first(Class<?> of, Predicate<Method> wanted) {
            return Arrays.stream(of.getMethods()).filter(wanted).findFirst().orElse(null);
        }

        private static Method only(Class<?> of, Predicate<Method> wanted) {
            Method found = first(of, wanted);
            if (found == null) {
                throw new IllegalStateException("the library's " + of + " is another than was built for");
            }
            return found;
        }
    }

    private static JsonObject fields(Object model, Class<?> type) {
        JsonObject all = new JsonObject();
        for (Field field : shape(type).fields) {
            all.add(field.name(), value(call(field.get(), model)));
        }
        return all;
    }

    private static Shape shape(Class<?> type) {
        return SHAPES.computeIfAbsent(type, Shape::new);
    }

    private static JsonElement value(Object value) {
        if (value instanceof Number number) {
            return new JsonPrimitive(number);
        }
        if (value instanceof Boolean flag) {
            return new JsonPrimitive(flag);
        }
        if (value instanceof RaftEndpoint voter) {
            return new JsonPrimitive(voter.getId().toString());
        }
        if (value instanceof LogEntry entry) {
            return fields(entry, LogEntry.class);
        }
        if (value instanceof SnapshotChunk chunk) {
            return fields(chunk, SnapshotChunk.class);
        }
        if (value instanceof RaftGroupMembersView view) {
            return fields(view, RaftGroupMembersView.class);
        }
        if (value instanceof Collection<?> many) {
            JsonArray all = new JsonArray();
            many.forEach(one -> all.add(value(one)));
            return all;
        }
        return writeOperation(value);
    }

    private static Object build(JsonObject from, Class<?> type) {
        Shape shape = shape(type);
        Object builder = call(shape.create, MODELS);
        if (shape.group != null) {
            call(shape.group, builder, GROUP);
        }
        for (Field field : shape.fields) {
            JsonElement value = from.get(field.name());
            if (value != null && !value.isJsonNull()) {
                call(field.set(), builder, read(value, field.as()));
            }
        }
        return call(shape.build, builder);
    }

    private static Object read(JsonElement from, Type as) {
        if (as == long.class) {
            return from.getAsLong();
        }
        if (as == int.class) {
            return from.getAsInt();
        }
        if (as == boolean.class) {
            return from.getAsBoolean();
        }
        if (as == RaftEndpoint.class) {
            return VoterId.parse(from.getAsString());
        }
        if (as == Object.class) {
            return readOperation(from);
        }
        if (as instanceof ParameterizedType many) {
            Type of = many.getActualTypeArguments()[0];
            List<Object> all = new ArrayList<>();
            from.getAsJsonArray().forEach(one -> all.add(read(one, of)));
            return all;
        }
        return build(from.getAsJsonObject(), (Class<?>) as);
    }

    private static Object call(Method method, Object on, Object... with) {
        try {
            return method.invoke(on, with);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        } catch (InvocationTargetException e) {
            throw new IllegalArgumentException(e.getCause());
        }
    }
}
