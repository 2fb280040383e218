package laneflow.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.wire.ReportFields;

/** Parses endpoints' load reports: a JSON object, or {@code name=value,name=value}. */
final class LoadReports {
    private LoadReports() {}

    /** Parses a JSON object; null if there is none. */
    static LoadReport parse(JsonElement json) {
        if (json == null || !json.isJsonObject()) {
            return null;
        }
        LoadReport report = new LoadReport();
        JsonObject object = json.getAsJsonObject();
        for (Map.Entry<String, JsonElement> field : object.entrySet()) {
            if (field.getValue().isJsonPrimitive()
                    && field.getValue().getAsJsonPrimitive().isNumber()) {
                ReportFields.put(report, field.getKey(), field.getValue().getAsDouble());
            }
        }
        return report;
    }

    /** Parses {@code name=value} pairs, and skips malformed ones; null for null. */
    static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        LoadReport report = new LoadReport();
        for (String pair : text.split(",")) {
            String[] parts = pair.strip().split("=", 2);
            if (parts.length == 2 && parts[1].matches("[0-9]{1,9}(\\.[0-9]{1,12})?([eE][-+]?[0-9]{1,2})?")) {
                ReportFields.put(report, parts[0], Double.parseDouble(parts[1]));
            }
        }
        return report;
    }
}
