package laneflow.task.decision;

import java.util.Map;

/**
 * A process's renewal to the leader: its full state, not what has changed.
 *
 * @param heardTerm the term of the latest grant that it complies with: no action runs that it does not
 * allow; -1 before the first
 * @param heardSeq that grant's number
 * @param knownTerm the term in which it was told what it holds
 * @param knownVersion version of what it was told
 * @param candidacyDigest digest of its candidacy
 * @param candidacy its candidacy where the leader has asked for it, else null
 * @param draining it shuts down and takes no new task
 * @param givenUp tokens that it no longer acts under, by task
 */
public record TaskRenewal(
        int heardTerm,
        long heardSeq,
        int knownTerm,
        long knownVersion,
        String candidacyDigest,
        Candidacy candidacy,
        boolean draining,
        Map<String, Long> givenUp) {}
