/**
 * The client of a control service that streams versions of destinations and settings. Resources are
 * read and checked on a reading thread. A version is adopted as a whole, in one turn of the I/O
 * thread, or rejected with its reasons.
 */
package laneflow.control;
