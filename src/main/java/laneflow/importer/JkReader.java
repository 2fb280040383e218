package laneflow.importer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads a mod_jk {@code workers.properties}: the lb workers and their members, with {@code lbfactor},
 * {@code activation} and the properties inherited through {@code reference}.
 */
final class JkReader {
    private static final Pattern MACRO = Pattern.compile("\\$\\(([^)]*)\\)");
    /** Properties whose repeated definitions are joined; of all others the last one holds. */
    private static final Set<String> CUMULATIVE = Set.of("balance_workers", "balanced_workers", "list");

    private record Value(String text, int line) {}

    private final String file;
    private final Map<String, Value> values = new LinkedHashMap<>();

    JkReader(String file) {
        this.file = file;
    }

    List<Member> read(List<String> lines) throws ImportException {
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (!line.isEmpty() && !line.startsWith("#")) {
                readProperty(line, i + 1);
            }
        }
        List<Member> members = new ArrayList<>();
        for (String balancer : findBalancers()) {
            Value memberNames = value(balancer, "balance_workers", "balanced_workers");
            if (memberNames == null) {
                throw new ImportException(
                        file, value(balancer, "type").line, "lb worker '" + balancer + "' has no balance_workers");
            }
            Set<String> seen = new HashSet<>();
            for (String name : memberNames.text.split("[\\s,]+")) {
                if (!name.isEmpty() && seen.add(name)) {
                    members.add(readMember(balancer, name, memberNames.line));
                }
            }
        }
        return members;
    }

    private void readProperty(String line, int lineNumber) throws ImportException {
        int equals = line.indexOf('=');
        if (equals < 1) {
            throw new ImportException(file, lineNumber, "'" + line + "' is not name=value");
        }
        String name = line.substring(0, equals).strip();
        String text = expand(line.substring(equals + 1).strip(), lineNumber);
        Value previous = values.get(name);
        boolean joined = previous != null && CUMULATIVE.contains(name.substring(name.lastIndexOf('.') + 1));
        values.put(name, new Value(joined ? previous.text + "," + text : text, joined ? previous.line : lineNumber));
    }

    private String expand(String text, int lineNumber) throws ImportException {
        Matcher macro = MACRO.matcher(text);
        StringBuilder expanded = new StringBuilder();
        while (macro.find()) {
            Value value = values.get(macro.group(1));
            if (value == null) {
                throw new ImportException(file, lineNumber, "$(" + macro.group(1) + ") is not defined above");
            }
            macro.appendReplacement(expanded, Matcher.quoteReplacement(value.text));
        }
        return macro.appendTail(expanded).toString();
    }

    private List<String> findBalancers() throws ImportException {
        List<String> found = new ArrayList<>();
        for (String name : values.keySet()) {
            String[] parts = name.split("\\.");
            if (parts.length == 3
                    && parts[0].equals("worker")
                    && !found.contains(parts[1])
                    && "lb".equals(text(parts[1], "lb", "type"))) {
                // A worker without members may be only a template for references, unless it has its own type and is
                // listed.
                if (value(parts[1], "balance_workers", "balanced_workers") != null
                        || values.containsKey("worker." + parts[1] + ".type") && isListed(parts[1])) {
                    found.add(parts[1]);
                }
            }
        }
        return found;
    }

    private boolean isListed(String worker) {
        Value list = values.get("worker.list");
        return list == null || List.of(list.text.split("[\\s,]+")).contains(worker);
    }

    private Member readMember(String balancer, String name, int listLine) throws ImportException {
        boolean defined = values.keySet().stream().anyMatch(key -> key.startsWith("worker." + name + "."));
        if (!defined) {
            throw new ImportException(file, listLine, "member '" + name + "' of '" + balancer + "' is not defined");
        }
        String type = text(name, "ajp13", "type").toLowerCase(Locale.ROOT);
        Value host = value(name, "host");
        int line = host != null ? host.line : firstLine(name);
        if (!type.startsWith("ajp")) {
            throw new ImportException(file, line, "member '" + name + "' is of type " + type + ", not ajp13");
        }
        Value port = value(name, "port");
        String portText = port == null ? type.equals("ajp14") ? "8011" : "8009" : port.text;
        if (!portText.matches("[0-9]{1,5}") || Integer.parseInt(portText) > 65535) {
            throw new ImportException(file, port.line, "port '" + portText + "' is not a number from 1 to 65535");
        }
        String route = text(name, name, "route", "jvm_route");
        return new Member(
                balancer,
                "ajp",
                host == null ? "localhost" : host.text,
                Integer.parseInt(portText),
                route,
                weight(name),
                isActive(name),
                line);
    }

    private int firstLine(String worker) {
        return values.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("worker." + worker + "."))
                .mapToInt(entry -> entry.getValue().line)
                .min()
                .orElse(1);
    }

    private double weight(String name) throws ImportException {
        Value factor = value(name, "lbfactor");
        if (factor == null) {
            return 1;
        }
        if (!factor.text.matches("[0-9]{1,6}") || Integer.parseInt(factor.text) == 0) {
            throw new ImportException(file, factor.line, "lbfactor '" + factor.text + "' is not a positive integer");
        }
        return Integer.parseInt(factor.text);
    }

    private boolean isActive(String name) throws ImportException {
        Value activation = value(name, "activation");
        if (activation != null) {
            String state = activation.text.toLowerCase(Locale.ROOT);
            if (!state.matches("a|act|active|d|dis|disabled|s|stp|stopped")) {
                throw new ImportException(file, activation.line, "activation '" + activation.text + "' is unknown");
            }
            return state.startsWith("a");
        }
        // The older properties for the same states.
        return !isTrue(name, "disabled") && !isTrue(name, "stopped");
    }

    private boolean isTrue(String name, String property) throws ImportException {
        return text(name, "0", property).toLowerCase(Locale.ROOT).matches("1|true|t|y|yes|on");
    }

    private String text(String worker, String defaultText, String... names) throws ImportException {
        Value value = value(worker, names);
        return value == null ? defaultText : value.text;
    }

    /**
     * Returns a property of a worker, or null. Of several alternative names, the first that is set counts. If the
     * worker has none of them, the property comes from the worker or template that it references.
     */
    private Value value(String worker, String... names) throws ImportException {
        Map<String, Integer> visited = new HashMap<>();
        String prefix = "worker." + worker;
        while (true) {
            for (String name : names) {
                Value value = values.get(prefix + "." + name);
                if (value != null) {
                    return value;
                }
            }
            Value reference = values.get(prefix + ".reference");
            if (reference == null) {
                return null;
            }
            if (visited.put(prefix, reference.line) != null) {
                throw new ImportException(file, reference.line, "'" + prefix + "' refers to itself");
            }
            prefix = reference.text;
            String referenced = prefix + ".";
            if (values.keySet().stream().noneMatch(key -> key.startsWith(referenced))) {
                throw new ImportException(file, reference.line, "'" + prefix + "' is not defined");
            }
        }
    }
}
