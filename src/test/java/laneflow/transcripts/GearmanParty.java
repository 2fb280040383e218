package laneflow.transcripts;

import laneflow.gearman.Gearman;
import laneflow.net.Stand.Peer;

/** One end of a Gearman connection, its packets written down by their names with their arguments. */
final class GearmanParty {
    final Peer peer;
    private final Transcript transcript;
    private final String name;

    GearmanParty(Transcript transcript, String name, Peer peer) {
        this.transcript = transcript;
        this.name = name;
        this.peer = peer;
    }

    GearmanParty says(String packet, Object... args) throws Exception {
        transcript.message(name, "scheduler", shown(packet, args));
        Gearman.send(peer, Gearman.type(packet), args);
        return this;
    }

    /** The next packet's arguments; whatever it is, it is written down. */
    String[] hears() throws Exception {
        Gearman.Received said = Gearman.next(peer);
        transcript.message("scheduler", name, shown(Gearman.name(said.type()), (Object[]) said.args()));
        return said.args();
    }

    /** Able to do these, asleep, and known to be so by the scheduler. */
    GearmanParty able(String... functions) throws Exception {
        for (String function : functions) {
            says("CAN_DO", function);
        }
        says("PRE_SLEEP");
        says("ECHO_REQ", "there");
        hears();
        return this;
    }

    /** Woken, and comes for its job, whose handle is returned. */
    String grabs() throws Exception {
        hears();
        says("GRAB_JOB");
        return hears()[0];
    }

    void resets() throws Exception {
        transcript.note(name + " resets the connection");
        peer.reset();
    }

    void leaves() throws Exception {
        transcript.note(name + " ends the connection");
        peer.close();
    }

    private static String shown(String packet, Object... args) {
        StringBuilder all = new StringBuilder(packet);
        for (Object arg : args) {
            String text = String.valueOf(arg);
            all.append(" [")
                    .append(text.length() > 80 ? text.length() + " bytes" : text)
                    .append(']');
        }
        return all.toString();
    }
}
