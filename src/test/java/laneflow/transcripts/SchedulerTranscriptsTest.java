package laneflow.transcripts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Setup;
import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What befalls a scheduler as a whole: discovery's words and silence, a move, a planned end, its second address. */
@Timeout(300)
class SchedulerTranscriptsTest {
    @TempDir
    private Path folder;

    private static RecordedPeer client(Transcript transcript, Stand stand) throws IOException {
        return new RecordedPeer(transcript, "client", stand.http());
    }

    private static RecordedPeer watch(Transcript transcript, String name, Endpoint discovery) throws IOException {
        RecordedPeer watch = new RecordedPeer(transcript, name, discovery.accept());
        watch.head();
        return watch;
    }

    @Test
    void drainOfAnEndpoint() throws Exception {
        Transcript.of("Discovery says that an endpoint ends: its call goes on, new ones go to another.", transcript -> {
            Endpoint discovery = new Endpoint("discovery");
            Endpoint one = new Endpoint("e1");
            Endpoint two = new Endpoint("e2");
            try (Stand stand = new Stand(discovery, one);
                    RecordedPeer client = client(transcript, stand);
                    RecordedPeer other = new RecordedPeer(transcript, "another client", stand.http())) {
                RecordedPeer watch = watch(transcript, "discovery", discovery);
                client.post("card-capture", "1", "", "pay");
                RecordedPeer call = new RecordedPeer(transcript, "e1", one.accept());
                call.message();
                watch.write(Stand.watching(Stand.list(2, false, one.host("Terminating"), two.host("Ready"))));
                stand.await("discovery.lists", 1);
                other.post("card-capture", "2", "", "pay");
                RecordedPeer next = new RecordedPeer(transcript, "e2", two.accept());
                next.message();
                call.reply("{'id':'1','state':'done','result':'paid'}");
                client.message();
                next.reply("{'id':'2','state':'done','result':'paid'}");
                other.message();
            }
        });
    }

    @Test
    void watchThatEndsOrSpeaksNonsense() throws Exception {
        Transcript.of(
                "A watch ends, and is begun behind what was heard; nonsense is asked for anew, whole.", transcript -> {
                    Endpoint discovery = new Endpoint("discovery");
                    Endpoint one = new Endpoint("e1");
                    try (Stand stand = new Stand(discovery, one)) {
                        RecordedPeer first = watch(transcript, "discovery", discovery);
                        first.reply(Stand.list(2, false, one.host("Ready")).replace('"', '\''));
                        RecordedPeer second = watch(transcript, "discovery, 2nd watch", discovery);
                        second.reply("no list at all");
                        RecordedPeer third = watch(transcript, "discovery, 3rd watch", discovery);
                        third.write(Stand.watching(Stand.list(9, true, one.host("Ready"))));
                        stand.await("discovery.lists", 2);
                    }
                });
    }

    @Test
    void silentWatch() throws Exception {
        Transcript.of(
                "No beat for 2.5 s: the watch is opened anew behind what was heard, and the list stands.",
                transcript -> {
                    Endpoint discovery = new Endpoint("discovery");
                    Endpoint one = new Endpoint("e1");
                    try (Stand stand = new Stand(discovery, one)) {
                        RecordedPeer first = watch(transcript, "discovery", discovery);
                        first.write(Stand.watching(Stand.list(2, true, one.host("Ready"))));
                        stand.await("discovery.lists", 1);
                        watch(transcript, "discovery, 2nd watch", discovery);
                        RecordedPeer client = client(transcript, stand);
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer call = new RecordedPeer(transcript, "e1", one.accept());
                        call.message();
                        call.reply("{'id':'1','state':'done','result':'paid'}");
                        client.message();
                    }
                });
    }

