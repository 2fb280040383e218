package laneflow.policy;

import laneflow.fleet.Fleet;
import laneflow.http.StreamPort.Responder;

/** HTTP answers of a scheduler to requests that only the leader can serve. */
public final class LeaderRedirect {
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain";

    private LeaderRedirect() {}

    /**
     * Redirects to the leader, or answers that none is known.
     *
     * @param leader the leader's name, or empty if unknown
     * @param path the path requested, the same at the leader
     * @param retryAdvice what a retry would do, for people
     */
    public static void answer(Fleet fleet, String leader, String path, Responder answer, String retryAdvice) {
        boolean isOtherNode = !leader.isEmpty() && !leader.equals(fleet.self().name());
        String address = isOtherNode ? fleet.address(leader) : null;
        if (address == null) {
            unavailable(answer, retryAdvice);
        } else {
            answer.respond(
                    TEMPORARY_REDIRECT,
                    TEXT,
                    "Location: http://" + address + path + "\r\n",
                    leader + " is the leader\n");
        }
    }

    /**
     * Answers that nothing can be decided, or read as decided, now.
     *
     * @param retryAdvice what a retry would do, for people
     */
    public static void unavailable(Responder answer, String retryAdvice) {
        answer.respond(
                UNAVAILABLE,
                TEXT,
                "Retry-After: 1\r\n",
                "there is no leader now, or no majority answers it: the outcome is unknown; " + retryAdvice + "\n");
    }
}
