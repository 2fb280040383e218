package laneflow.wire;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.ReportSource;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Tenant;
import laneflow.decision.Dispatch.WeightSource;

/** Parses the JSON settings into {@link Settings}: unknown keys are ignored, absent ones keep their defaults. */
public final class SettingsReader {
    /** The parsed settings. */
    public final Settings settings = new Settings();

    /** The names of a load report's values, in wire order. */
    public final String[] reportFields;

    private SettingsReader(JsonObject root) throws WireException {
        Settings target = settings;
        target.zone = integer(root, "az", 0);
        target.zones = Math.max(1, array(root, "areas").size());
        target.dispatcherIndex = integer(root, "slotNo", 0);
        target.dispatchers = Math.max(1, integer(root, "siblings", 1));
        target.listNeedsSubscription = text(root, "discovery", "push").equals("ask");
        target.weights = weights(text(root, "weightSource", "none"));
        target.tick = number(root, "tick", target.tick);
        classes(root);
        customers(array(root, "customers"));
        target.overShareWorth = number(root, "overShareWorth", target.overShareWorth);
        limits(object(root, "limits"));
        rules(object(root, "rules"));
        JsonObject info = object(root, "familyInfo");
        target.tellsStart = flag(info, "tellsStart", false);
        target.progressInterval = number(info, "progress", 0);
        target.headOfLineBlocking = text(info, "queueOrder", "fifo").equals("fifo");
        JsonObject reporting = object(root, "reporting");
        target.reports = reports(text(reporting, "source", "none"));
        JsonArray fields = array(reporting, "fields");
        reportFields = new String[fields.size()];
        for (int i = 0; i < reportFields.length; i++) {
            reportFields[i] = fields.get(i).getAsString();
        }
    }

    /** Parses the settings; throws WireException with the reason if they are invalid. */
    public static SettingsReader read(String text) throws WireException {
        try {
            JsonElement root = JsonParser.parseString(text);
            if (!root.isJsonObject()) {
                throw new WireException("settings are not a JSON object");
            }
            return new SettingsReader(root.getAsJsonObject());
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException | NumberFormatException e) {
            String reason = String.valueOf(e.getMessage()).split("\n")[0];
            throw new WireException("invalid settings: " + reason);
        }
    }

    private void classes(JsonObject root) throws WireException {
        JsonArray classes = array(root, "classes");
        if (classes.size() == 0) {
            throw new WireException("settings name no classes");
        }
        JsonObject info = object(root, "familyInfo");
        settings.classes = new JobClass[classes.size()];
        for (int i = 0; i < classes.size(); i++) {
            JsonObject from = classes.get(i).getAsJsonObject();
            JobClass to = new JobClass();
            to.aim = number(from, "aim", to.aim);
            to.stretch = number(from, "aimStretch", elementAt(info, "classStretch", i, 0));
            to.deadline = number(from, "hardLimit", to.deadline);
            to.worth = number(from, "worth", to.worth);
            to.lateWorth = number(from, "lateWorth", 0);
            to.effect = effect(text(from, "semantics", "side_effect"));
            to.group = group(text(from, "group", "cell"));
            to.dedupWindow = number(from, "dedupWindow", 0);
            to.stream = flag(from, "stream", false);
            to.kind = (int) elementAt(info, "classKind", i, -1);
            settings.classes[i] = to;
        }
    }

    private void customers(JsonArray from) {
        settings.tenants = new Tenant[from.size()];
        for (int i = 0; i < settings.tenants.length; i++) {
            Tenant tenant = new Tenant();
            settings.tenants[i] = tenant;
            JsonObject customer = from.get(i).getAsJsonObject();
            tenant.name = text(customer, "name", tenant.name);
            tenant.quota = number(customer, "quotaPerS", 0);
            tenant.portion = number(customer, "portion", 0);
        }
    }

    private void limits(JsonObject from) {
        Settings target = settings;
        target.mayCancel = flag(from, "cancel", false);
        target.mayProbe = flag(from, "probes", false);
        target.secondCopies = flag(from, "secondCopies", false);
        target.retryAfter = flag(from, "retryAfter", false);
        target.maxAttempts = integer(from, "maxAttempts", target.maxAttempts);
        target.maxRetryAfter = number(from, "maxRetryAfter", 0);
        target.connectTimeout = number(from, "connectTimeout", target.connectTimeout);
    }

    private void rules(JsonObject from) {
        Settings target = settings;
        target.drainGrace = number(from, "stopSendingWithin", 0);
        target.coldShare = number(from, "coldFrom", target.coldShare);
        target.coldFor = number(from, "cold", 0);
        target.fallMultiple = number(from, "tipMultiple", target.fallMultiple);
        target.fallWithin = number(from, "fall", 0);
        target.fullMayHaveRun = flag(from, "lateShedding", false);
        target.retryFree = number(from, "spareAttempts", 0);
        target.retryShare = number(from, "repeatRatio", 0);
        target.retryWindow = number(from, "resendSpan", 0);
        target.crossEachWay = number(from, "crossEachWay", target.crossEachWay);
        target.closeOnDrainWithin = number(from, "closeOnDrainWithin", 0);
    }

    private static Effect effect(String value) throws WireException {
        switch (value) {
            case "pure":
                return Effect.SAFE;
            case "token":
                return Effect.KEYED;
            case "side_effect":
                return Effect.UNSAFE;
            default:
                throw new WireException("class semantics '" + value + "' are unknown");
        }
    }

    private static Group group(String value) {
        return value.equals("all") ? Group.ALL : value.equals("zone") ? Group.ZONE : Group.CELL;
    }

    private static ReportSource reports(String value) {
        return value.equals("answers")
                ? ReportSource.ANSWERS
                : value.equals("probe") ? ReportSource.PROBES : ReportSource.NONE;
    }

    private static WeightSource weights(String value) {
        return value.equals("nominal")
                ? WeightSource.NOMINAL
                : value.equals("rough")
                        ? WeightSource.ROUGH
                        : value.equals("live") ? WeightSource.LIVE : WeightSource.NONE;
    }

    private static boolean has(JsonObject from, String key) {
        return from.has(key) && !from.get(key).isJsonNull();
    }

    private static double number(JsonObject from, String key, double fallback) {
        return has(from, key) ? from.get(key).getAsDouble() : fallback;
    }

    private static int integer(JsonObject from, String key, int fallback) {
        return (int) number(from, key, fallback);
    }

    private static boolean flag(JsonObject from, String key, boolean fallback) {
        return has(from, key) ? from.get(key).getAsBoolean() : fallback;
    }

    private static String text(JsonObject from, String key, String fallback) {
        return has(from, key) ? from.get(key).getAsString() : fallback;
    }

    private static JsonObject object(JsonObject from, String key) {
        return has(from, key) ? from.get(key).getAsJsonObject() : new JsonObject();
    }

    private static JsonArray array(JsonObject from, String key) {
        return has(from, key) ? from.get(key).getAsJsonArray() : new JsonArray();
    }

    private static double elementAt(JsonObject from, String key, int i, double fallback) {
        JsonArray values = array(from, key);
        return i < values.size() && !values.get(i).isJsonNull() ? values.get(i).getAsDouble() : fallback;
    }
}
