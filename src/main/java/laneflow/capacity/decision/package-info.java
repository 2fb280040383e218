/**
 * What a scheduler knows of endpoints' free capacity from other schedulers: what to pass on, how a
 * report ages, how far a source is trusted. Without I/O, threads or a clock of its own; instants are
 * microseconds.
 */
package laneflow.capacity.decision;
