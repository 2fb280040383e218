package laneflow.importer;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command {@code import}: reads an Apache balancer or a mod_jk worker file and writes its members as a
 * destination set in discovery's form, which {@code serve --destinations} loads.
 */
@Command(
        name = "import",
        mixinStandardHelpOptions = true,
        description = "Makes a destination set of an Apache balancer or a mod_jk worker file.")
public final class Importer implements Callable<Integer> {
    private final PrintStream out;
    private final PrintStream notes;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The Apache configuration or workers.properties.")
    private String file;

    @Option(names = "-o", paramLabel = "OUT", description = "Where the set is written; else standard output.")
    private String target;

    @Option(names = "--balancer", paramLabel = "NAME", description = "The one of several.")
    private String balancer;

    @Option(names = "--zone", paramLabel = "ZONE", description = "The zone of its members.")
    private String zone;

    @Option(names = "--ajp-as-http", description = "Call the members' AJP ports by HTTP.")
    private boolean ajpAsHttp;

    @Option(names = "--address", paramLabel = "NAME=ADDRESS", description = "A host's address.")
    private Map<String, String> addresses = new HashMap<>();

    /** The command, writing there. */
    public Importer(PrintStream out, PrintStream notes) {
        this.out = out;
        this.notes = notes;
    }

    /** Runs the command; 0 if a set was written, 1 if the file can't be taken over, 2 on a wrong call. */
    public static int run(List<String> args, PrintStream out, PrintStream notes) {
        return new CommandLine(new Importer(out, notes))
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(notes, true))
                .execute(args.toArray(new String[0]));
    }

    @Override
    public Integer call() {
        addresses.forEach((name, address) -> {
            if (!isAddress(address)) {
                throw new ParameterException(spec.commandLine(), "'" + address + "' is no address");
            }
        });
        try {
            write(convert());
            return 0;
        } catch (ImportException e) {
            notes.println(e.getMessage());
        } catch (NoSuchFileException e) {
            notes.println(e.getFile() + ": there is no such file");
        } catch (CharacterCodingException e) {
            notes.println(file + ": not a text in UTF-8");
        } catch (IOException e) {
            notes.println(file + ": " + e.getMessage());
        }
        return 1;
    }

    private JsonObject convert() throws IOException, ImportException {
        List<String> lines = Files.readAllLines(Path.of(file));
        boolean jk = file.endsWith(".properties")
                || lines.stream().anyMatch(line -> line.strip().matches("workers?\\.[^<>]*=.*"));
        List<Member> all = jk ? new JkReader(file).read(lines) : new ApacheReader(file, notes::println).read(lines);
        Set<String> names = new TreeSet<>();
        all.forEach(member -> names.add(member.balancer()));
        if (balancer != null ? !names.contains(balancer) : names.size() > 1) {
            // One set is one pool: members of different balancers do different work.
            throw new ImportException(
                    file,
                    all.isEmpty() ? 1 : all.get(0).line(),
                    balancer != null
                            ? "no balancer '" + balancer + "' among " + names
                            : "several balancers, choose one by --balancer: " + names);
        }
        JsonArray hosts = new JsonArray();
        Set<String> dials = new HashSet<>();
        Set<String> hostNames = new HashSet<>();
        for (Member member : all) {
            if ((balancer == null || balancer.equals(member.balancer())) && spoken(member)) {
                String dial = dial(member);
                if (!dials.add(dial)) {
                    throw new ImportException(file, member.line(), dial + " is a member twice");
                }
                String name = member.route() == null ? dial : member.route();
                if (!hostNames.add(name)) {
                    throw new ImportException(file, member.line(), "route '" + name + "' is taken twice");
                }
                hosts.add(host(member, name, dial));
            }
        }
        if (hosts.isEmpty()) {
            throw new ImportException(file, Math.max(1, lines.size()), "no member that can be called");
        }
        JsonObject set = new JsonObject();
        set.addProperty("seq", 1);
        set.addProperty("whole", true);
        set.add("hosts", hosts);
        return set;
    }

    private boolean spoken(Member member) {
        String what = file + ":" + member.line() + ": " + member.host();
        if (member.scheme().equals("http")) {
            return true;
        }
        if (member.scheme().equals("ajp") && ajpAsHttp) {
            notes.println(what + ": AJP taken for HTTP at the same port");
            return true;
        }
        String way = member.scheme().equals("ajp") ? " (--ajp-as-http calls the same port by HTTP)" : "";
        String scheme = member.scheme().toUpperCase(Locale.ROOT);
        notes.println(what + " skipped: " + scheme + " is not spoken here" + way);
        return false;
    }

    private String dial(Member member) throws ImportException {
        String host = addresses.getOrDefault(member.host(), member.host());
        host = host.equals("localhost") ? "127.0.0.1" : host;
        if (!isAddress(host)) {
            throw new ImportException(
                    file,
                    member.line(),
                    "'" + host + "' is a name, and names are not looked up: give --address " + host + "=ADDRESS");
        }
        if (member.port() < 1) {
            throw new ImportException(file, member.line(), "port " + member.port() + " is none");
        }
        return (host.contains(":") && !host.startsWith("[") ? "[" + host + "]" : host) + ":" + member.port();
    }

    private static boolean isAddress(String host) {
        String octet = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
        return host.matches("(" + octet + "\\.){3}" + octet) || host.matches("\\[?[0-9a-fA-F]*:[0-9a-fA-F:.]*\\]?");
    }

    private JsonObject host(Member member, String name, String dial) {
        JsonObject host = new JsonObject();
        host.addProperty("host", name);
        host.addProperty("dial", dial);
        if (zone != null) {
            host.addProperty("site", zone);
        }
        host.addProperty("health", member.open() ? "Ready" : "Terminating");
        host.addProperty("share", member.weight());
        host.addProperty("born_ms", 0);
        return host;
    }

    private void write(JsonObject set) throws IOException {
        String text = new GsonBuilder()
                        .setPrettyPrinting()
                        .disableHtmlEscaping()
                        .create()
                        .toJson(set) + "\n";
        if (target == null) {
            out.print(text);
            out.flush();
        } else {
            Files.writeString(Path.of(target), text);
        }
    }
}
