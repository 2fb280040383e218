/**
 * Decision logic of the Gearman front: whether a job may be queued, when a scheduled job runs, and whether
 * a worker's intermediate output is forwarded at once. Without I/O, threads or a clock of its own.
 */
package laneflow.gearman.decision;
