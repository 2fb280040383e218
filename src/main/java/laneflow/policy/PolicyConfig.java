package laneflow.policy;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import laneflow.config.Table;
import laneflow.fleet.FleetConfig;

/** The configuration of fleet-wide policy changes: the table {@code [policy]}. */
public final class PolicyConfig {
    static final int MAX_VOTERS = 7;

    /** The initial voters, the same at all schedulers; operators can add and remove voters later. */
    public final List<String> voters;
    /**
     * The folder of this voter's log, also at a scheduler that may become a voter; null if it never votes.
     */
    public final Path dir;
    /** Microseconds for which a scheduler may decide after a majority's confirmation. */
    public final long leaseMicros;
    /** Microseconds that a reachable scheduler may take to make a change ready. */
    public final long prepareMicros;
    /** True if a scheduler without a lease continues to serve by the policy that it used last. */
    public final boolean servesWithoutLease;
    /** True if answers to clients name the policy under which their requests were decided. */
    public final boolean tellsPolicy;
    /** Microseconds for which service is watched after a change; 0 disables rollbacks. */
    public final long trialMicros;
    /** Increase of the share of failed requests that has a change rolled back. */
    public final double maxWorsening;

    private PolicyConfig(Table from, FleetConfig fleet) {
        voters = from.texts("voters");
        if (voters.isEmpty() || voters.size() > MAX_VOTERS || voters.size() % 2 == 0) {
            from.addFinding("voters", "names " + voters.size() + " schedulers: must be 1, 3, 5 or 7");
        }
        if (new HashSet<>(voters).size() < voters.size()) {
            from.addFinding("voters", "names a scheduler twice");
        }
        if (fleet == null) {
            from.addFinding("", "needs the table [fleet], which says how schedulers reach each other");
        } else {
            for (String voter : voters) {
                if (!voter.equals(fleet.name) && !fleet.peers.containsKey(voter)) {
                    from.addFinding("voters", "'" + voter + "' is neither this scheduler nor one of [fleet.peers]");
                }
            }
        }
        String folder = from.text("dir", null);
        boolean votes = fleet != null && voters.contains(fleet.name);
        if (votes && folder == null) {
            from.addFinding("dir", "is missing: this scheduler votes and must store its votes");
        }
        dir = folder != null ? Path.of(folder) : null;
        leaseMicros = from.integer("lease_ms", 1000, 100, 600_000) * 1000;
        prepareMicros = from.integer("prepare_ms", 2000, 10, 600_000) * 1000;
        servesWithoutLease = from.choice("cut_off", "stop", "stop", "serve").equals("serve");
        tellsPolicy = from.flag("tell_policy", false);
        trialMicros = from.integer("probation_ms", 0, 0, 3_600_000) * 1000;
        maxWorsening = from.number("worse_by", 0.02, 0.001, 1);
        from.close();
    }

    /**
     * Reads the table; errors become findings of the table.
     *
     * @param fleet the link between schedulers, or null if there is none
     */
    public static PolicyConfig read(Table from, FleetConfig fleet) {
        return new PolicyConfig(from, fleet);
    }
}
