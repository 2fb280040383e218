package laneflow.core;

/**
 * What a client hands in, in words that no wire owns; fronts and connectors read it, the core does not.
 *
 * @param verb what is to be done with the target
 * @param target what is asked for, its parameters included
 * @param requestId the client's name for the request
 * @param repeatKey what marks repeats of one and the same job, or null
 * @param body the job itself
 */
public record Payload(String verb, String target, String requestId, String repeatKey, byte[] body) {}
