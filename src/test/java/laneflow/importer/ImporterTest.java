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

/** The importer on files as Apache httpd and mod_jk read them. */
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
    private final ByteArrayOutputStream notes = new ByteArrayOutputStream();

    private int run(String name, String text, String... more) throws IOException {
        Path file = Files.writeString(folder.resolve(name), text);
        List<String> args = new ArrayList<>(List.of(file.toString()));
        args.addAll(Arrays.asList(more));
        return Importer.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(notes, true, StandardCharsets.UTF_8));
    }

    private String notes() {
        return notes.toString(StandardCharsets.UTF_8).replace(folder + "/", "");
    }

    /** The set written, a line a host: name, dial, health, share. */
    private String hosts(String text) {
        StringBuilder all = new StringBuilder();
        for (JsonElement each : JsonParser.parseString(text).getAsJsonObject().getAsJsonArray("hosts")) {
            JsonObject host = each.getAsJsonObject();
            all.append(host.get("host").getAsString())
                    .append(' ')
                    .append(host.get("dial").getAsString())
                    .append(' ')
                    .append(host.get("health").getAsString())
                    .append(' ')
                    .append(host.get("share").getAsDouble())
                    .append('\n');
        }
        return all.toString();
    }

    @Test
    void readsBalancerMembers() throws IOException {
        assertEquals(0, run("httpd.conf", APACHE));
        assertEquals(
                "t1 10.0.0.1:8081 Ready 3.0\n10.0.0.2:80 10.0.0.2:80 Terminating 1.0\n"
                        + "10.0.0.4:1 10.0.0.4:1 Terminating 1.0\n[::1]:7 [::1]:7 Ready 1.0\n",
                hosts(out.toString(StandardCharsets.UTF_8)));
        assertTrue(notes().contains("httpd.conf:9: 10.0.0.3 skipped: AJP is not spoken here"), notes());
        assertTrue(notes().contains("httpd.conf:10: http://10.0.0.4:1 is a spare"), notes());
    }

    @Test
    void readsWorkersWithWhatTheyInherit() throws IOException {
        Path target = folder.resolve("set.json");
        assertEquals(0, run("workers.properties", JK, "--ajp-as-http", "-o", target.toString()));
        assertEquals(
                "a 10.0.1.1:8109 Ready 4.0\nb 10.0.1.2:8109 Terminating 1.0\nc 127.0.0.1:8009 Ready 1.0\n",
                hosts(Files.readString(target)));
    }

    @Test
    void withoutTheOptionNoWorkerOfAjpIsLeft() throws IOException {
        assertEquals(1, run("workers.properties", JK));
        assertEquals("", out.toString(StandardCharsets.UTF_8));
        assertTrue(notes().contains("workers.properties:11: 10.0.1.1 skipped: AJP"), notes());
    }

    @Test
    void namesAreGivenAddressesAndOneBalancerIsChosen() throws IOException {
        String two = "BalancerMember balancer://a http://till-1:80\nBalancerMember balancer://b http://10.0.0.9\n";
        assertEquals(1, run("x.conf", two));
        assertTrue(notes().contains("x.conf:1: several balancers, choose one by --balancer: [a, b]"), notes());
        assertEquals(0, run("x.conf", two, "--balancer", "a", "--address", "till-1=10.0.0.7"));
        assertEquals("10.0.0.7:80 10.0.0.7:80 Ready 1.0\n", hosts(out.toString(StandardCharsets.UTF_8)));
        assertEquals(2, run("x.conf", two, "--what"));
        assertEquals(1, Importer.run(List.of("no-such-file"), System.out, new PrintStream(notes)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "x.conf | BalancerMember http://10.0.0.1 | 1: BalancerMember belongs to no balancer",
                "x.conf | #;<Proxy balancer://a>;BalancerMember http://10.0.0.1 loadfactor=0 | 3: loadfactor '0'",
                "x.conf | <Proxy balancer://a>;BalancerMember 10.0.0.1 | 2: '10.0.0.1' is no address",
                "x.conf | BalancerMember balancer://a http://till-1 | 1: 'till-1' is a name",
                "x.conf | <Proxy balancer://a>;BalancerMember http://10.0.0.1 status=Q | 2: status 'Q'",
                "x.conf | <Proxy balancer://a>;BalancerMember \"http://10.0.0.1 | 2: a quote is not closed",
                "x.conf | <Proxy balancer://a> | 1: <Proxy> is not closed",
                "x.conf | BalancerMember balancer://a http://10.0.0.1;BalancerMember balancer://a http://10.0.0.1:80 "
                        + "| 2: 10.0.0.1:80 is a member twice",
                "x.conf | ServerName till | 1: no member that can be called",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a | 2: member 'a' of 'l' is not defined",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.lbfactor=x | 3: lbfactor 'x'",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.port=http | 3: port 'http'",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.activation=maybe | 3: activation",
                "w.properties | worker.l.type=lb;worker.l.balance_workers=a;worker.a.reference=worker.a "
                        + "| 3: 'worker.a' refers to itself",
                "w.properties | worker.a.host=$(nobody) | 1: $(nobody) is not defined",
                "w.properties | worker.a | 1: 'worker.a' is not name=value"
            })
    void whatCanNotBeTakenOverIsSaidWithItsPlace(String name, String text, String said) throws IOException {
        assertEquals(1, run(name, text.replace(';', '\n'), "--ajp-as-http"));
        assertTrue(notes().contains(name + ":" + said), notes());
    }
}
