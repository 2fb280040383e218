/**
 * Fleet membership over authenticated UDP datagrams. The protocol is in {@link
 * laneflow.membership.decision}.
 */
package laneflow.membership;
