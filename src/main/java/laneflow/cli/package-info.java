/**
 * The command line, built on picocli. Exit codes: 0 for success, 1 if the input or the current state does not
 * allow the command, 2 for a usage error or an invalid configuration. Some commands add 3 for an unknown outcome.
 */
package laneflow.cli;
