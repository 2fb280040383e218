/**
 * Decisions on streamed versions: which one to adopt, staged rollout by share, trial and probation,
 * rollback. Without I/O, threads or a clock of its own; instants are microseconds.
 */
package laneflow.control.decision;
