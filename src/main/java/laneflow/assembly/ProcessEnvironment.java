package laneflow.assembly;

import java.nio.file.Path;
import java.util.Map;

/**
 * What the environment of the process names besides its configuration.
 *
 * @param ops the second address, or null
 * @param scratch the folder that the process after this one finds as this one left it, or null
 * @param passed true if the clients' listening socket is descriptor 0
 */
public record ProcessEnvironment(String ops, Path scratch, boolean passed) {
    public static final ProcessEnvironment NONE = new ProcessEnvironment(null, null, false);

    /** Those of this process. */
    static ProcessEnvironment of(Map<String, String> environment) {
        String folder = environment.get("TMPDIR");
        return new ProcessEnvironment(
                named(environment, "ROUTER_OPS"),
                folder == null || folder.isEmpty() ? null : Path.of(folder),
                named(environment, "ROUTER_PASSED_SOCKET") != null);
    }

    private static String named(Map<String, String> environment, String name) {
        String value = environment.get(name);
        return value == null || value.isEmpty() ? null : value;
    }
}
