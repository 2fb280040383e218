/**
 * Maintenance windows: requests by operators, planning, notices, and drains at the planned time. Windows and
 * their state are kept in the replicated log of {@link laneflow.policy}.
 */
package laneflow.maintenance;
