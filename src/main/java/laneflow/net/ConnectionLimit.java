package laneflow.net;

/** A limit on open connections, and how many are open under it. */
final class ConnectionLimit {
    private int max;
    private int open;

    ConnectionLimit(int max) {
        this.max = max;
    }

    int max() {
        return max;
    }

    void setMax(int newMax) {
        max = newMax;
    }

    boolean hasRoom() {
        return open < max;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }
}
