/**
 * The Gearman front and connector: clients submit jobs and workers take them, in the binary protocol,
 * beside the text protocol for administration. Runs on the I/O thread.
 */
package laneflow.gearman;
