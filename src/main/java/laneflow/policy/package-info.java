/**
 * Fleet-wide policy changes: a replicated log kept by voters (with MicroRaft, an implementation of Raft),
 * leases under which schedulers may decide, and the gate that requests pass.
 *
 * <p>Raft runs on a thread of its own, leases are handled on the control thread. Requests read an immutable
 * snapshot of the lease on the I/O thread, so that an expired lease stops decisions whatever the other
 * threads do.
 */
package laneflow.policy;
