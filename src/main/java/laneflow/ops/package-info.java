/**
 * Operations on a running process: bans of endpoints, drains, and the handover between an old and a
 * new process on one host.
 */
package laneflow.ops;
