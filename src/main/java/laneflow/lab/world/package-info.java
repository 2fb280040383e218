/**
 * Virtual time: many members simulated in one process by the decision classes that real processes run,
 * with a simulated network. The same seed gives the same run.
 */
package laneflow.lab.world;
