/**
 * The platform's binary adapter protocol, which drives the decision module from recorded events. What
 * can't be read ends the session with {@link laneflow.wire.WireException}.
 */
package laneflow.wire;
