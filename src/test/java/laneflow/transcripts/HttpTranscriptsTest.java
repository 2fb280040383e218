package laneflow.transcripts;

import java.io.IOException;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Transcripts of requests on the HTTP front, for each outcome and kind of retry. */
@Timeout(120)
class HttpTranscriptsTest {
    private static RecordedPeer client(Transcript transcript, SchedulerHarness harness) throws IOException {
        return new RecordedPeer(transcript, "client", harness.http());
    }

    /** Accepts the next connection; two endpoints that share an address are told apart by the order of their calls. */
    private static RecordedPeer call(Transcript transcript, String name, Endpoint endpoint) throws IOException {
        return new RecordedPeer(transcript, name, endpoint.accept());
    }

    @Test
    void served() throws Exception {
        Transcript.of("A request is served, and another on the same connections.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                    RecordedPeer client = client(transcript, harness)) {
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
        Transcript.of("No endpoint is known: the request is refused at once with Retry-After.", transcript -> {
            try (SchedulerHarness harness = new SchedulerHarness(null);
                    RecordedPeer client = client(transcript, harness)) {
                client.post("card-capture", "1", "", "pay");
                client.message();
            }
        });
    }

    @Test
    void failedAtItsEndpoint() throws Exception {
        Transcript.of(
                "The endpoint reports that the job failed: it has run, so it is failed, not refused.", transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                            RecordedPeer client = client(transcript, harness)) {
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
        Transcript.of("The only endpoint refuses connections: the job has not run, and is refused.", transcript -> {
            Endpoint closed = new Endpoint("e1");
            closed.close();
            try (SchedulerHarness harness = new SchedulerHarness(null, closed);
                    RecordedPeer client = client(transcript, harness)) {
                client.post("card-capture", "1", "", "pay");
                client.message();
                transcript.note("calls that could not connect: " + harness.counter("call.connect_failed"));
            }
        });
    }

    /** The decision module chooses which endpoint is called first, so the connection accepted first breaks. */
    @Test
    void resetBeforeItsLastByteThenServed() throws Exception {
        Transcript.of(
                "A connection is reset before the endpoint reads anything: a retryable job goes to another endpoint.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, harness)) {
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
                "A connection breaks after the last byte: a job that may run twice is sent to another endpoint.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, harness)) {
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
                "A connection breaks after the last byte: a job that must not run twice is failed, and not sent again.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, harness)) {
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer first = call(transcript, "first endpoint", endpoint1);
                        first.message();
                        first.reset();
                        client.message();
                        transcript.note("calls sent: " + harness.counter("call.sent"));
                    }
                });
    }

    @Test
    void declined() throws Exception {
        Transcript.of("The endpoint declines: the job has not run, and is refused with Retry-After.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                    RecordedPeer client = client(transcript, harness)) {
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
                "Malformed responses: each call ends, and a job that must not run twice is failed.", transcript -> {
                    for (String garbage : new String[] {
                        "HTTP/9 what\r\n\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                        "HTTP/1.1 418 Teapot\r\n\r\n",
                        SchedulerHarness.watchResponse("{\"id\":\"2\",\"state\":\"done\",\"result\":\"another's\"}"),
                        SchedulerHarness.watchResponse("{\"id\":\"1\",\"state\":\"done\"}"),
                        SchedulerHarness.watchResponse("{\"id\":\"1\",\"state\":\"done\",\"result\":7}"),
                        SchedulerHarness.watchResponse("no JSON")
                    }) {
                        Endpoint endpoint = new Endpoint("e1");
                        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                                RecordedPeer client = client(transcript, harness)) {
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
                "A malformed response to a job that may run twice: it is sent to another endpoint.", transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, harness)) {
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
                "No head within 250 ms: a job that may run twice goes elsewhere, and the silent call is closed.",
                transcript -> {
                    Endpoint endpoint1 = new Endpoint("e1");
                    Endpoint endpoint2 = new Endpoint("e2", endpoint1);
                    try (SchedulerHarness harness = SchedulerHarness.withSetting(
                                    "'connectTimeout':1", "'connectTimeout':0.25", null, endpoint1, endpoint2);
                            RecordedPeer client = client(transcript, harness)) {
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
        Transcript.of("The client closes its connection: its call is cancelled.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                    RecordedPeer client = client(transcript, harness)) {
                client.post("basket-check", "1", "", "");
                RecordedPeer call = call(transcript, "e1", endpoint);
                call.message();
                client.disconnect();
                call.expectEnd();
                transcript.note("requests withdrawn: " + harness.counter("http.withdrawn"));
            }
        });
    }

    @Test
    void late() throws Exception {
        Transcript.of(
                "The endpoint is silent until the client's deadline: the job may have run, so it is failed in time.",
                transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                            RecordedPeer client = client(transcript, harness)) {
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
                "The id of an open request is submitted again: an error for the second request, and no second call.",
                transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                            RecordedPeer client = client(transcript, harness);
                            RecordedPeer other = new RecordedPeer(transcript, "another client", harness.http())) {
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer call = call(transcript, "e1", endpoint);
                        call.message();
                        other.post("card-capture", "1", "", "pay");
                        other.message();
                        call.reply("{'id':'1','state':'done','result':'paid'}");
                        client.message();
                        transcript.note("calls sent: " + harness.counter("call.sent"));
                    }
                });
    }

    @Test
    void malformed() throws Exception {
        String post = "POST /basket-check HTTP/1.1\r\nReq-Id: 1\r\n";
        Transcript.of(
                "Malformed messages: each is answered with an error that closes its connection; none is a request.",
                transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null, new Endpoint("e1"))) {
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
                            try (RecordedPeer client = client(transcript, harness)) {
                                client.peer.recordTo(message -> transcript.message(
                                        "client",
                                        "scheduler",
                                        message.length() < 1000 ? message : message.replaceAll("a{1000,}", "aaa...")));
                                client.write(bad);
                                client.message();
                            }
                        }
                        transcript.note("requests taken: " + harness.counter("http.taken"));
                    }
                });
    }

    @Test
    void senseless() throws Exception {
        Transcript.of(
                "Well-formed messages that are no valid request: each gets an error, and its connection stays open.",
                transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null, new Endpoint("e1"))) {
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
                            try (RecordedPeer client = client(transcript, harness)) {
                                client.write(bad);
                                client.message();
                            }
                        }
                        transcript.note("requests taken: " + harness.counter("http.taken"));
                    }
                });
    }
}
