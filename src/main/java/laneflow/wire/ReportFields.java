package laneflow.wire;

import laneflow.decision.Dispatch.LoadReport;

/** The names of a load report's values: the settings' own and those that site files use. */
public final class ReportFields {
    private ReportFields() {}

    /** Puts one value into the report; a name nobody knows is passed over. */
    public static void put(LoadReport report, String field, double value) {
        switch (field) {
            case "x0":
                report.freeSlots = value;
                break;
            case "x1":
                report.freeMemory = value;
                break;
            case "q":
            case "queue":
                report.queue = value;
                break;
            case "rate":
            case "qps":
                report.rate = value;
                break;
            default:
                break;
        }
    }
}
