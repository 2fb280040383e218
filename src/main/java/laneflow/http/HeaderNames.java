package laneflow.http;

/** Lower-case names of the platform's headers. */
final class HeaderNames {
    static final String ID = "req-id";
    static final String CLASS = "req-kind";
    static final String DEADLINE = "req-deadline-ms";
    static final String COST = "req-cost";
    static final String OWNER = "req-owner";
    static final String EXTRA = "req-extra";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String LOAD = "srv-load";
    static final String DECLINED = "srv-declined";

    private HeaderNames() {}
}
