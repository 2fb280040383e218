package laneflow.wire;

import laneflow.decision.Dispatch.LoadReport;

/** Maps the field names of a load report, as used in settings and site files, to its values. */
public final class ReportFields {
    private ReportFields() {}

    /** Sets one value of the report; unknown names are ignored. */
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
