/**
 * A client leaves while its card capture runs, and hands the same job in again as a background job: same function, same
 * unique, same data.
 */
final class LeftJobHandedInAgain {
    private LeftJobHandedInAgain() {}

    public static void main(String[] args) {
        Host.main(args, (host, trouble) -> {
            int http = Host.freePort();
            int gearman = Host.freePort();
            try (Till till = new Till(host, "till-1", 200, true)) {
                host.startScheduler(
                        "s1",
                        Host.settings(http) + Host.endpoints(till.port()) + Host.gearman(gearman)
                                + Host.durable(host.dir.resolve("store")),
                        http);
                till.runMs = 3000;
                Gearman client = new Gearman(gearman);
                client.send(Gearman.SUBMIT_JOB, "card_capture", "capture-17", "17.00 EUR");
                host.say("client: SUBMIT_JOB card_capture unique=capture-17, heard "
                        + client.await(2000, Gearman.JOB_CREATED, Gearman.ERROR));
                if (trouble) {
                    Thread.sleep(1000);
                    client.close();
                    host.say("client: leaves (its connection is closed)");
                    Thread.sleep(500);
                    try (Gearman again = new Gearman(gearman)) {
                        again.send(Gearman.SUBMIT_JOB_BG, "card_capture", "capture-17", "17.00 EUR");
                        host.say("client: SUBMIT_JOB_BG card_capture unique=capture-17, heard "
                                + again.await(5000, Gearman.JOB_CREATED, Gearman.ERROR));
                        Thread.sleep(6000);
                        again.send(Gearman.SUBMIT_JOB, "card_capture", "capture-17", "17.00 EUR");
                        host.say("client: SUBMIT_JOB (foreground) of the same, heard "
                                + again.await(5000, Gearman.JOB_CREATED, Gearman.ERROR));
                    }
                } else {
                    host.say("client: heard " + client.await(7000, Gearman.WORK_COMPLETE, Gearman.WORK_FAIL));
                    client.close();
                }
                int total = till.runs().size();
                host.say("runs of capture-17: " + till.runs());
                if (total == 0) {
                    throw new Host.NotRun("the job never ran");
                }
                return total == 1;
            }
        });
    }
}
