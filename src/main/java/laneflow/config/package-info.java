/**
 * Reading of the operators' TOML file. All findings are reported together, each with the path of its
 * key; {@link laneflow.config.ConfigException} carries them.
 */
package laneflow.config;
