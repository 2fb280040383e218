/**
 * The command line, on picocli. Exit codes: 0 for success, 1 where the input or the state forbids what
 * was asked, 2 for a usage error or a configuration that can't be used.
 */
package laneflow.cli;
