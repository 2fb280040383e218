/**
 * The membership protocol: SWIM (Das, Gupta, Motivala, 2002) with the extensions of Lifeguard (Dadgar,
 * Phillips, Currey, 2018). It has no I/O, threads or clock.
 */
package laneflow.membership.decision;
