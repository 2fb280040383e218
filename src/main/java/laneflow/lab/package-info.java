/**
 * The laboratory: emulated servers, load generators, fault injection and measurements. A running scheduler
 * loads none of these classes.
 */
package laneflow.lab;
