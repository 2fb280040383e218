package laneflow.policy;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import laneflow.config.Table;
import laneflow.fleet.FleetConfig;

/** What the operators set for changes of policy over the whole fleet: the table {@code [policy]}. */
public final class PolicyConfig {
    static final int MAX_VOTERS = 7;

    /** Those that decide on changes from the beginning on, the same at all schedulers; others by order. */
    public final List<String> voters;
    /** The folder of this voter's log, or of one that may be taken in; null where it never votes. */
    public final Path dir;
    /** Microseconds for which a scheduler may decide behind a majority's word. */
    public final long leaseMicros;
    /** Microseconds that a scheduler which is heard may take to make a change ready. */
    public final long prepareMicros;
    /** True where one that is cut off serves on, by what it decided by last. */
    public final boolean servesWithoutLease;
    /** Answers to clients name the policy that their requests came under. */
    public final boolean tellsPolicy;
    /** Microseconds that service is watched behind a change; 0: it is not taken back. */
    public final long trialMicros;
    /** The growth of a share of requests that ends badly which takes a change back. */
    public final double maxWorsening;

    private PolicyConfig(Table from, FleetConfig fleet) {
        voters = from.texts("voters");
        if (voters.isEmpty() || voters.size() > MAX_VOTERS || voters.size() % 2 == 0) {
            from.wrong("voters", "names " + voters.size() + " schedulers: 1, 3, 5 or 7 decide together");
        }
        if (new HashSet<>(voters).size() < voters.size()) {
            from.wrong("voters", "names a scheduler twice");
        }
        if (fleet == null) {
            from.wrong("", "needs the table [fleet], which says how schedulers reach each other");
        } else {
            for (String voter : voters) {
                if (!voter.equals(fleet.name) && !fleet.peers.containsKey(voter)) {
                    from.wrong("voters", "'" + voter + "' is neither this scheduler nor one of [fleet.peers]");
                }
            }
        }
        String folder = from.text("dir", null);
        boolean votes = fleet != null && voters.contains(fleet.name);
        if (votes && folder == null) {
            from.wrong("dir", "is missing: this scheduler votes, and must remember how");
        }
        dir = folder != null ? Path.of(folder) : null;
        leaseMicros = from.whole("lease_ms", 1000, 100, 600_000) * 1000;
        prepareMicros = from.whole("prepare_ms", 2000, 10, 600_000) * 1000;
        servesWithoutLease = from.word("cut_off", "stop", "stop", "serve").equals("serve");
        tellsPolicy = from.flag("tell_policy", false);
        trialMicros = from.whole("probation_ms", 0, 0, 3_600_000) * 1000;
        maxWorsening = from.number("worse_by", 0.02, 0.001, 1);
        from.close();
    }

    /**
     * Reads the table; what is wrong becomes findings of the table's.
     *
     * @param fleet the link between schedulers, or null where there is none
     */
    public static PolicyConfig read(Table from, FleetConfig fleet) {
        return new PolicyConfig(from, fleet);
    }
}
