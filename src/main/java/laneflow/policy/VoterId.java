package laneflow.policy;

import io.microraft.RaftEndpoint;

/**
 * A voter: the name of its scheduler and the mark of its disk. One that lost its disk is another voter, and
 * its old vote is nobody's.
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
        int at = text.lastIndexOf('@');
        if (at < 1 || at == text.length() - 1) {
            throw new IllegalArgumentException("'" + text + "' names no voter");
        }
        return new VoterId(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public String toString() {
        return text();
    }
}
