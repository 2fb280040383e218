/**
 * The decision module: which endpoint a request goes to, whether it is repeated, and what is refused.
 *
 * <p>{@link laneflow.decision.Logic} makes all decisions; the other classes are the estimates and the
 * bookkeeping that it decides by. There is no I/O, no thread and no clock here: events come with their
 * instant, and actions go out by {@link laneflow.decision.Dispatch.Actions}. Instants and durations
 * are seconds; work is seconds on a standard core.
 */
package laneflow.decision;
