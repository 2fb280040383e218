/**
 * The Gearman front and connector: clients submit jobs and workers grab them over the binary protocol;
 * operators use the text protocol on the same port. Runs on the I/O thread.
 */
package laneflow.gearman;
