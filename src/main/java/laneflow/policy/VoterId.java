package laneflow.policy;

import io.microraft.RaftEndpoint;

/**
 * A voter: the name of its scheduler and the id of its store. A scheduler that lost its store is a different
 * voter, so that its old votes no longer count.
 */
record VoterId(String name, String storeId) implements RaftEndpoint {
    @Override
    public Object getId() {
        return text();
    }

    String text() {
        return name + "@" + storeId;
    }

    static VoterId parse(String text) {
        int separator = text.lastIndexOf('@');
        if (separator < 1 || separator == text.length() - 1) {
            throw new IllegalArgumentException("'" + text + "' is not a voter id: expected NAME@STORE");
        }
        return new VoterId(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return text();
    }
}
