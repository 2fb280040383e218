/**
 * Decisions on durable jobs: what becomes of a job after its attempts, how many may be in progress,
 * what is admitted. Without I/O, threads or a clock of its own.
 */
package laneflow.durable.decision;
