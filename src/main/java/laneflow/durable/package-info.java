/**
 * Durable jobs: written to disk before they are acknowledged, attempted under leases that are on disk before
 * a call is sent, and kept with their result until their retention ends. Jobs are owned by the I/O thread, the store by
 * the journal's thread.
 */
package laneflow.durable;