    @Test
    void readyOnceDiscoveryHasSpoken() throws Exception {
        Transcript.of("With nothing known it is live and not ready until discovery has spoken.", transcript -> {
            Endpoint discovery = new Endpoint("discovery");
            try (Stand stand = new Stand(discovery);
                    RecordedPeer client = client(transcript, stand)) {
                RecordedPeer watch = watch(transcript, "discovery", discovery);
                client.write("GET /health/live HTTP/1.1\r\n\r\n").message();
                client.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
                watch.write(Stand.watching(Stand.list(2, true)));
                stand.await("discovery.lists", 1);
                client.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
            }
        });
    }

    @Test
    void movedDiscovery() throws Exception {
        Transcript.of(
                "SIGHUP, discovery moved: the old address is heard until the new one has spoken; bad files pass.",
                transcript -> {
                    Endpoint first = new Endpoint("d1");
                    Endpoint second = new Endpoint("d2");
                    Endpoint one = new Endpoint("e1");
                    try (Stand stand = new Stand(first, one)) {
                        RecordedPeer old = watch(transcript, "discovery", first);
                        for (String bad : new String[] {"{\"disco", Stand.config("discovery.svc")}) {
                            transcript.note("SIGHUP with a file that is none, or names no address");
                            hangup(stand, bad);
                        }
                        transcript.note("SIGHUP with another address");
                        hangup(stand, Stand.config(second.dial()));
                        RecordedPeer next = watch(transcript, "discovery, moved", second);
                        old.write(Stand.watching(Stand.list(8, false, one.host("Terminating"))));
                        stand.await("discovery.lists", 1);
                        next.write(Stand.watching(Stand.list(3, true, one.host("Ready"))));
                        stand.await("discovery.lists", 2);
                        old.expectEnd();
                        transcript.note("moves: " + stand.counter("discovery.moves"));
                    }
                });
    }

    @Test
    void plannedEnd() throws Exception {
        Transcript.of("SIGTERM: who is connected is served, then sent away; what is out is answered.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (Stand stand = new Stand(null, endpoint);
                    RecordedPeer client = client(transcript, stand);
                    RecordedPeer idle = new RecordedPeer(transcript, "idle client", stand.http())) {
                idle.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
                client.post("card-capture", "1", "", "pay");
                RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                call.message();
                transcript.note("SIGTERM");
                Thread stop = new Thread(stand.serve::stop);
                stop.start();
                idle.expectEnd();
                call.reply("{'id':'1','state':'done','result':'paid'}");
                client.message();
                client.expectEnd();
                stop.join(30_000);
                transcript.note(stop.isAlive() ? "it goes on" : "it has ended");
            }
        });
    }

    @Test
    void secondAddress() throws Exception {
        Transcript.of("The second address: a worker set down and up again, and each call that is none.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            Path own = Files.createTempDirectory(folder, "stand");
            try (Stand stand = Stand.operated(own, endpoint)) {
                for (String call : new String[] {
                    "check", "", "checks", "check now", "set-down", "set-down e9", "drain-on 3", "set-down e1"
                }) {
                    operator(transcript, stand, call);
                }
                try (RecordedPeer client = client(transcript, stand)) {
                    client.post("card-capture", "1", "", "pay");
                    client.message();
                    operator(transcript, stand, "set-up e1");
                    client.post("card-capture", "2", "", "pay");
                    RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                    call.message();
                    call.reply("{'id':'2','state':'done','result':'paid'}");
                    client.message();
                }
            }
        });
    }

    /** Each has a file of its own: they are read later, one after the other. */
    private void hangup(Stand stand, String text) throws IOException {
        Path file = Files.writeString(Files.createTempFile(folder, "config", ".json"), text);
        stand.serve.reload(() -> Setup.platform(file, null, null));
    }

    private static void operator(Transcript transcript, Stand stand, String call) throws IOException {
        try (RecordedPeer operator = new RecordedPeer(transcript, "operator", stand.operator())) {
            operator.write(call + "\n");
            operator.line();
            operator.expectEnd();
        }
    }
}
