/**
 * The HTTP/1.1 front and connector, the watch of the discovery service, and the operators' HTTP port.
 *
 * <p>The parsers are the project's own, as the platform's path requires, and work on the ring buffers
 * of {@link laneflow.net}. A malformed message ends its connection with {@link
 * laneflow.http.HttpException}.
 */
package laneflow.http;
