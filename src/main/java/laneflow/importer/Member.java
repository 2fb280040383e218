package laneflow.importer;

/**
 * One member of a balancer, as its file has it.
 *
 * @param balancer the balancer it belongs to
 * @param scheme how it is spoken to
 * @param host a name or an address
 * @param route the name its sessions carry, or null
 * @param weight its share beside the others
 * @param open false if it is to get nothing new
 * @param line where it stands
 */
record Member(
        String balancer, String scheme, String host, int port, String route, double weight, boolean open, int line) {}
