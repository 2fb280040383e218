/**
 * Import of Apache balancer and mod_jk configuration into a destination set. Errors are {@link
 * laneflow.importer.ImportException}.
 */
package laneflow.importer;
