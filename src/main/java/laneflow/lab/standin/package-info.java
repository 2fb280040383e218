/**
 * Stand-ins for the systems around the scheduler: HTTP and Gearman workers, discovery and control
 * services, tenants. Workers write the jobs that they run to a log that tests read.
 */
package laneflow.lab.standin;
