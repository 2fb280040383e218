package laneflow.core;

/**
 * The content of a client's request, independent of the protocol. Fronts and connectors read it, the core does
 * not.
 *
 * @param verb the method to apply to the target
 * @param target the requested resource with its parameters
 * @param requestId the client's id for the request
 * @param repeatKey the idempotency key by which endpoints recognise repeats of a job, or null
 * @param body the job's content
 */
public record Payload(String verb, String target, String requestId, String repeatKey, byte[] body) {}
