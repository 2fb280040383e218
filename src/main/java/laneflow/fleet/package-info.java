/**
 * Links between schedulers: lines of JSON over long-lived HTTP exchanges, redialled with increasing backoff
 * and closed when nothing is received in time. Messages may be lost when a link ends; callers that need an
 * answer must ask again.
 */
package laneflow.fleet;
