/**
 * The platform's binary adapter protocol, which drives the decision module from recorded events. Malformed
 * input ends the session with {@link laneflow.wire.WireException}.
 */
package laneflow.wire;
