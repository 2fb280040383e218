/**
 * Wiring: builds the parts that a configuration asks for, starts them in order and stops them.
 *
 * <p>Parts that a configuration does not name are neither built nor loaded. {@link
 * laneflow.assembly.Serve} is the running scheduler, {@link laneflow.assembly.Setup} its
 * configuration, read and checked.
 */
package laneflow.assembly;
