/**
 * Decisions about leased tasks: assignment and balancing at the leader, and the time at which a holder must
 * stop acting. Performs no I/O, starts no threads and reads no clock.
 */
package laneflow.task.decision;
