package laneflow.policy;

import laneflow.fleet.Fleet;
import laneflow.http.StreamPort.Answer;

/** Answers of a scheduler that does not lead to requests that only the leader can serve. */
public final class LeaderRedirect {
    private static final int TEMPORARY_REDIRECT = 307;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain";

    private LeaderRedirect() {}

    /**
     * Points to the leader, or says that none is known.
     *
     * @param leader its name as far as is known, or empty
     * @param path what was asked for, the same at the leader
     * @param again what asking again would do, for people
     */
    public static void answer(Fleet fleet, String leader, String path, Answer answer, String retryAdvice) {
        boolean isOtherNode = !leader.isEmpty() && !leader.equals(fleet.self().name());
        String address = isOtherNode ? fleet.address(leader) : null;
        if (address == null) {
            unavailable(answer, retryAdvice);
        } else {
            answer.say(TEMPORARY_REDIRECT, TEXT, "Location: http://" + address + path + "\r\n", leader + " leads\n");
        }
    }

    /**
     * Says that nothing can be decided, or read as decided, now.
     *
     * @param again what asking again would do, for people
     */
    public static void unavailable(Answer answer, String retryAdvice) {
        answer.say(
                UNAVAILABLE,
                TEXT,
                "Retry-After: 1\r\n",
                "no voter leads now, or no majority answers it: nothing is known to be decided; " + retryAdvice + "\n");
    }
}
