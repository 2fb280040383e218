package laneflow.config;

import java.util.List;

/** A configuration that can't be used: its message holds a line for each thing that is wrong. */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    public ConfigException(List<String> findings) {
        super(String.join("\n", findings));
    }
}
