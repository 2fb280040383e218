/**
 * Stand-ins for the systems around the scheduler: HTTP and Gearman workers, discovery and control
 * services, tenants. Workers write their runs to a ledger that tests read.
 */
package laneflow.lab.standin;
