/**
 * The program's entry point, which starts a subcommand.
 */
package laneflow;
