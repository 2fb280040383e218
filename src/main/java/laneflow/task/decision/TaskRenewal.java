package laneflow.task.decision;

import java.util.Map;

/**
 * A process's word to the leader. It says what is, not what has changed.
 *
 * @param heardTerm the term of the latest word that it obeys, acts included: none runs that this word did not
 * allow; -1 before the first
 * @param heardSeq that word's number
 * @param knownTerm the term in which it was told what it holds
 * @param knownVersion of what it was told there
 * @param wants the digest of what it wants
 * @param all what it wants, where the leader has asked; else null
 * @param draining it ends, and takes nothing new
 * @param gives tokens that it acts by no more, by task
 */
public record TaskRenewal(
        int heardTerm,
        long heardSeq,
        int knownTerm,
        long knownVersion,
        String wants,
        Candidacy all,
        boolean draining,
        Map<String, Long> gives) {}
