package laneflow.core;

import java.util.UUID;

/**
 * Generates the ids by which clients, workers and endpoints tell jobs apart: request ids, idempotency keys and job
 * handles. They keep such ids for longer than a scheduler runs, and hear of jobs from several schedulers. So an id
 * comes from the operating system's random numbers, never from the configured seed or from a counter, which start again
 * with each process.
 */
public final class UniqueIds {
    private UniqueIds() {}

    /** Returns a random UUID (RFC 9562, version 4): 36 characters, hex digits and hyphens. Thread-safe. */
    public static String next() {
        return UUID.randomUUID().toString();
    }
}
