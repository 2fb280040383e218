/**
 * The decision module: which endpoint a request is sent to, whether it is retried, and which requests are refused.
 *
 * <p>{@link laneflow.decision.Logic} makes all decisions; the other classes hold the estimates and the
 * bookkeeping behind them. The package does no I/O, starts no threads and reads no clock: every event carries
 * its time, and actions go out through {@link laneflow.decision.Dispatch.Actions}. Times and durations are in
 * seconds; work is in seconds on a standard core. In this package an instance of the scheduler is called a
 * dispatcher.
 */
package laneflow.decision;
