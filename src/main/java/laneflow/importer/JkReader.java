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
 * {@code activation} and what they inherit by {@code reference}.
 */
final class JkReader {
    private static final Pattern MACRO = Pattern.compile("\\$\\(([^)]*)\\)");
    /** Properties that add up when they are named again. */
    private static final Set<String> LISTS = Set.of("balance_workers", "balanced_workers", "list");

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
                property(line, i + 1);
            }
        }
        List<Member> members = new ArrayList<>();
        for (String balancer : balancers()) {
            Value named = value(balancer, "balance_workers", "balanced_workers");
            if (named == null) {
                throw new ImportException(
                        file, value(balancer, "type").line, "lb worker '" + balancer + "' has no balance_workers");
            }
            Set<String> seen = new HashSet<>();
            for (String name : named.text.split("[\\s,]+")) {
                if (!name.isEmpty() && seen.add(name)) {
                    members.add(member(balancer, name, named.line));
                }
            }
        }
        return members;
    }

    private void property(String line, int number) throws ImportException {
        int equals = line.indexOf('=');
        if (equals < 1) {
            throw new ImportException(file, number, "'" + line + "' is not name=value");
        }
        String name = line.substring(0, equals).strip();
        String text = expand(line.substring(equals + 1).strip(), number);
        Value before = values.get(name);
        boolean adds = before != null && LISTS.contains(name.substring(name.lastIndexOf('.') + 1));
        values.put(name, new Value(adds ? before.text + "," + text : text, adds ? before.line : number));
    }

    private String expand(String text, int number) throws ImportException {
        Matcher macro = MACRO.matcher(text);
        StringBuilder expanded = new StringBuilder();
        while (macro.find()) {
            Value value = values.get(macro.group(1));
            if (value == null) {
                throw new ImportException(file, number, "$(" + macro.group(1) + ") is not defined above");
            }
            macro.appendReplacement(expanded, Matcher.quoteReplacement(value.text));
        }
        return macro.appendTail(expanded).toString();
    }

    private List<String> balancers() throws ImportException {
        List<String> found = new ArrayList<>();
        for (String name : values.keySet()) {
            String[] parts = name.split("\\.");
            if (parts.length == 3
                    && parts[0].equals("worker")
                    && !found.contains(parts[1])
                    && "lb".equals(text(parts[1], "lb", "type"))) {
                // A template that others refer to need not be a balancer itself.
                if (value(parts[1], "balance_workers", "balanced_workers") != null
                        || values.containsKey("worker." + parts[1] + ".type") && listed(parts[1])) {
                    found.add(parts[1]);
                }
            }
        }
        return found;
    }

    private boolean listed(String worker) {
        Value list = values.get("worker.list");
        return list == null || List.of(list.text.split("[\\s,]+")).contains(worker);
    }

    private Member member(String balancer, String name, int namedAt) throws ImportException {
        boolean known = values.keySet().stream().anyMatch(key -> key.startsWith("worker." + name + "."));
        if (!known) {
            throw new ImportException(file, namedAt, "member '" + name + "' of '" + balancer + "' is not defined");
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
            throw new ImportException(file, port.line, "port '" + portText + "' is none");
        }
        String route = text(name, name, "route", "jvm_route");
        return new Member(
                balancer,
                "ajp",
                host == null ? "localhost" : host.text,
                Integer.parseInt(portText),
                route,
                weight(name),
                open(name),
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
            throw new ImportException(file, factor.line, "lbfactor '" + factor.text + "' is no whole number above 0");
        }
        return Integer.parseInt(factor.text);
    }

    private boolean open(String name) throws ImportException {
        Value activation = value(name, "activation");
        if (activation != null) {
            String word = activation.text.toLowerCase(Locale.ROOT);
            if (!word.matches("a|act|active|d|dis|disabled|s|stp|stopped")) {
                throw new ImportException(file, activation.line, "activation '" + activation.text + "' is none");
            }
            return word.startsWith("a");
        }
        // The older words for the same.
        return !flag(name, "disabled") && !flag(name, "stopped");
    }

    private boolean flag(String name, String property) throws ImportException {
        return text(name, "0", property).toLowerCase(Locale.ROOT).matches("1|true|t|y|yes|on");
    }

    private String text(String worker, String absent, String... names) throws ImportException {
        Value value = value(worker, names);
        return value == null ? absent : value.text;
    }

    /** A worker's property, by the first of its names that is set: its own, or that of what it refers to. */
    private Value value(String worker, String... names) throws ImportException {
        Map<String, Integer> passed = new HashMap<>();
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
            if (passed.put(prefix, reference.line) != null) {
                throw new ImportException(file, reference.line, "'" + prefix + "' refers to itself");
            }
            prefix = reference.text;
            String to = prefix + ".";
            if (values.keySet().stream().noneMatch(key -> key.startsWith(to))) {
                throw new ImportException(file, reference.line, "'" + prefix + "' is not defined");
            }
        }
    }
}
