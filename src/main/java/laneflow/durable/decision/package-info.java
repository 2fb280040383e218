/**
 * Decisions on durable jobs: what happens to a job after its attempts, how many jobs may run
 * concurrently, and which are admitted. Without I/O, threads or a clock of its own.
 */
package laneflow.durable.decision;
