/**
 * Measurements that are run by hand: each starts processes of the program on loopback, applies load
 * and faults, and prints figures. Where a history is recorded, a checker reads it for violations.
 */
package laneflow.lab.measure;
