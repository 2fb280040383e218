/**
 * Links between schedulers: lines of JSON over long HTTP exchanges, kept up with growing waits, and
 * ended when nothing is heard in time. Messages may be lost when a link ends; whoever needs an answer
 * asks again.
 */
package laneflow.fleet;
