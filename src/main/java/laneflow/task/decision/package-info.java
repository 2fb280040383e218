/**
 * Decisions on leased tasks: assignment and balance at the leader, and when a holder must stop acting.
 * Without I/O, threads or a clock of its own.
 */
package laneflow.task.decision;
