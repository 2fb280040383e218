package laneflow.transcripts;

import laneflow.gearman.Gearman;
import laneflow.net.SchedulerHarness.Peer;

/** A Gearman client or worker whose packets are recorded in the transcript by name, with their arguments. */
final class RecordedGearmanPeer {
    final Peer peer;
    private final Transcript transcript;
    private final String name;

    RecordedGearmanPeer(Transcript transcript, String name, Peer peer) {
        this.transcript = transcript;
        this.name = name;
        this.peer = peer;
    }

    RecordedGearmanPeer send(String packet, Object... args) throws Exception {
        transcript.message(name, "scheduler", format(packet, args));
        Gearman.send(peer, Gearman.type(packet), args);
        return this;
    }

    /** Reads the next packet of any type, records it and returns its arguments. */
    String[] receive() throws Exception {
        Gearman.Received packet = Gearman.next(peer);
        transcript.message("scheduler", name, format(Gearman.name(packet.type()), (Object[]) packet.args()));
        return packet.args();
    }

    /** Announces these functions and sleeps; returns once the scheduler has processed that. */
    RecordedGearmanPeer announce(String... functions) throws Exception {
        for (String function : functions) {
            send("CAN_DO", function);
        }
        send("PRE_SLEEP");
        send("ECHO_REQ", "there");
        receive();
        return this;
    }

    /** Waits to be woken and grabs the job, whose handle is returned. */
    String grabJob() throws Exception {
        receive();
        send("GRAB_JOB");
        return receive()[0];
    }

    void reset() throws Exception {
        transcript.note(name + " resets the connection");
        peer.reset();
    }

    void close() throws Exception {
        transcript.note(name + " ends the connection");
        peer.close();
    }

    private static String format(String packet, Object... args) {
        StringBuilder line = new StringBuilder(packet);
        for (Object arg : args) {
            String text = String.valueOf(arg);
            line.append(" [")
                    .append(text.length() > 80 ? text.length() + " bytes" : text)
                    .append(']');
        }
        return line.toString();
    }
}
