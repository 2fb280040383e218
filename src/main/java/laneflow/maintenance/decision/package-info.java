/**
 * Planning of maintenance windows: placement under constraints, fairness between tenants, forecasts of
 * load, and what the coordinator orders. Without I/O, threads or a clock of its own.
 */
package laneflow.maintenance.decision;
