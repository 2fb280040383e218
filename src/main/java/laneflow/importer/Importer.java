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
 * destination set in the discovery format, which {@code serve --destinations} loads.
 */
@Command(
        name = "import",
        mixinStandardHelpOptions = true,
        description = "Makes a destination set of an Apache balancer or a mod_jk worker file.")
public final class Importer implements Callable<Integer> {
    private final PrintStream out;
    private final PrintStream err;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The Apache configuration or workers.properties.")
    private String file;

    @Option(names = "-o", paramLabel = "OUT", description = "The file to write; standard output if absent.")
    private String outputFile;

    @Option(names = "--balancer", paramLabel = "NAME", description = "The balancer to import, if FILE has several.")
    private String balancer;

    @Option(names = "--zone", paramLabel = "ZONE", description = "The zone of all members.")
    private String zone;

    @Option(names = "--ajp-as-http", description = "Call the members' AJP ports by HTTP.")
    private boolean ajpAsHttp;

    @Option(names = "--address", paramLabel = "NAME=ADDRESS", description = "The IP address of a host name in FILE.")
    private Map<String, String> addresses = new HashMap<>();

    /** Creates the command, which writes the set to {@code out} and errors and warnings to {@code err}. */
    public Importer(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs the command. Returns its exit code: 0 if a set was written, 1 if the import failed, 2 on a usage error. */
    public static int run(List<String> args, PrintStream out, PrintStream err) {
        return new CommandLine(new Importer(out, err))
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(args.toArray(new String[0]));
    }

    @Override
    public Integer call() {
        addresses.forEach((name, address) -> {
            if (!isAddress(address)) {
                throw new ParameterException(spec.commandLine(), "'" + address + "' is not an IP address");
            }
        });
        try {
            write(convert());
            return 0;
        } catch (ImportException e) {
            err.println(e.getMessage());
        } catch (NoSuchFileException e) {
            err.println(e.getFile() + ": there is no such file");
        } catch (CharacterCodingException e) {
            err.println(file + ": not valid UTF-8");
        } catch (IOException e) {
            err.println(file + ": " + e.getMessage());
        }
        return 1;
    }

    private JsonObject convert() throws IOException, ImportException {
        List<String> lines = Files.readAllLines(Path.of(file));
        boolean isModJk = file.endsWith(".properties")
                || lines.stream().anyMatch(line -> line.strip().matches("workers?\\.[^<>]*=.*"));
        List<Member> members =
                isModJk ? new JkReader(file).read(lines) : new ApacheReader(file, err::println).read(lines);
        Set<String> balancers = new TreeSet<>();
        members.forEach(member -> balancers.add(member.balancer()));
        if (balancer != null ? !balancers.contains(balancer) : balancers.size() > 1) {
            // A destination set is one pool, but members of different balancers serve different requests.
            throw new ImportException(
                    file,
                    members.isEmpty() ? 1 : members.get(0).line(),
                    balancer != null
                            ? "no balancer '" + balancer + "' among " + balancers
                            : "several balancers, choose one with --balancer: " + balancers);
        }
        JsonArray hosts = new JsonArray();
        Set<String> dials = new HashSet<>();
        Set<String> hostNames = new HashSet<>();
        for (Member member : members) {
            if ((balancer == null || balancer.equals(member.balancer())) && isCallable(member)) {
                String dial = dial(member);
                if (!dials.add(dial)) {
                    throw new ImportException(file, member.line(), dial + " is a duplicate member");
                }
                String name = member.route() == null ? dial : member.route();
                if (!hostNames.add(name)) {
                    throw new ImportException(file, member.line(), "duplicate route '" + name + "'");
                }
                hosts.add(host(member, name, dial));
            }
        }
        if (hosts.isEmpty()) {
            throw new ImportException(file, Math.max(1, lines.size()), "no member that can be imported");
        }
        JsonObject destinationSet = new JsonObject();
        destinationSet.addProperty("seq", 1);
        destinationSet.addProperty("whole", true);
        destinationSet.add("hosts", hosts);
        return destinationSet;
    }

    /** Tells whether the member can be called over HTTP; prints a line if it is skipped or its protocol replaced. */
    private boolean isCallable(Member member) {
        String location = file + ":" + member.line() + ": " + member.host();
        if (member.scheme().equals("http")) {
            return true;
        }
        if (member.scheme().equals("ajp") && ajpAsHttp) {
            err.println(location + ": AJP replaced by HTTP at the same port");
            return true;
        }
        String suggestion = member.scheme().equals("ajp") ? " (--ajp-as-http calls the same port by HTTP)" : "";
        String scheme = member.scheme().toUpperCase(Locale.ROOT);
        err.println(location + " skipped: " + scheme + " is not supported" + suggestion);
        return false;
    }

    private String dial(Member member) throws ImportException {
        String host = addresses.getOrDefault(member.host(), member.host());
        host = host.equals("localhost") ? "127.0.0.1" : host;
        if (!isAddress(host)) {
            throw new ImportException(
                    file,
                    member.line(),
                    "'" + host + "' is a host name, and host names are not resolved: pass --address " + host
                            + "=ADDRESS");
        }
        if (member.port() < 1) {
            throw new ImportException(file, member.line(), "port " + member.port() + " is not from 1 to 65535");
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
        host.addProperty("health", member.active() ? "Ready" : "Terminating");
        host.addProperty("share", member.weight());
        host.addProperty("born_ms", 0);
        return host;
    }

    private void write(JsonObject destinationSet) throws IOException {
        String text = new GsonBuilder()
                        .setPrettyPrinting()
                        .disableHtmlEscaping()
                        .create()
                        .toJson(destinationSet) + "\n";
        if (outputFile == null) {
            out.print(text);
            out.flush();
        } else {
            Files.writeString(Path.of(outputFile), text);
        }
    }
}
