/**
 * Converts Apache balancer and mod_jk configuration to a destination set. Errors in the input are reported as {@link
 * laneflow.importer.ImportException}.
 */
package laneflow.importer;
