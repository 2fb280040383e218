/**
 * Wiring: builds the subsystems that a configuration enables, starts them in order and stops them.
 *
 * <p>Subsystems that a configuration does not enable are neither built nor are their classes loaded. {@link
 * laneflow.assembly.Serve} is the running scheduler, {@link laneflow.assembly.Setup} its parsed and checked
 * configuration.
 */
package laneflow.assembly;
