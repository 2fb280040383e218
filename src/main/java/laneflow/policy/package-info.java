/**
 * Fleet-wide changes of policy: a replicated log kept by voters (MicroRaft, an implementation of
 * Raft), leases by which schedulers may decide, and the gate that requests pass.
 *
 * <p>Raft runs on a thread of its own, leases on the control thread. Requests read an immutable
 * snapshot of the lease on the I/O thread, so an expired lease stops decisions whatever the other
 * threads do.
 */
package laneflow.policy;
