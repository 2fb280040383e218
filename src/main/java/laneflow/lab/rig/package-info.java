/**
 * Test rig: several scheduler processes on loopback with relays between them, faults in both, and
 * waiting on conditions. It ends only processes that it has started.
 */
package laneflow.lab.rig;
