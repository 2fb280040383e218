package laneflow.assembly;

import java.nio.file.Path;
import java.util.Map;

/**
 * Settings from environment variables, besides the name of the configuration file.
 *
 * @param opsAddress the second address, for operations, from {@code ROUTER_OPS}, or null
 * @param scratchFolder the folder from {@code TMPDIR}, whose files the next process finds again, or null
 * @param socketPassed true if {@code ROUTER_PASSED_SOCKET} is set: the clients' listening socket is descriptor 0
 */
public record ProcessEnvironment(String opsAddress, Path scratchFolder, boolean socketPassed) {
    public static final ProcessEnvironment NONE = new ProcessEnvironment(null, null, false);

    /** Reads the settings from these variables. */
    static ProcessEnvironment of(Map<String, String> environment) {
        String folder = environment.get("TMPDIR");
        return new ProcessEnvironment(
                nonEmpty(environment, "ROUTER_OPS"),
                folder == null || folder.isEmpty() ? null : Path.of(folder),
                nonEmpty(environment, "ROUTER_PASSED_SOCKET") != null);
    }

    private static String nonEmpty(Map<String, String> environment, String name) {
        String value = environment.get(name);
        return value == null || value.isEmpty() ? null : value;
    }
}
