/**
 * Planning of maintenance windows: placement under constraints, fairness between tenants, demand forecasts,
 * and the decisions of the coordinator. No I/O, no threads, no clock of its own.
 */
package laneflow.maintenance.decision;
