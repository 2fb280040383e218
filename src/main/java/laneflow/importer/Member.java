package laneflow.importer;

/**
 * One member of a balancer, as read from the configuration file.
 *
 * @param balancer name of the balancer it belongs to
 * @param scheme its protocol in lower case: the scheme of its URL, {@code ajp}, or {@code unix} for a Unix socket
 * @param host a host name or an IP address; the whole address for a Unix socket
 * @param port its TCP port; 0 if the file has none and the scheme has no default
 * @param route the route name that sticky sessions carry, or null
 * @param weight its load relative to the other members
 * @param active false if it is to get no new requests
 * @param line line number of its definition
 */
record Member(
        String balancer, String scheme, String host, int port, String route, double weight, boolean active, int line) {}
