package laneflow.transcripts;

import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Transcripts of jobs on the Gearman front: every outcome and retry. */
@Timeout(120)
class GearmanTranscriptsTest {
    private static RecordedGearmanPeer connect(Transcript transcript, String name, SchedulerHarness harness)
            throws Exception {
        return new RecordedGearmanPeer(transcript, name, harness.gearman());
    }

    private static RecordedGearmanPeer submit(
            Transcript transcript, String name, SchedulerHarness harness, String function, String unique)
            throws Exception {
        RecordedGearmanPeer client = connect(transcript, name, harness).send("SUBMIT_JOB", function, unique, "pay");
        client.receive();
        return client;
    }

    @Test
    void served() throws Exception {
        Transcript.of(
                "A job is served; its client gets its progress; another client joins it by its unique id.",
                transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer worker =
                                connect(transcript, "worker", harness).announce("capture");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "u1");
                        String handle = worker.grabJob();
                        worker.send("WORK_STATUS", handle, 1, 4);
                        client.receive();
                        client.send("GET_STATUS", handle).receive();
                        RecordedGearmanPeer other = submit(transcript, "another client", harness, "capture", "u1");
                        worker.send("WORK_COMPLETE", handle, "paid");
                        client.receive();
                        other.receive();
                        client.send("GET_STATUS", handle).receive();
                        transcript.note("calls sent: " + harness.counter("call.sent"));
                    }
                });
    }

    @Test
    void failed() throws Exception {
        Transcript.of(
                "The worker fails its job: the job ran, so a job that must not run twice is failed.", transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer worker =
                                connect(transcript, "worker", harness).announce("capture");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "");
                        worker.send("WORK_FAIL", worker.grabJob());
                        client.receive();
                        transcript.note("failed: " + harness.counter("gearman.failed"));
                    }
                });
    }

    @Test
    void refused() throws Exception {
        Transcript.of("No worker has the function: refused at once; the protocol has no retry-after.", transcript -> {
            try (SchedulerHarness harness = new SchedulerHarness(null)) {
                RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "");
                client.receive();
                transcript.note("refused: " + harness.counter("gearman.refused"));
            }
        });
    }

    @Test
    void workerVanishesAtWork() throws Exception {
        Transcript.of(
                "A worker disconnects at work: a job that must not run twice is failed, another is retried.",
                transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer first =
                                connect(transcript, "worker", harness).announce("capture", "check");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "");
                        first.grabJob();
                        first.reset();
                        client.receive();
                        RecordedGearmanPeer second =
                                connect(transcript, "second worker", harness).announce("check");
                        client.send("SUBMIT_JOB", "check", "", "two").receive();
                        second.grabJob();
                        RecordedGearmanPeer third =
                                connect(transcript, "third worker", harness).announce("check");
                        second.reset();
                        third.send("WORK_COMPLETE", third.grabJob(), "priced");
                        client.receive();
                    }
                });
    }

    @Test
    void workerVanishesBeforeItsJob() throws Exception {
        Transcript.of(
                "A worker disconnects before it grabs its job: the job never ran, and goes to another.", transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer first =
                                connect(transcript, "worker", harness).announce("capture");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "");
                        first.receive();
                        RecordedGearmanPeer second =
                                connect(transcript, "second worker", harness).announce("capture");
                        first.reset();
                        second.send("WORK_COMPLETE", second.grabJob(), "paid");
                        client.receive();
                    }
                });
    }

    @Test
    void late() throws Exception {
        Transcript.of(
                "No worker grabs a job by its deadline: it never ran, and a later grab finds no job.", transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer worker =
                                connect(transcript, "worker", harness).announce("hasty");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "hasty", "");
                        worker.receive();
                        client.receive();
                        worker.send("GRAB_JOB").receive();
                        transcript.note("refused: " + harness.counter("gearman.refused") + ", failed: "
                                + harness.counter("gearman.failed"));
                    }
                });
    }

    @Test
    void clientGone() throws Exception {
        Transcript.of(
                "A client disconnects before its job is grabbed: the job is withdrawn and never assigned.",
                transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer worker =
                                connect(transcript, "worker", harness).announce("capture");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "");
                        worker.receive();
                        client.close();
                        harness.awaitCounter("gearman.withdrawn", 1);
                        worker.send("GRAB_JOB").receive();
                    }
                });
    }

    @Test
    void drained() throws Exception {
        Transcript.of(
                "A worker withdraws its abilities: queued jobs are returned after the grace period.", transcript -> {
                    try (SchedulerHarness harness = new SchedulerHarness(null)) {
                        RecordedGearmanPeer worker =
                                connect(transcript, "worker", harness).announce("capture");
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "");
                        worker.receive();
                        worker.send("RESET_ABILITIES");
                        client.receive();
                        worker.send("GRAB_JOB").receive();
                    }
                });
    }

    @Test
    void acrossTheWires() throws Exception {
        Transcript.of(
                "A Gearman client's job at an HTTP endpoint, and an HTTP client's at a Gearman worker.", transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
                        RecordedGearmanPeer client = submit(transcript, "client", harness, "capture", "till-7");
                        RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                        String sent = call.message();
                        String id = sent.substring(sent.indexOf("Req-Id: ") + 8, sent.indexOf("\r\nReq-Deadline"));
                        call.reply("{'id':'" + id + "','state':'done','result':'paid'}");
                        client.receive();
                    }
                    try (SchedulerHarness harness = new SchedulerHarness(null);
                            RecordedPeer http = new RecordedPeer(transcript, "HTTP client", harness.http())) {
                        RecordedGearmanPeer worker =
                                connect(transcript, "worker", harness).announce("capture");
                        http.post("card-capture", "1", "", "pay");
                        worker.send("WORK_COMPLETE", worker.grabJob(), "paid");
                        http.message();
                    }
                });
    }

    @Test
    void errors() throws Exception {
        Transcript.of("Unsupported requests get an error; a malformed packet ends the connection.", transcript -> {
            try (SchedulerHarness harness = new SchedulerHarness(null)) {
                RecordedGearmanPeer client = connect(transcript, "client", harness);
                client.send("SUBMIT_JOB_EPOCH", "check", "u", 1, "x").receive();
                client.send("SUBMIT_JOB", "nothing", "", "").receive();
                client.send("SUBMIT_JOB", "check", "", "x".repeat((1 << 20) + 1))
                        .receive();
                client.send("WORK_COMPLETE", "H:x:1", "").receive();
                client.send("OPTION_REQ", "exceptions").receive();
                client.send("OPTION_REQ", "colours").receive();
                client.send("JOB_CREATED", "H:x:1").receive();
                transcript.message("client", "scheduler", "(twelve bytes that are not a packet header)");
                client.peer.write("\0XYZ12345678");
                client.receive();
                if (!client.peer.isClosedByPeer()) {
                    throw new AssertionError("the connection is still open");
                }
                transcript.note("scheduler ends the connection");
            }
        });
    }

    @Test
    void textCommands() throws Exception {
        Transcript.of("Text protocol commands, known and unknown.", transcript -> {
            try (SchedulerHarness harness = new SchedulerHarness(null)) {
                connect(transcript, "worker", harness).announce("check");
                for (String command : new String[] {"status", "maxqueue check 9", "shutdown", "nonsense"}) {
                    try (RecordedPeer caller = new RecordedPeer(transcript, "caller", harness.gearman())) {
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
