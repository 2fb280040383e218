package laneflow.lab.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.SplittableRandom;

/**
 * A stand-in Gearman worker in a process of its own. A job's name is its body up to the first blank; each
 * run is written to the run log when it starts and when it is done. Some runs stall for longer than any lease.
 * A worker that loses the connection during a job finishes the job, reconnects and sends the completion
 * then, as stock workers may do.
 */
public final class StandInWorker {
    private static final int TIMEOUT_MS = 60_000;
    private static final long RETRY_MS = 50;

    private final int port;
    private final RunLog runLog;
    private final SplittableRandom random;
    private final int runMs;
    private final double stallShare;
    private final int stallMs;
    private final String[] functions;
    /** The completion of a job that could not be sent because the connection was lost; null if none. */
    private String[] unsentCompletion;

    private StandInWorker(String[] args) throws IOException {
        port = Integer.parseInt(args[0]);
        runLog = new RunLog(Path.of(args[1]));
        random = new SplittableRandom(Long.parseLong(args[2]));
        runMs = Integer.parseInt(args[3]);
        stallShare = Double.parseDouble(args[4]);
        stallMs = Integer.parseInt(args[5]);
        functions = args[6].split(",");
    }

    /** Arguments: PORT RUN_LOG SEED RUN_MS STALL_SHARE STALL_MS FUNCTION,... SECONDS. */
    public static void main(String[] args) throws IOException, InterruptedException {
        StandInWorker worker = new StandInWorker(args);
        long endNanos = System.nanoTime() + Long.parseLong(args[7]) * 1_000_000_000L;
        while (System.nanoTime() < endNanos) {
            try (GearmanConnection connection = new GearmanConnection(worker.port, TIMEOUT_MS)) {
                worker.serve(connection, endNanos);
            } catch (IOException e) {
                Thread.sleep(RETRY_MS);
            }
        }
    }

    private void serve(GearmanConnection connection, long endNanos) throws IOException, InterruptedException {
        for (String function : functions) {
            connection.writePacket(GearmanConnection.CAN_DO, function);
        }
        if (unsentCompletion != null) {
            connection.writePacket(GearmanConnection.WORK_COMPLETE, unsentCompletion);
            unsentCompletion = null;
        }
        connection.send(GearmanConnection.GRAB_JOB_ALL);
        while (System.nanoTime() < endNanos) {
            GearmanConnection.Packet packet = connection.readPacket();
            if (packet.type() == GearmanConnection.NO_JOB) {
                connection.send(GearmanConnection.PRE_SLEEP);
            } else if (packet.type() == GearmanConnection.NOOP) {
                connection.send(GearmanConnection.GRAB_JOB_ALL);
            } else if (packet.type() == GearmanConnection.JOB_ASSIGN_ALL) {
                run(packet.args(), connection);
            }
        }
    }

    private void run(String[] job, GearmanConnection connection) throws IOException, InterruptedException {
        String name = job[4].split(" ", 2)[0];
        runLog.write("start", name);
        boolean stalled = random.nextDouble() < stallShare;
        Thread.sleep(stalled ? stallMs : 1 + random.nextInt(2 * runMs));
        runLog.write("done", name);
        String[] completion = {job[0], "ran " + name};
        try {
            connection.writePacket(GearmanConnection.WORK_COMPLETE, completion);
            connection.send(GearmanConnection.GRAB_JOB_ALL);
        } catch (IOException e) {
            unsentCompletion = completion;
            throw e;
        }
    }
}
