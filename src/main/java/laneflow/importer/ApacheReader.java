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
 * {@code <Proxy balancer://NAME>} or naming its balancer itself. All other directives are passed over.
 */
final class ApacheReader {
    private static final String BALANCER = "balancer://";
    private static final Map<String, Integer> PORTS = Map.of(
            "http", 80, "https", 443, "ajp", 8009, "ws", 80, "wss", 443, "h2", 443, "h2c", 80, "fcgi", 8000, "scgi",
            4000, "uwsgi", 3031);

    private final String file;
    private final Consumer<String> notes;
    private final List<Member> members = new ArrayList<>();
    /** The balancer of the enclosing section, "" in a section that is none, null outside of all. */
    private String section;

    private int sectionLine;

    ApacheReader(String file, Consumer<String> notes) {
        this.file = file;
        this.notes = notes;
    }

    List<Member> read(List<String> lines) throws ImportException {
        for (int i = 0; i < lines.size(); i++) {
            int first = i + 1;
            String line = lines.get(i).strip();
            while (line.endsWith("\\") && i + 1 < lines.size()) {
                line = line.substring(0, line.length() - 1) + " "
                        + lines.get(++i).strip();
            }
            if (!line.isEmpty() && !line.startsWith("#")) {
                directive(words(line, first), first);
            }
        }
        if (section != null) {
            throw new ImportException(file, sectionLine, "<Proxy> is not closed");
        }
        return members;
    }

    private void directive(List<String> words, int line) throws ImportException {
        String name = words.get(0).toLowerCase(Locale.ROOT);
        if (name.equals("<proxy")) {
            if (section != null) {
                throw new ImportException(file, line, "<Proxy> inside <Proxy>");
            }
            String of = words.size() > 1 ? words.get(1).replaceAll(">$", "") : "";
            section = balancer(of);
            sectionLine = line;
        } else if (name.equals("</proxy>")) {
            if (section == null) {
                throw new ImportException(file, line, "</Proxy> without <Proxy>");
            }
            section = null;
        } else if (name.equals("balancermember")) {
            member(words, line);
        }
    }

    /** A balancer's name, or "" if the address is none. */
    private static String balancer(String address) {
        boolean is = address.regionMatches(true, 0, BALANCER, 0, BALANCER.length());
        return is ? address.substring(BALANCER.length()).replaceAll("/+$", "") : "";
    }

    private void member(List<String> words, int line) throws ImportException {
        int at = 1;
        String of = section;
        if (words.size() > 1 && !balancer(words.get(1)).isEmpty()) {
            of = balancer(words.get(at++));
        }
        if (of == null || of.isEmpty()) {
            throw new ImportException(file, line, "BalancerMember belongs to no balancer");
        }
        if (at >= words.size()) {
            throw new ImportException(file, line, "BalancerMember without an address");
        }
        String address = words.get(at++);
        Map<String, String> parameters = new HashMap<>();
        for (; at < words.size(); at++) {
            String[] pair = words.get(at).split("=", 2);
            if (pair.length < 2) {
                throw new ImportException(file, line, "'" + words.get(at) + "' is not name=value");
            }
            parameters.put(pair[0].toLowerCase(Locale.ROOT), pair[1]);
        }
        double weight = weight(parameters.getOrDefault("loadfactor", "1"), line);
        boolean open = open(parameters.getOrDefault("status", ""), address, line);
        if (address.toLowerCase(Locale.ROOT).startsWith("unix:")) {
            members.add(new Member(of, "unix", address, 0, null, weight, open, line));
            return;
        }
        URI uri = uri(address, line);
        String scheme = uri.getScheme().toLowerCase(Locale.ROOT);
        int port = uri.getPort() >= 0 ? uri.getPort() : PORTS.getOrDefault(scheme, 0);
        if (uri.getRawPath() != null && !uri.getRawPath().matches("/?")) {
            note(line, "the path of " + address + " is dropped: targets pass unchanged");
        }
        members.add(new Member(of, scheme, uri.getHost(), port, parameters.get("route"), weight, open, line));
    }

    private void note(int line, String text) {
        notes.accept(file + ":" + line + ": " + text);
    }

    private URI uri(String address, int line) throws ImportException {
        try {
            URI uri = new URI(address);
            if (uri.getScheme() != null && uri.getHost() != null && uri.getPort() <= 65535) {
                return uri;
            }
        } catch (URISyntaxException e) {
            // Said below.
        }
        throw new ImportException(file, line, "'" + address + "' is no address of a member");
    }

    private double weight(String text, int line) throws ImportException {
        double weight = text.matches("[0-9]{1,3}(\\.[0-9]{1,6})?") ? Double.parseDouble(text) : 0;
        if (weight < 1 || weight > 100) {
            throw new ImportException(file, line, "loadfactor '" + text + "' is not from 1 to 100");
        }
        return weight;
    }

    /** Flags in order, each set or, behind a minus, taken back; a plus or nothing before them sets. */
    private boolean open(String status, String address, int line) throws ImportException {
        boolean set = true;
        Set<Character> flags = new HashSet<>();
        for (char flag : status.toUpperCase(Locale.ROOT).toCharArray()) {
            if (flag == '+' || flag == '-') {
                set = flag == '+';
            } else if ("DSNEHRIC".indexOf(flag) < 0) {
                throw new ImportException(file, line, "status '" + status + "' has an unknown flag");
            } else if (set) {
                flags.add(flag);
            } else {
                flags.remove(flag);
            }
        }
        if (flags.contains('H') || flags.contains('R')) {
            note(line, address + " is a spare; there are none here: it gets no jobs");
        }
        return Collections.disjoint(flags, Set.of('D', 'S', 'N', 'E', 'H', 'R'));
    }

    /** Words, with quotes and backslashes as httpd reads them. */
    private List<String> words(String line, int number) throws ImportException {
        List<String> words = new ArrayList<>();
        StringBuilder word = new StringBuilder();
        char quote = 0;
        boolean any = false;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (quote != 0 && c == '\\' && i + 1 < line.length() && line.charAt(i + 1) == quote) {
                word.append(line.charAt(++i));
            } else if (quote != 0 ? c == quote : (c == '"' || c == '\'') && word.length() == 0) {
                quote = quote != 0 ? 0 : c;
                any = true;
            } else if (quote == 0 && Character.isWhitespace(c)) {
                if (any || word.length() > 0) {
                    words.add(word.toString());
                }
                word.setLength(0);
                any = false;
            } else {
                word.append(c);
            }
        }
        if (quote != 0) {
            throw new ImportException(file, number, "a quote is not closed");
        }
        if (any || word.length() > 0) {
            words.add(word.toString());
        }
        return words;
    }
}
