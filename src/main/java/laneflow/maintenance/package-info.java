/**
 * Maintenance windows: requests of tenants, planning, notices, and drains at the planned time. Plans
 * and their state are kept in the replicated log of {@link laneflow.policy}.
 */
package laneflow.maintenance;
