/**
 * Fleet-wide tasks with one holder each, under leases with fencing tokens, and their uses: recovery of the
 * durable jobs of a dead scheduler, and periodic calls to configured addresses (hooks).
 */
package laneflow.task;
