/**
 * Decisions on policy changes and leases: when a change is applied or abandoned, when schedulers may start to
 * use it, and how a scheduler bounds the leader's clock. No I/O, no threads and no clock of its own; instants
 * are microseconds.
 */
package laneflow.policy.decision;
