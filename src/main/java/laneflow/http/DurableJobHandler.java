package laneflow.http;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import java.util.function.Consumer;
import laneflow.core.DurableJobService;
import laneflow.core.DurableJobService.AttemptView;
import laneflow.core.DurableJobService.JobView;
import laneflow.core.DurableJobService.Submission;
import laneflow.core.Request;

/**
 * Durable jobs on the HTTP front. {@code POST /CLASS} with {@code Prefer: respond-async} (RFC 7240, 4.1) is
 * answered 202 with the job's location once the job is on disk. {@code GET /jobs/ID} returns its state,
 * {@code GET /jobs/ID/result} its result unchanged; {@code DELETE /jobs/ID} cancels a job that has not
 * started.
 */
final class DurableJobHandler {
    private static final String PATH = "/jobs/";
    private static final String JSON = "Content-Type: application/json\r\n";

    private final DurableJobService service;

    DurableJobHandler(DurableJobService service) {
        this.service = service;
    }

    /** True if the message asks for a durable job and its class allows them. */
    boolean wantsDurable(HttpHead head, Request request) {
        String prefer = head.header("prefer");
        if (prefer == null || !service.accepts(request.jobClass)) {
            return false;
        }
        for (String preference : prefer.split(",")) {
            if (preference.strip().equalsIgnoreCase("respond-async")) {
                return true;
            }
        }
        return false;
    }

    /** @param onOutcome receives whether the job is stored, before the client is answered */
    void submit(ClientConnection client, Request request, String jobClass, Consumer<Boolean> onOutcome) {
        String key = request.payload.repeatKey();
        Submission submission = new Submission(
                request.jobClass,
                "",
                key == null ? "" : "http/" + jobClass + "/" + key,
                true,
                request.payload,
                request.hint,
                request.slots,
                request.memory,
                request.subject,
                0);
        service.submit(submission, result -> {
            onOutcome.accept(result.outcome() == DurableJobService.SubmissionOutcome.ACCEPTED);
            switch (result.outcome()) {
                case ACCEPTED:
                    String id = hex(result.id());
                    client.respond(
                            202,
                            "Accepted",
                            "Location: " + PATH + id + "\r\nPreference-Applied: respond-async\r\n" + JSON,
                            ClientConnection.ascii("{\"id\":\"" + id + "\"}\n"));
                    break;
                case FULL:
                    client.respond(
                            503,
                            "Service Unavailable",
                            String.format(Locale.ROOT, "Retry-After: %.3f\r\n", result.retryAfter()),
                            ClientConnection.ascii("fail-fast\n"));
                    break;
                case KEY_CONFLICT:
                    // As in the IETF draft on the Idempotency-Key header.
                    client.respond(
                            422,
                            "Unprocessable Content",
                            "",
                            ClientConnection.ascii("this Idempotency-Key belongs to a job with another body\n"));
                    break;
                default:
                    client.respond(
                            500,
                            "Internal Server Error",
                            "",
                            ClientConnection.ascii("the store failed: no job is taken on until a restart\n"));
                    break;
            }
        });
    }

    /** True if the path is under {@code /jobs/}. */
    static boolean isJobPath(String path) {
        return path.startsWith(PATH);
    }

    private static long parseId(String path) {
        String text = path.substring(PATH.length());
        text = text.endsWith("/result") ? text.substring(0, text.length() - 7) : text;
        try {
            return text.length() == 16 ? Long.parseUnsignedLong(text, 16) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    void handleGet(ClientConnection client, String path) {
        boolean describesJob = !path.endsWith("/result");
        service.view(parseId(path), view -> {
            if (view == null) {
                client.respond(404, "Not Found", "", ClientConnection.ascii("no such job, or its retention is over\n"));
            } else if (describesJob) {
                client.respond(200, "OK", JSON, toJson(view).toString().getBytes(StandardCharsets.UTF_8));
            } else if (view.result() == null) {
                client.respond(404, "Not Found", "", ClientConnection.ascii("no result: " + view.state() + "\n"));
            } else {
                client.respond(200, "OK", "", view.result());
            }
        });
    }

    void handleDelete(ClientConnection client, String path) {
        service.cancel(parseId(path), outcome -> {
            switch (outcome) {
                case CANCELLED:
                    client.respond(204, "No Content", "", new byte[0]);
                    break;
                case NOT_FOUND:
                    client.respond(
                            404, "Not Found", "", ClientConnection.ascii("no such job, or its retention is over\n"));
                    break;
                case ALREADY_STARTED:
                    client.respond(409, "Conflict", "", ClientConnection.ascii("it has begun, or is at its end\n"));
                    break;
                default:
                    client.respond(
                            503, "Service Unavailable", "Retry-After: 1\r\n", ClientConnection.ascii("fail-fast\n"));
                    break;
            }
        });
    }

    private static JsonObject toJson(JobView view) {
        JsonObject job = new JsonObject();
        job.addProperty("id", hex(view.id()));
        job.addProperty("class", view.jobClass());
        job.addProperty("state", view.state());
        if (!view.reason().isEmpty()) {
            job.addProperty("reason", view.reason());
        }
        job.addProperty("accepted_ms", view.acceptedMs());
        job.addProperty("changed_ms", view.changedMs());
        JsonArray attempts = new JsonArray();
        for (AttemptView attemptView : view.attempts()) {
            JsonObject attempt = new JsonObject();
            attempt.addProperty("lease", attemptView.number());
            attempt.addProperty("endpoint", attemptView.endpoint());
            attempt.addProperty("leased_ms", attemptView.leasedMs());
            attempt.addProperty("end_ms", attemptView.endMs());
            attempt.addProperty("known", attemptView.known());
            attempts.add(attempt);
        }
        job.add("attempts", attempts);
        if (view.result() != null) {
            try {
                job.addProperty(
                        "result",
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .decode(ByteBuffer.wrap(view.result()))
                                .toString());
            } catch (CharacterCodingException e) {
                job.addProperty("result_base64", Base64.getEncoder().encodeToString(view.result()));
            }
        }
        return job;
    }

    private static String hex(long id) {
        return String.format("%016x", id);
    }
}
