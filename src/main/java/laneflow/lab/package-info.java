/**
 * The laboratory: emulators, loads, faults and measurements. Nothing in it is loaded by a running
 * scheduler.
 */
package laneflow.lab;
