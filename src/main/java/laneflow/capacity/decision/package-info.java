/**
 * Decisions on endpoints' free capacity as reported by other schedulers: which reports to pass on, how they
 * age, and how far a source is trusted. No I/O, threads or clock; times are in microseconds.
 */
package laneflow.capacity.decision;
