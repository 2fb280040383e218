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
 * Converts messages and log entries of the Raft library to and from JSON by means of the library's public
 * interfaces: each property that a builder can set is written with the getter of the same name and read back
 * with the builder. Unknown fields are ignored, so that later builds may add some.
 */
final class RaftCodec {
    private static final Map<String, Class<?>> MESSAGES = new LinkedHashMap<>();
    private static final Map<Class<?>, Class<?>> BUILDERS = new LinkedHashMap<>();
    /** Used on the voter thread and, at the start, on the thread that opens the store. */
    private static final Map<Class<?>, ModelAccess> ACCESS = new ConcurrentHashMap<>();

    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final String GROUP_ID = "policy";

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

    /** The group id, the same for all voters. */
    static String groupId() {
        return GROUP_ID;
    }

    static JsonObject write(RaftMessage message) {
        for (Map.Entry<String, Class<?>> messageType : MESSAGES.entrySet()) {
            if (messageType.getValue().isInstance(message)) {
                JsonObject json = fields(message, messageType.getValue());
                json.addProperty("kind", messageType.getKey());
                return json;
            }
        }
        throw new IllegalArgumentException("not a Raft message: " + message);
    }

    /**
     * Reads a message.
     *
     * @throws IllegalArgumentException if it is not one
     */
    static RaftMessage read(JsonObject json) {
        Class<?> model = MESSAGES.get(json.get("kind").getAsString());
        if (model == null) {
            throw new IllegalArgumentException("a message of unknown kind " + json.get("kind"));
        }
        return (RaftMessage) build(json, model);
    }

    /** Writes an operation of the log. */
    static JsonElement writeOperation(Object operation) {
        if (operation == null) {
            return JsonNull.INSTANCE;
        }
        if (operation instanceof UpdateRaftGroupMembersOp members) {
            JsonObject json = new JsonObject();
            json.add("members", voters(members.getMembers()));
            json.add("voting", voters(members.getVotingMembers()));
            json.addProperty("endpoint", members.getEndpoint().getId().toString());
            json.addProperty("mode", members.getMode().name());
            return json;
        }
        return new JsonPrimitive((String) operation);
    }

    static Object readOperation(JsonElement json) {
        if (json == null || json.isJsonNull()) {
            return null;
        }
        if (json.isJsonPrimitive()) {
            return json.getAsString();
        }
        JsonObject operation = json.getAsJsonObject();
        UpdateRaftGroupMembersOpBuilder builder = MODELS.createUpdateRaftGroupMembersOpBuilder();
        return builder.setMembers(readVoters(operation.getAsJsonArray("members")))
                .setVotingMembers(readVoters(operation.getAsJsonArray("voting")))
                .setEndpoint(VoterId.parse(operation.get("endpoint").getAsString()))
                .setMode(MembershipChangeMode.valueOf(operation.get("mode").getAsString()))
                .build();
    }

    static JsonArray voters(Collection<RaftEndpoint> endpoints) {
        JsonArray names = new JsonArray();
        endpoints.forEach(endpoint -> names.add(endpoint.getId().toString()));
        return names;
    }

    static Collection<RaftEndpoint> readVoters(JsonArray ids) {
        Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
        ids.forEach(id -> endpoints.add(VoterId.parse(id.getAsString())));
        return endpoints;
    }

    static JsonObject writeMembers(RaftGroupMembersView view) {
        return fields(view, RaftGroupMembersView.class);
    }

    static RaftGroupMembersView readMembers(JsonObject json) {
        return (RaftGroupMembersView) build(json, RaftGroupMembersView.class);
    }

    static LogEntry entry(long index, int term, Object operation) {
        LogEntryBuilder builder = MODELS.createLogEntryBuilder();
        return builder.setIndex(index).setTerm(term).setOperation(operation).build();
    }

    // ---- reflection on the library's interfaces ----

    /** A property that a builder of the library can set, and its getter. */
    private record Field(String name, Method set, Method get, Type type) {}

    /** The methods that create and read a model; cached, since messages are converted all the time. */
    private static final class ModelAccess {
        private final List<Field> fields = new ArrayList<>();
        private final Method create;
        private final Method setGroupId;
        private final Method build;

        private ModelAccess(Class<?> type) {
            Class<?> builder = BUILDERS.get(type);
            create = require(RaftModelFactory.class, method -> method.getReturnType() == builder);
            setGroupId = find(builder, method -> method.getName().equals("setGroupId"));
            build = require(builder, method -> method.getName().equals("build"));
            for (Method set : builder.getMethods()) {
                String name = set.getName();
                if (name.startsWith("set") && !name.equals("setGroupId")) {
                    String property = name.substring(3);
                    Method get = require(
                            type,
                            method -> method.getParameterCount() == 0
                                    && (method.getName().equals("get" + property)
                                            || method.getName().equals("is" + property)));
                    fields.add(new Field(property, set, get, set.getGenericParameterTypes()[0]));
                }
            }
        }

        private static Method find(Class<?> type, Predicate<Method> wanted) {
            return Arrays.stream(type.getMethods()).filter(wanted).findFirst().orElse(null);
        }

        private static Method require(Class<?> type, Predicate<Method> wanted) {
            Method found = find(type, wanted);
            if (found == null) {
                throw new IllegalStateException("the Raft library's " + type + " lacks an expected method");
            }
            return found;
        }
    }

    private static JsonObject fields(Object model, Class<?> type) {
        JsonObject json = new JsonObject();
        for (Field field : accessOf(type).fields) {
            json.add(field.name(), toJson(invoke(field.get(), model)));
        }
        return json;
    }

    private static ModelAccess accessOf(Class<?> type) {
        return ACCESS.computeIfAbsent(type, ModelAccess::new);
    }

    private static JsonElement toJson(Object value) {
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
        if (value instanceof Collection<?> collection) {
            JsonArray array = new JsonArray();
            collection.forEach(element -> array.add(toJson(element)));
            return array;
        }
        return writeOperation(value);
    }

    private static Object build(JsonObject json, Class<?> type) {
        ModelAccess access = accessOf(type);
        Object builder = invoke(access.create, MODELS);
        if (access.setGroupId != null) {
            invoke(access.setGroupId, builder, GROUP_ID);
        }
        for (Field field : access.fields) {
            JsonElement value = json.get(field.name());
            if (value != null && !value.isJsonNull()) {
                invoke(field.set(), builder, read(value, field.type()));
            }
        }
        return invoke(access.build, builder);
    }

    private static Object read(JsonElement json, Type type) {
        if (type == long.class) {
            return json.getAsLong();
        }
        if (type == int.class) {
            return json.getAsInt();
        }
        if (type == boolean.class) {
            return json.getAsBoolean();
        }
        if (type == RaftEndpoint.class) {
            return VoterId.parse(json.getAsString());
        }
        if (type == Object.class) {
            return readOperation(json);
        }
        if (type instanceof ParameterizedType parameterized) {
            Type elementType = parameterized.getActualTypeArguments()[0];
            List<Object> list = new ArrayList<>();
            json.getAsJsonArray().forEach(element -> list.add(read(element, elementType)));
            return list;
        }
        return build(json.getAsJsonObject(), (Class<?>) type);
    }

    private static Object invoke(Method method, Object target, Object... arguments) {
        try {
            return method.invoke(target, arguments);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        } catch (InvocationTargetException e) {
            throw new IllegalArgumentException(e.getCause());
        }
    }
}
