/**
 * Decisions of the Gearman front: whether a job may be queued, when a scheduled job runs, and which of
 * a worker's words are passed on at once. Without I/O, threads or a clock of its own.
 */
package laneflow.gearman.decision;
