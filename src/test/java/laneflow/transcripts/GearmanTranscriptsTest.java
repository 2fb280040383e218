package laneflow.transcripts;

import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A job's life on the Gearman front, with each outcome and repeat. */
@Timeout(120)
class GearmanTranscriptsTest {
    private static GearmanParty party(Transcript transcript, String name, Stand stand) throws Exception {
        return new GearmanParty(transcript, name, stand.gearman());
    }

    private static GearmanParty submitted(
            Transcript transcript, String name, Stand stand, String function, String unique) throws Exception {
        GearmanParty client = party(transcript, name, stand).says("SUBMIT_JOB", function, unique, "pay");
        client.hears();
        return client;
    }

    @Test
    void served() throws Exception {
        Transcript.of(
                "A job is served; its client hears how far it is; another joins it by its unique.", transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty worker = party(transcript, "worker", stand).able("capture");
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "u1");
                        String handle = worker.grabs();
                        worker.says("WORK_STATUS", handle, 1, 4);
                        client.hears();
                        client.says("GET_STATUS", handle).hears();
                        GearmanParty other = submitted(transcript, "another client", stand, "capture", "u1");
                        worker.says("WORK_COMPLETE", handle, "paid");
                        client.hears();
                        other.hears();
                        client.says("GET_STATUS", handle).hears();
                        transcript.note("calls sent: " + stand.counter("call.sent"));
                    }
                });
    }

    @Test
    void failed() throws Exception {
        Transcript.of("The worker fails its job: it ran, and what must not run twice is failed.", transcript -> {
            try (Stand stand = new Stand(null)) {
                GearmanParty worker = party(transcript, "worker", stand).able("capture");
                GearmanParty client = submitted(transcript, "client", stand, "capture", "");
                worker.says("WORK_FAIL", worker.grabs());
                client.hears();
                transcript.note("failed: " + stand.counter("gearman.failed"));
            }
        });
    }

    @Test
    void refused() throws Exception {
        Transcript.of(
                "No worker has the function: refused at once; the protocol has no word for later.", transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "");
                        client.hears();
                        transcript.note("refused: " + stand.counter("gearman.refused"));
                    }
                });
    }

    @Test
    void workerVanishesAtWork() throws Exception {
        Transcript.of(
                "A worker vanishes at work: what must not run twice is failed, what may goes to another.",
                transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty first = party(transcript, "worker", stand).able("capture", "check");
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "");
                        first.grabs();
                        first.resets();
                        client.hears();
                        GearmanParty second =
                                party(transcript, "second worker", stand).able("check");
                        client.says("SUBMIT_JOB", "check", "", "two").hears();
                        second.grabs();
                        GearmanParty third =
                                party(transcript, "third worker", stand).able("check");
                        second.resets();
                        third.says("WORK_COMPLETE", third.grabs(), "priced");
                        client.hears();
                    }
                });
    }

    @Test
    void workerVanishesBeforeItsJob() throws Exception {
        Transcript.of(
                "A worker vanishes before it has come for its job: the job never ran, and goes to another.",
                transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty first = party(transcript, "worker", stand).able("capture");
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "");
                        first.hears();
                        GearmanParty second =
                                party(transcript, "second worker", stand).able("capture");
                        first.resets();
                        second.says("WORK_COMPLETE", second.grabs(), "paid");
                        client.hears();
                    }
                });
    }

    @Test
    void late() throws Exception {
        Transcript.of(
                "Nobody comes for a job by its deadline: it never ran, and whoever comes later finds none.",
                transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty worker = party(transcript, "worker", stand).able("hasty");
                        GearmanParty client = submitted(transcript, "client", stand, "hasty", "");
                        worker.hears();
                        client.hears();
                        worker.says("GRAB_JOB").hears();
                        transcript.note("refused: " + stand.counter("gearman.refused") + ", failed: "
                                + stand.counter("gearman.failed"));
                    }
                });
    }

    @Test
    void clientGone() throws Exception {
        Transcript.of(
                "A client leaves before its job is taken: the job is withdrawn, and nobody is given it.",
                transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty worker = party(transcript, "worker", stand).able("capture");
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "");
                        worker.hears();
                        client.leaves();
                        stand.await("gearman.withdrawn", 1);
                        worker.says("GRAB_JOB").hears();
                    }
                });
    }

    @Test
    void drained() throws Exception {
        Transcript.of(
                "A worker takes its abilities back: what waits there is given back when the grace is over.",
                transcript -> {
                    try (Stand stand = new Stand(null)) {
                        GearmanParty worker = party(transcript, "worker", stand).able("capture");
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "");
                        worker.hears();
                        worker.says("RESET_ABILITIES");
                        client.hears();
                        worker.says("GRAB_JOB").hears();
                    }
                });
    }

    @Test
    void acrossTheWires() throws Exception {
        Transcript.of(
                "A Gearman client's job at an HTTP endpoint, and an HTTP client's at a Gearman worker.", transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (Stand stand = new Stand(null, endpoint)) {
                        GearmanParty client = submitted(transcript, "client", stand, "capture", "till-7");
                        RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                        String sent = call.message();
                        String id = sent.substring(sent.indexOf("Req-Id: ") + 8, sent.indexOf("\r\nReq-Deadline"));
                        call.reply("{'id':'" + id + "','state':'done','result':'paid'}");
                        client.hears();
                    }
                    try (Stand stand = new Stand(null);
                            RecordedPeer http = new RecordedPeer(transcript, "HTTP client", stand.http())) {
                        GearmanParty worker = party(transcript, "worker", stand).able("capture");
                        http.post("card-capture", "1", "", "pay");
                        worker.says("WORK_COMPLETE", worker.grabs(), "paid");
                        http.message();
                    }
                });
    }

    @Test
    void errors() throws Exception {
        Transcript.of("What is not served gets its error; what is no packet is cut off.", transcript -> {
            try (Stand stand = new Stand(null)) {
                GearmanParty client = party(transcript, "client", stand);
                client.says("SUBMIT_JOB_EPOCH", "check", "u", 1, "x").hears();
                client.says("SUBMIT_JOB", "nothing", "", "").hears();
                client.says("SUBMIT_JOB", "check", "", "x".repeat((1 << 20) + 1))
                        .hears();
                client.says("WORK_COMPLETE", "H:x:1", "").hears();
                client.says("OPTION_REQ", "exceptions").hears();
                client.says("OPTION_REQ", "colours").hears();
                client.says("JOB_CREATED", "H:x:1").hears();
                transcript.message("client", "scheduler", "(twelve bytes that are no head)");
                client.peer.write("\0XYZ12345678");
                client.hears();
                if (!client.peer.ended()) {
                    throw new AssertionError("it goes on");
                }
                transcript.note("scheduler ends the connection");
            }
        });
    }

    @Test
    void textCommands() throws Exception {
        Transcript.of("The protocol's text commands, known and not.", transcript -> {
            try (Stand stand = new Stand(null)) {
                party(transcript, "worker", stand).able("check");
                for (String command : new String[] {"status", "maxqueue check 9", "shutdown", "nonsense"}) {
                    try (RecordedPeer caller = new RecordedPeer(transcript, "caller", stand.gearman())) {
                        caller.write(command + "\n");
                        if (command.equals("status")) {
                            caller.readUntil(".\n");
                        } else {
                            caller.line();
                        }
                    }
                }
            }
        });
    }
}
