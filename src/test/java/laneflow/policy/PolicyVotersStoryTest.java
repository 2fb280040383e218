package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import laneflow.lab.rig.Rig;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Voters that come and go one at a time while changes are proposed and requests come. */
@Timeout(300)
class PolicyVotersStoryTest extends PolicyStories {
    /** Proposes one change after the other, and has a request answered behind each, until it is told to end. */
    private final class Load implements AutoCloseable {
        private final List<String> names = new ArrayList<>();
        private final Thread thread = new Thread(this::run, "load");
        private final Thread answering = new Thread(this::answer, "till");
        private volatile boolean over;
        private volatile Exception failed;

        private Load() {
            answering.setDaemon(true);
            answering.start();
            thread.start();
        }

        /** The till answers whatever comes; between two policies nothing does. */
        private void answer() {
            while (!over) {
                try (Peer call = till.accept()) {
                    String head = call.message();
                    String id = head.replaceAll("(?s).*Req-Id: ([^\r]*)\r.*", "$1");
                    PolicyStories.answer(call, id);
                } catch (IOException e) {
                    continue;
                }
            }
        }

        private void run() {
            try {
                for (int n = 0; !over; n++) {
                    String name = "load-" + n;
                    rig.proposeUntilTaken(4, name, bans("x" + name));
                    decided(4, name, "applied");
                    names.add(name);
                    try (Peer client = asking(4, name)) {
                        String answer = client.message();
                        // Between two policies nobody decides for a moment, and says so at once.
                        assertTrue(answer.contains(" 200 ") || answer.contains(" 503 "), answer);
                    }
                }
            } catch (Exception e) {
                failed = e;
            }
        }

        @Override
        public void close() throws Exception {
            over = true;
            thread.join();
            if (failed != null) {
                throw failed;
            }
        }
    }

    private int order(String what, int voter) throws IOException, InterruptedException {
        return rig.ask(4, "/policy/voters", "{\"" + what + "\":\"" + Rig.name(voter) + "\"}")
                .statusCode();
    }

    private JsonObject voter(int i) throws IOException, InterruptedException {
        return rig.policy(i).getAsJsonObject("voter");
    }

    private boolean is(int i, String what) throws IOException, InterruptedException {
        return voter(i).get(what).getAsBoolean();
    }

    @Test
    void votersComeAndGoOneAtATimeUnderLoad() throws Exception {
        rig = new Rig(folder, 5, 4, 11, file(CLASSES + POST));
        rig.votersNamed(3);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        assertTrue(is(3, "candidate"));
        List<String> names;
        try (Load load = new Load()) {
            // A fourth comes, and votes; asked again that is said.
            rig.await("it is taken in", () -> order("add", 3) == 200);
            rig.await(
                    "it votes",
                    () -> is(3, "votes") && voter(3).getAsJsonArray("voters").size() == 4);
            assertEquals(409, order("add", 3));
            assertEquals(409, order("remove", 4));
            // The one that leads goes: it hands over first.
            int first = rig.leader();
            rig.await("it is taken out", () -> order("remove", first) == 200);
            rig.await("it hears of it", () -> is(first, "removed"));
            assertFalse(is(first, "votes"));
            // Three vote now, and one that is new among them: another can be lost.
            int second = rig.leader();
            int third = other(first, second);
            rig.kill(third);
            String then = "three-vote";
            rig.proposeUntilTaken(4, then, bans("t"));
            decided(4, then, "applied");
            rig.start(third);
            rig.await("it votes again", () -> is(third, "votes"));
            names = load.names;
        }
        assertTrue(names.size() > 3, names + " were decided meanwhile");
        // Started anew with its old store the one that was taken out unseats nobody.
        int gone = removed();
        rig.await("somebody leads", () -> rig.leader() >= 0);
        int term = rig.policy(rig.leader()).getAsJsonObject("voter").get("term").getAsInt();
        rig.kill(gone);
        rig.start(gone);
        rig.await("it is told again", () -> is(gone, "removed"));
        rig.proposeUntilTaken(4, "still", bans("s"));
        decided(4, "still", "applied");
        assertEquals(
                term,
                rig.policy(rig.leader()).getAsJsonObject("voter").get("term").getAsInt());
        // Its old store can't be taken in again; a new one can.
        assertEquals(409, order("add", gone));
        rig.kill(gone);
        rig.wipe(gone);
        rig.start(gone);
        rig.await("it is up", () -> rig.policy(gone).has("voter"));
        rig.await("it is taken in", () -> order("add", gone) == 200);
        rig.await("it votes", () -> is(gone, "votes"));
        long last = rig.policy(rig.leader()).get("policy").getAsLong();
        rig.awaitDeciding(last, rig.all());
        check();
    }

    private int removed() throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            if (is(i, "removed")) {
                return i;
            }
        }
        throw new IOException("nobody was taken out");
    }

    /** A voter that is neither. */
    private static int other(int one, int two) {
        for (int i = 0; i < 4; i++) {
            if (i != one && i != two) {
                return i;
            }
        }
        throw new IllegalStateException();
    }
}
