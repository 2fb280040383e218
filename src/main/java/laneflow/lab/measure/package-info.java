/**
 * Measurements that are run by hand: each starts scheduler processes on loopback, applies load and faults, and
 * prints figures. Some record a history of events, which a checker searches for violations afterwards.
 */
package laneflow.lab.measure;
