/**
 * Network basics on XNIO: the event loop with its one I/O thread, connections, ring buffers and
 * threads.
 *
 * <p>{@link laneflow.net.Loop} reads the monotonic clock once per turn; all events of a turn see the
 * same instant, in microseconds.
 */
package laneflow.net;
