/**
 * The program's entry point. It starts a subcommand and decides nothing itself.
 */
package laneflow;
