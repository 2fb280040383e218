package laneflow.config;

import java.util.List;

/** An invalid configuration; the message has one line for each finding. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    public ConfigException(List<String> findings) {
        super(String.join("\n", findings));
    }
}
