/**
 * The scheduler's core: requests, attempts, endpoints, deadlines and counters, independent of any wire
 * protocol.
 *
 * <p>Everything here is owned by the I/O thread and is not synchronized. {@link
 * laneflow.core.Scheduler} connects the fronts, which submit requests, the connectors, which perform
 * attempts, and the decision module, which chooses. Instants and durations are microseconds on the
 * monotonic clock unless a name says otherwise.
 */
package laneflow.core;
