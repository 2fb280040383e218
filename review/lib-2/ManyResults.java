import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One durable job with a large result, which many clients ask for at once; usual clients wait for their answers beside. */
final class ManyResults {
    private static final int RESULT_BYTES = 500_000;
    private static final int USUAL_CLIENTS = 10;
    private static final long USUAL_RUN_MS = 3000;
    private static final int ROUNDS = 5;
    private static final int CLIENTS = 300;
    private static final int FEW_CLIENTS = 10;

    private ManyResults() {}

    public static void main(String[] args) {
        Host.main(args, (host, trouble) -> {
            int http = Host.freePort();
            Till till = new Till(host, "till-1", 50, true);
            till.padding = "x".repeat(RESULT_BYTES);
            Process scheduler = host.startScheduler(
                    "s1", Host.settings(http) + Host.endpoints(till.port()) + Host.durable(host.dir.resolve("store")), http);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Req-Id", "9b1f03aa5c7e2d41");
            headers.put("Prefer", "respond-async");
            headers.put("Idempotency-Key", "receipt-17");
            Http taken = Http.call(http, "POST", "/points-post", headers, Host.bytes("receipt-17"), 5000);
            String place = taken.headers.get("location");
            host.say("client: heard " + taken.first + " " + place);
            int status = 0;
            for (int poll = 0; poll < 100 && status != 200; poll++) {
                Thread.sleep(100);
                status = Http.call(http, "GET", place + "/result", Map.of(), new byte[0], 5000).status;
            }
            host.say("the result is there: " + status);
            // Usual clients, whose requests are at work meanwhile.
            till.padding = "";
            till.runMs = USUAL_RUN_MS;
            AtomicInteger usualAnswered = new AtomicInteger();
            CountDownLatch usualDone = new CountDownLatch(USUAL_CLIENTS);
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> {
                    try {
                        Map<String, String> usual = new LinkedHashMap<>();
                        usual.put("Req-Id", "usual-" + number);
                        usual.put("Req-Kind", "card-capture");
                        usual.put("Req-Deadline-Ms", "6000");
                        Http.call(http, "POST", "/card-capture", usual, Host.bytes("17.00 EUR"), 8000);
                        usualAnswered.incrementAndGet();
                    } catch (IOException e) {
                        host.say("usual client " + number + ": no answer, " + e);
                    }
                    usualDone.countDown();
                });
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(500);
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger none = new AtomicInteger();
            List<Socket> sockets = new ArrayList<>();
            int count = trouble ? CLIENTS : FEW_CLIENTS;
            for (int i = 0; i < count; i++) {
                sockets.add(Host.connect(http));
            }
            CountDownLatch done = new CountDownLatch(count);
            for (Socket socket : sockets) {
                Thread thread = new Thread(() -> {
                    try {
                        socket.setSoTimeout(20_000);
                        for (int round = 0; round < ROUNDS; round++) {
                            Http.send(socket, "GET", place, Map.of(), new byte[0]);
                            Http answer = Http.read(socket.getInputStream());
                            (answer != null && answer.status == 200 ? whole : none).incrementAndGet();
                        }
                    } catch (IOException e) {
                        none.incrementAndGet();
                    }
                    done.countDown();
                });
                thread.setDaemon(true);
                thread.start();
            }
            done.await(30, TimeUnit.SECONDS);
            host.say(count + " clients asked at once: " + whole + " had the result, " + none + " did not");
            usualDone.await(10, TimeUnit.SECONDS);
            host.say("usual clients with an answer: " + usualAnswered + " of " + USUAL_CLIENTS);
            host.say("the scheduler " + (scheduler.isAlive() ? "runs" : "HAS CRASHED, exit code " + scheduler.exitValue()));
            host.say("its log ends: " + host.log("s1").replaceAll("(?s).*?([^\n]+)\n*$", "$1"));
            return scheduler.isAlive() && usualAnswered.get() == USUAL_CLIENTS;
        });
    }
}
