/**
 * Tasks of the fleet with one holder each, under leases with fencing tokens, and what is built on
 * them: recovery of the durable jobs of a dead scheduler, and periodic calls of addresses.
 */
package laneflow.task;
