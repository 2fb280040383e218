package laneflow.importer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the import command on files in the syntax of Apache httpd and mod_jk. */
class ImporterTest {
    private static final String APACHE = "# tills\nProxyPass /x balancer://tills/\n<IfModule proxy>\n"
            + "<Proxy \"balancer://tills\">\n  BalancerMember \"http://10.0.0.1:8081\" route=t1 loadfactor=3\n"
            + "  balancermember http://10.0.0.2 \\\n    status=+D retry=5\n  ProxySet lbmethod=byrequests\n"
            + "  BalancerMember ajp://10.0.0.3:8009 status=-D\n  BalancerMember http://10.0.0.4:1 status=+H\n"
            + "</Proxy>\n</IfModule>\nBalancerMember balancer://tills http://[::1]:7 status=D-D\n";
    private static final String JK = "ps=10.0.1\nworker.list=router,stat\nworker.stat.type=status\n"
            + "worker.router.type=lb\nworker.router.balance_workers=a, b\nworker.router.balance_workers=c\n"
            + "worker.base.port=8109\nworker.base.lbfactor=4\nworker.mid.reference=worker.base\n"
            + "worker.a.reference=worker.mid\nworker.a.host=$(ps).1\nworker.b.reference=worker.base\n"
            + "worker.b.host=$(ps).2\nworker.b.lbfactor=1\nworker.b.activation=Disabled\nworker.c.type=ajp13\n";

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String name, String text, String... options) throws IOException {
        Path file = Files.writeString(folder.resolve(name), text);
        List<String> args = new ArrayList<>(List.of(file.toString()));
        args.addAll(Arrays.asList(options));
        return Importer.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String errorOutput() {
        return err.toString(StandardCharsets.UTF_8).replace(folder + "/", "");
    }

    /** Formats the hosts of a destination set, one line for each: name, dial, health, share. */
    private String hosts(String text) {
        StringBuilder lines = new StringBuilder();
        for (JsonElement element :
                JsonParser.parseString(text).getAsJsonObject().getAsJsonArray("hosts")) {
            JsonObject host = element.getAsJsonObject();
            lines.append(host.get("host").getAsString())
                    .append(' ')
                    .append(host.get("dial").getAsString())
                    .append(' ')
                    .append(host.get("health").getAsString())
                    .append(' ')
                    .append(host.get("share").getAsDouble())
                    .append('\n');
        }
        return lines.toString();
    }

    @Test
    void readsBalancerMembers() throws IOException {
        assertEquals(0, run("httpd.conf", APACHE));
        assertEquals(
                "t1 10.0.0.1:8081 Ready 3.0\n10.0.0.2:80 10.0.0.2:80 Terminating 1.0\n"
                        + "10.0.0.4:1 10.0.0.4:1 Terminating 1.0\n[::1]:7 [::1]:7 Ready 1.0\n",
                hosts(out.toString(StandardCharsets.UTF_8)));
        assertTrue(errorOutput().contains("httpd.conf:9: 10.0.0.3 skipped: AJP is not supported"), errorOutput());
        assertTrue(
                errorOutput().contains("httpd.conf:10: http://10.0.0.4:1 is a hot standby or hot spare"),
                errorOutput());
    }

    @Test
    void readsWorkersWithInheritedProperties() throws IOException {
        Path outputFile = folder.resolve("set.json");
        assertEquals(0, run("workers.properties", JK, "--ajp-as-http", "-o", outputFile.toString()));
        assertEquals(
                "a 10.0.1.1:8109 Ready 4.0\nb 10.0.1.2:8109 Terminating 1.0\nc 127.0.0.1:8009 Ready 1.0\n",
                hosts(Files.readString(outputFile)));
    }

    @Test
    void skipsAjpWorkersWithoutAjpAsHttp() throws IOException {
        assertEquals(1, run("workers.properties", JK));
        assertEquals("", out.toString(StandardCharsets.UTF_8));
        assertTrue(errorOutput().contains("workers.properties:11: 10.0.1.1 skipped: AJP"), errorOutput());
    }

    @Test
    void mapsHostNamesToAddressesAndSelectsOneBalancer() throws IOException {
        String twoBalancers =
                "BalancerMember balancer://a http://till-1:80\nBalancerMember balancer://b http://10.0.0.9\n";
        assertEquals(1, run("x.conf", twoBalancers));
        assertTrue(
                errorOutput().contains("x.conf:1: several balancers, choose one with --balancer: [a, b]"),
                errorOutput());
        assertEquals(0, run("x.conf", twoBalancers, "--balancer", "a", "--address", "till-1=10.0.0.7"));
        assertEquals("10.0.0.7:80 10.0.0.7:80 Ready 1.0\n", hosts(out.toString(StandardCharsets.UTF_8)));
        assertEquals(2, run("x.conf", twoBalancers, "--what"));
        assertEquals(1, Importer.run(List.of("no-such-file"), System.out, new PrintStream(err)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "x.conf | BalancerMember http://10.0.0.1 | 1: BalancerMember belongs to no balancer",
                "x.conf | #;<Proxy balancer://a>;BalancerMember http://10.0.0.1 loadfactor=0 | 3: loadfactor '0'",
                "x.conf | <Proxy balancer://a>;BalancerMember 10.0.0.1 | 2: '10.0.0.1' is not a valid member address",
                "x.conf | BalancerMember balancer://a http://till-1 | 1: 'till-1' is a host name",
                "x.conf | <Proxy balancer://a>;BalancerMember http://10.0.0.1 status=Q | 2: status 'Q'",
                "x.conf | <Proxy balancer://a>;BalancerMember \"http://10.0.0.1 | 2: a quote is not closed",
                "x.conf | <Proxy balancer://a> | 1: <Proxy> is not closed",
                "x.conf | BalancerMember balancer://a http://10.0.0.1;BalancerMember balancer://a http://10.0.0.1:80 "
                        + "| 2: 10.0.0.1:80 is a duplicate member",
                "x.conf | ServerName till | 1: no member that can be imported",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a | 2: member 'a' of 'l' is not defined",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.lbfactor=x | 3: lbfactor 'x'",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.port=http | 3: port 'http'",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.activation=maybe | 3: activation",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.reference=worker.a "
                        + "| 3: 'worker.a' refers to itself",
                "w.properties | worker.a.host=$(nobody) | 1: $(nobody) is not defined",
                "w.properties | worker.a | 1: 'worker.a' is not name=value"
            })
    void reportsInvalidInputWithFileAndLine(String name, String text, String expectedError) throws IOException {
        assertEquals(1, run(name, text.replace(';', '\n'), "--ajp-as-http"));
        assertTrue(errorOutput().contains(name + ":" + expectedError), errorOutput());
    }
}
