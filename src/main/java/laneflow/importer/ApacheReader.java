package laneflow.importer;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads the balancers of an Apache httpd configuration: {@code BalancerMember} with its parameters, inside
 * {@code <Proxy balancer://NAME>} or with the balancer as its first argument. All other directives are ignored.
 */
final class ApacheReader {
    private static final String BALANCER_PREFIX = "balancer://";
    private static final Map<String, Integer> DEFAULT_PORTS = Map.of(
            "http", 80, "https", 443, "ajp", 8009, "ws", 80, "wss", 443, "h2", 443, "h2c", 80, "fcgi", 8000, "scgi",
            4000, "uwsgi", 3031);

    private final String file;
    private final Consumer<String> warnings;
    private final List<Member> members = new ArrayList<>();
    /** Balancer of the enclosing {@code <Proxy>}: "" if that is not a balancer, null outside of any {@code <Proxy>}. */
    private String sectionBalancer;

    private int sectionLine;

    ApacheReader(String file, Consumer<String> warnings) {
        this.file = file;
        this.warnings = warnings;
    }

    List<Member> read(List<String> lines) throws ImportException {
        for (int i = 0; i < lines.size(); i++) {
            int firstLine = i + 1;
            String line = lines.get(i).strip();
            while (line.endsWith("\\") && i + 1 < lines.size()) {
                line = line.substring(0, line.length() - 1) + " "
                        + lines.get(++i).strip();
            }
            if (!line.isEmpty() && !line.startsWith("#")) {
                readDirective(splitWords(line, firstLine), firstLine);
            }
        }
        if (sectionBalancer != null) {
            throw new ImportException(file, sectionLine, "<Proxy> is not closed");
        }
        return members;
    }

    private void readDirective(List<String> words, int line) throws ImportException {
        String name = words.get(0).toLowerCase(Locale.ROOT);
        if (name.equals("<proxy")) {
            if (sectionBalancer != null) {
                throw new ImportException(file, line, "<Proxy> inside <Proxy>");
            }
            String sectionAddress = words.size() > 1 ? words.get(1).replaceAll(">$", "") : "";
            sectionBalancer = balancerName(sectionAddress);
            sectionLine = line;
        } else if (name.equals("</proxy>")) {
            if (sectionBalancer == null) {
                throw new ImportException(file, line, "</Proxy> without <Proxy>");
            }
            sectionBalancer = null;
        } else if (name.equals("balancermember")) {
            readMember(words, line);
        }
    }

    /** Returns the name of the balancer, or "" if the address is not that of a balancer. */
    private static String balancerName(String address) {
        boolean isBalancer = address.regionMatches(true, 0, BALANCER_PREFIX, 0, BALANCER_PREFIX.length());
        return isBalancer ? address.substring(BALANCER_PREFIX.length()).replaceAll("/+$", "") : "";
    }

    private void readMember(List<String> words, int line) throws ImportException {
        int next = 1;
        String balancer = sectionBalancer;
        if (words.size() > 1 && !balancerName(words.get(1)).isEmpty()) {
            balancer = balancerName(words.get(next++));
        }
        if (balancer == null || balancer.isEmpty()) {
            throw new ImportException(file, line, "BalancerMember belongs to no balancer");
        }
        if (next >= words.size()) {
            throw new ImportException(file, line, "BalancerMember without an address");
        }
        String address = words.get(next++);
        Map<String, String> parameters = new HashMap<>();
        for (; next < words.size(); next++) {
            String[] pair = words.get(next).split("=", 2);
            if (pair.length < 2) {
                throw new ImportException(file, line, "'" + words.get(next) + "' is not name=value");
            }
            parameters.put(pair[0].toLowerCase(Locale.ROOT), pair[1]);
        }
        double weight = parseWeight(parameters.getOrDefault("loadfactor", "1"), line);
        boolean active = isActive(parameters.getOrDefault("status", ""), address, line);
        if (address.toLowerCase(Locale.ROOT).startsWith("unix:")) {
            members.add(new Member(balancer, "unix", address, 0, null, weight, active, line));
            return;
        }
        URI uri = parseUri(address, line);
        String scheme = uri.getScheme().toLowerCase(Locale.ROOT);
        int port = uri.getPort() >= 0 ? uri.getPort() : DEFAULT_PORTS.getOrDefault(scheme, 0);
        if (uri.getRawPath() != null && !uri.getRawPath().matches("/?")) {
            warn(line, "the path of " + address + " is ignored: request targets are forwarded unchanged");
        }
        members.add(new Member(balancer, scheme, uri.getHost(), port, parameters.get("route"), weight, active, line));
    }

    private void warn(int line, String text) {
        warnings.accept(file + ":" + line + ": " + text);
    }

    private URI parseUri(String address, int line) throws ImportException {
        try {
            URI uri = new URI(address);
            if (uri.getScheme() != null && uri.getHost() != null && uri.getPort() <= 65535) {
                return uri;
            }
        } catch (URISyntaxException e) {
            // Reported below.
        }
        throw new ImportException(file, line, "'" + address + "' is not a valid member address");
    }

    private double parseWeight(String text, int line) throws ImportException {
        double weight = text.matches("[0-9]{1,3}(\\.[0-9]{1,6})?") ? Double.parseDouble(text) : 0;
        if (weight < 1 || weight > 100) {
            throw new ImportException(file, line, "loadfactor '" + text + "' is not from 1 to 100");
        }
        return weight;
    }

    /**
     * Applies the status flags in order: a flag is set, or cleared if the sign before it is a minus. A sign holds for
     * all flags up to the next sign.
     *
     * @return false if a flag that is set at the end keeps new requests from the member
     */
    private boolean isActive(String status, String address, int line) throws ImportException {
        boolean setting = true;
        Set<Character> flags = new HashSet<>();
        for (char flag : status.toUpperCase(Locale.ROOT).toCharArray()) {
            if (flag == '+' || flag == '-') {
                setting = flag == '+';
            } else if ("DSNEHRIC".indexOf(flag) < 0) {
                throw new ImportException(file, line, "status '" + status + "' has an unknown flag");
            } else if (setting) {
                flags.add(flag);
            } else {
                flags.remove(flag);
            }
        }
        if (flags.contains('H') || flags.contains('R')) {
            warn(line, address + " is a hot standby or hot spare, which is not supported: it gets no requests");
        }
        return Collections.disjoint(flags, Set.of('D', 'S', 'N', 'E', 'H', 'R'));
    }

    /** Splits a line into words by the quoting and escaping rules of httpd. */
    private List<String> splitWords(String line, int lineNumber) throws ImportException {
        List<String> words = new ArrayList<>();
        StringBuilder word = new StringBuilder();
        char quote = 0;
        boolean quoted = false;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (quote != 0 && c == '\\' && i + 1 < line.length() && line.charAt(i + 1) == quote) {
                word.append(line.charAt(++i));
            } else if (quote != 0 ? c == quote : (c == '"' || c == '\'') && word.length() == 0) {
                quote = quote != 0 ? 0 : c;
                quoted = true;
            } else if (quote == 0 && Character.isWhitespace(c)) {
                if (quoted || word.length() > 0) {
                    words.add(word.toString());
                }
                word.setLength(0);
                quoted = false;
            } else {
                word.append(c);
            }
        }
        if (quote != 0) {
            throw new ImportException(file, lineNumber, "a quote is not closed");
        }
        if (quoted || word.length() > 0) {
            words.add(word.toString());
        }
        return words;
    }
}
