/**
 * The membership protocol: SWIM (Das, Gupta, Motivala, 2002) with the extensions of Lifeguard (Dadgar,
 * Phillips, Currey, 2018). Without I/O, threads or a clock of its own.
 */
package laneflow.membership.decision;
