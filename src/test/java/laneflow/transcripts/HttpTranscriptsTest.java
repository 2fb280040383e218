package laneflow.transcripts;

import java.io.IOException;
import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request's life on the platform's front, with each outcome and repeat. */
@Timeout(120)
class HttpTranscriptsTest {
    private static RecordedPeer client(Transcript transcript, Stand stand) throws IOException {
        return new RecordedPeer(transcript, "client", stand.http());
    }

    /** The next connection there, whatever endpoint it is for: two that listen at one address are told apart so. */
    private static RecordedPeer call(Transcript transcript, String name, Endpoint at) throws IOException {
        return new RecordedPeer(transcript, name, at.accept());
    }

    @Test
    void served() throws Exception {
        Transcript.of("A request is served, and another on the same connections.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (Stand stand = new Stand(null, endpoint);
                    RecordedPeer client = client(transcript, stand)) {
                client.post("card-capture", "1", "", "pay");
                RecordedPeer call = call(transcript, "e1", endpoint);
                call.message();
                call.reply("{'id':'1','state':'started'}", "{'id':'1','state':'done','result':'paid'}");
                client.message();
                client.post("basket-check", "2", "", "two");
                call.message();
                call.reply("{'id':'2','state':'done','result':'priced'}");
                client.message();
            }
        });
    }

    @Test
    void refusedForWantOfAnEndpoint() throws Exception {
        Transcript.of("No endpoint is known: refused at once, with a time to come back.", transcript -> {
            try (Stand stand = new Stand(null);
                    RecordedPeer client = client(transcript, stand)) {
                client.post("card-capture", "1", "", "pay");
                client.message();
            }
        });
    }

    @Test
    void failedAtItsEndpoint() throws Exception {
        Transcript.of("The endpoint says that the job failed: it ran, so it is failed and not refused.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (Stand stand = new Stand(null, endpoint);
                    RecordedPeer client = client(transcript, stand)) {
                client.post("card-capture", "1", "", "pay");
                RecordedPeer call = call(transcript, "e1", endpoint);
                call.message();
                call.reply("{'id':'1','state':'started'}", "{'id':'1','state':'failed'}");
                client.message();
            }
        });
    }

    @Test
    void connectFailedAndRefused() throws Exception {
        Transcript.of("The only endpoint refuses connections: the job never ran, and is refused.", transcript -> {
            Endpoint closed = new Endpoint("e1");
            closed.close();
            try (Stand stand = new Stand(null, closed);
                    RecordedPeer client = client(transcript, stand)) {
                client.post("card-capture", "1", "", "pay");
                client.message();
                transcript.note("calls that could not connect: " + stand.counter("call.connect_failed"));
            }
        });
    }

    /** Which of the two is called first is the module's choice, so one of them breaks whatever comes first. */
    @Test
    void resetBeforeItsLastByteThenServed() throws Exception {
        Transcript.of(
                "A connection ends before anything was read there: what may be repeated goes to another.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (Stand stand = new Stand(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("basket-check", "1", "", "two");
                        RecordedPeer first = call(transcript, "first endpoint", endpoint1);
                        first.reset();
                        RecordedPeer second = call(transcript, "second endpoint", endpoint1);
                        second.message();
                        second.reply("{'id':'1','state':'done','result':'priced'}");
                        client.message();
                    }
                });
    }

    @Test
    void resetOfWhatMayRunTwice() throws Exception {
        Transcript.of(
                "A connection breaks behind the last byte: what may run twice is sent to another endpoint.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (Stand stand = new Stand(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("basket-check", "1", "", "two");
                        RecordedPeer first = call(transcript, "first endpoint", endpoint1);
                        first.message();
                        first.reset();
                        RecordedPeer second = call(transcript, "second endpoint", endpoint1);
                        second.message();
                        second.reply("{'id':'1','state':'done','result':'priced'}");
                        client.message();
                    }
                });
    }

    @Test
    void resetOfWhatMustNotRunTwice() throws Exception {
        Transcript.of(
                "A connection breaks behind the last byte: what must not run twice is failed, and sent no more.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (Stand stand = new Stand(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer first = call(transcript, "first endpoint", endpoint1);
                        first.message();
                        first.reset();
                        client.message();
                        transcript.note("calls sent: " + stand.counter("call.sent"));
                    }
                });
    }

    @Test
    void declined() throws Exception {
        Transcript.of(
                "The endpoint declines: the job never ran, and is refused with a time to come back.", transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (Stand stand = new Stand(null, endpoint);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer call = call(transcript, "e1", endpoint);
                        call.message();
                        call.write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nSrv-Load: util=1,queue=3,x0=0\r\n"
                                + "Content-Length: 0\r\n\r\n");
                        client.message();
                    }
                });
    }

    @Test
    void garbled() throws Exception {
        Transcript.of(
                "Answers that can't be read: each call is over, and what must not run twice is failed.", transcript -> {
                    for (String garbage : new String[] {
                        "HTTP/9 what\r\n\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                        "HTTP/1.1 418 Teapot\r\n\r\n",
                        Stand.watching("{\"id\":\"2\",\"state\":\"done\",\"result\":\"another's\"}"),
                        Stand.watching("{\"id\":\"1\",\"state\":\"done\"}"),
                        Stand.watching("{\"id\":\"1\",\"state\":\"done\",\"result\":7}"),
                        Stand.watching("no JSON")
                    }) {
                        Endpoint endpoint = new Endpoint("e1");
                        try (Stand stand = new Stand(null, endpoint);
                                RecordedPeer client = client(transcript, stand)) {
                            client.post("card-capture", "1", "", "pay");
                            RecordedPeer call = call(transcript, "e1", endpoint);
                            call.message();
                            call.write(garbage);
                            client.message();
                        }
                    }
                });
    }

    @Test
    void garbledAndRepeated() throws Exception {
        Transcript.of(
                "An answer that can't be read, for what may run twice: it is asked of another endpoint.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (Stand stand = new Stand(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("basket-check", "1", "", "two");
                        RecordedPeer first = call(transcript, "first endpoint", endpoint1);
                        first.message();
                        first.write("HTTP/9 what\r\n\r\n");
                        RecordedPeer second = call(transcript, "second endpoint", endpoint1);
                        second.message();
                        second.reply("{'id':'1','state':'done','result':'priced'}");
                        client.message();
                    }
                });
    }

    @Test
    void silentAndRepeated() throws Exception {
        Transcript.of(
                "No head within 250 ms: what may run twice goes elsewhere, and the silent call is ended.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (Stand stand = Stand.changed(
                                    "'connectTimeout':1", "'connectTimeout':0.25", null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("basket-check", "1", "", "two");
                        RecordedPeer first = call(transcript, "first endpoint", endpoint1);
                        first.message();
                        RecordedPeer second = call(transcript, "second endpoint", endpoint1);
                        second.message();
                        first.expectEnd();
                        second.reply("{'id':'1','state':'done','result':'priced'}");
                        client.message();
                    }
                });
    }

    @Test
    void clientGone() throws Exception {
        Transcript.of("The client leaves: its call is cancelled.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (Stand stand = new Stand(null, endpoint);
                    RecordedPeer client = client(transcript, stand)) {
                client.post("basket-check", "1", "", "");
                RecordedPeer call = call(transcript, "e1", endpoint);
                call.message();
                client.disconnect();
                call.expectEnd();
                transcript.note("requests withdrawn: " + stand.counter("http.withdrawn"));
            }
        });
    }

    @Test
    void late() throws Exception {
        Transcript.of(
                "The endpoint is silent until the client's deadline: failed in time, since it may have run.",
                transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (Stand stand = new Stand(null, endpoint);
                            RecordedPeer client = client(transcript, stand)) {
                        client.post("card-capture", "1", "Req-Deadline-Ms: 600\r\n", "pay");
                        RecordedPeer call = call(transcript, "e1", endpoint);
                        call.message();
                        client.message();
                        call.expectEnd();
                    }
                });
    }

    @Test
    void sameIdAgain() throws Exception {
        Transcript.of(
                "An id that is at work is handed in again: an error for the second, and no second call.",
                transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (Stand stand = new Stand(null, endpoint);
                            RecordedPeer client = client(transcript, stand);
                            RecordedPeer other = new RecordedPeer(transcript, "another client", stand.http())) {
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer call = call(transcript, "e1", endpoint);
                        call.message();
                        other.post("card-capture", "1", "", "pay");
                        other.message();
                        call.reply("{'id':'1','state':'done','result':'paid'}");
                        client.message();
                        transcript.note("calls sent: " + stand.counter("call.sent"));
                    }
                });
    }

    @Test
    void malformed() throws Exception {
        String post = "POST /basket-check HTTP/1.1\r\nReq-Id: 1\r\n";
        Transcript.of(
                "What can't be read: each gets its error and the end of its connection; none is a request.",
                transcript -> {
                    try (Stand stand = new Stand(null, new Endpoint("e1"))) {
                        for (String bad : new String[] {
                            "what\r\n\r\n",
                            "POST /x HTTP/1.1\r\nNo colon\r\n\r\n",
                            post + "Content-Length: 65537\r\n\r\n",
                            post + "X: " + "a".repeat(17_000) + "\r\n\r\n",
                            post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                            post + "Transfer-Encoding: gzip\r\n\r\n",
                            post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
                            post + "Content-Length: -1\r\n\r\n",
                            post + "X: a\r\n b\r\n\r\n",
                            "POST /basket-check\u0001 HTTP/1.1\r\nReq-Id: 1\r\n\r\n",
                            post + "Req-Id: 1\r\n\r\n"
                        }) {
                            try (RecordedPeer client = client(transcript, stand)) {
                                client.peer.noted(message -> transcript.message(
                                        "client",
                                        "scheduler",
                                        message.length() < 1000 ? message : message.replaceAll("a{1000,}", "aaa...")));
                                client.write(bad);
                                client.message();
                            }
                        }
                        transcript.note("requests taken: " + stand.counter("http.taken"));
                    }
                });
    }

    @Test
    void senseless() throws Exception {
        Transcript.of(
                "What can be read and is no request: each gets its error, and its connection is kept.", transcript -> {
                    try (Stand stand = new Stand(null, new Endpoint("e1"))) {
                        String suffix = "Content-Length: 0\r\n\r\n";
                        for (String bad : new String[] {
                            "POST /basket-check HTTP/1.1\r\n" + suffix,
                            "POST /no-class HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: no-class\r\n" + suffix,
                            "POST /basket-check HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: card-capture\r\n" + suffix,
                            "POST /basket-check HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: soon\r\n" + suffix,
                            "POST /basket-check HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: -5\r\n" + suffix,
                            "GET /nothing HTTP/1.1\r\n\r\n",
                            "DELETE /basket-check HTTP/1.1\r\n" + suffix
                        }) {
                            try (RecordedPeer client = client(transcript, stand)) {
                                client.write(bad);
                                client.message();
                            }
                        }
                        transcript.note("requests taken: " + stand.counter("http.taken"));
                    }
                });
    }
}
