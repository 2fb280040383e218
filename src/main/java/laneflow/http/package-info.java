/**
 * The HTTP/1.1 front and connector, the watch on discovery, the streams between schedulers, and the operators'
 * HTTP port.
 *
 * <p>The parsers are implemented here, as the platform requires of its request path, and work on the ring
 * buffers of {@link laneflow.net}. A malformed message raises {@link laneflow.http.HttpException} and ends its
 * connection.
 */
package laneflow.http;
