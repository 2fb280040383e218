/**
 * Decisions on policy changes and leases: when a change is applied or abandoned, when schedulers may
 * begin with it, and how a scheduler bounds the leader's clock. Without I/O, threads or a clock of its
 * own; instants are microseconds.
 */
package laneflow.policy.decision;
