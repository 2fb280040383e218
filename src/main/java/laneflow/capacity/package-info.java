/**
 * Endpoints' free capacity, spread among schedulers by gossip. This package reads the configuration and
 * connects {@link laneflow.capacity.decision} with membership and the decision module.
 */
package laneflow.capacity;
