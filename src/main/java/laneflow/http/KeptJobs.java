package laneflow.http;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import laneflow.core.DurableJobService;
import laneflow.core.DurableJobService.AttemptView;
import laneflow.core.DurableJobService.JobView;
import laneflow.core.DurableJobService.Submission;
import laneflow.core.Request;

/**
 * Kept jobs on the HTTP front: {@code POST /CLASS} with {@code Prefer: respond-async} (RFC 7240, 4.1) is
 * answered 202 with the job's place, once the job is on disk; {@code GET /jobs/ID} tells where it stands,
 * {@code GET /jobs/ID/result} its result as it came, {@code DELETE /jobs/ID} cancels it where it has not
 * begun.
 */
final class KeptJobs {
    private static final String PATH = "/jobs/";
    private static final String JSON = "Content-Type: application/json\r\n";

    private final DurableJobService keeper;

    KeptJobs(DurableJobService keeper) {
        this.keeper = keeper;
    }

    /** Whether this message asks for a job to be kept. */
    boolean wants(HttpHead head, Request request) {
        String prefer = head.header("prefer");
        if (prefer == null || !keeper.accepts(request.jobClass)) {
            return false;
        }
        for (String one : prefer.split(",")) {
            if (one.strip().equalsIgnoreCase("respond-async")) {
                return true;
            }
        }
        return false;
    }

    void submit(Client client, Request asked, String jobClass) {
        String key = asked.payload.repeatKey();
        Submission submission = new Submission(
                asked.jobClass,
                "",
                key == null ? "" : "http/" + jobClass + "/" + key,
                true,
                asked.payload,
                asked.hint,
                asked.slots,
                asked.memory,
                asked.subject,
                0);
        keeper.submit(submission, word -> {
            switch (word.outcome()) {
                case ACCEPTED:
                    String id = hex(word.id());
                    client.answer(
                            202,
                            "Accepted",
                            "Location: " + PATH + id + "\r\nPreference-Applied: respond-async\r\n" + JSON,
                            Client.ascii("{\"id\":\"" + id + "\"}\n"));
                    break;
                case FULL:
                    client.answer(
                            503,
                            "Service Unavailable",
                            String.format(Locale.ROOT, "Retry-After: %.3f\r\n", word.retryAfter()),
                            Client.ascii("fail-fast\n"));
                    break;
                case KEY_CONFLICT:
                    // As the IETF's draft on Idempotency-Key has it.
                    client.answer(
                            422,
                            "Unprocessable Content",
                            "",
                            Client.ascii("this Idempotency-Key belongs to a job with another body\n"));
                    break;
                default:
                    client.answer(
                            500,
                            "Internal Server Error",
                            "",
                            Client.ascii("the store failed: no job is taken on until a restart\n"));
                    break;
            }
        });
    }

    /** True if the path is one of these. */
    static boolean isPath(String path) {
        return path.startsWith(PATH);
    }

    private static long id(String path) {
        String text = path.substring(PATH.length());
        text = text.endsWith("/result") ? text.substring(0, text.length() - 7) : text;
        try {
            return text.length() == 16 ? Long.parseUnsignedLong(text, 16) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    void get(Client client, String path) {
        boolean whole = !path.endsWith("/result");
        keeper.view(id(path), view -> {
            if (view == null) {
                client.answer(404, "Not Found", "", Client.ascii("no such job, or its retention is over\n"));
            } else if (whole) {
                client.answer(200, "OK", JSON, json(view).toString().getBytes(StandardCharsets.UTF_8));
            } else if (view.result() == null) {
                client.answer(404, "Not Found", "", Client.ascii("no result: " + view.state() + "\n"));
            } else {
                client.answer(200, "OK", "", view.result());
            }
        });
    }

    void delete(Client client, String path) {
        keeper.cancel(id(path), how -> {
            switch (how) {
                case CANCELLED:
                    client.answer(204, "No Content", "", new byte[0]);
                    break;
                case NOT_FOUND:
                    client.answer(404, "Not Found", "", Client.ascii("no such job, or its retention is over\n"));
                    break;
                case ALREADY_STARTED:
                    client.answer(409, "Conflict", "", Client.ascii("it has begun, or is at its end\n"));
                    break;
                default:
                    client.answer(503, "Service Unavailable", "Retry-After: 1\r\n", Client.ascii("fail-fast\n"));
                    break;
            }
        });
    }

    private static JsonObject json(JobView view) {
        JsonObject all = new JsonObject();
        all.addProperty("id", hex(view.id()));
        all.addProperty("class", view.jobClass());
        all.addProperty("state", view.state());
        if (!view.reason().isEmpty()) {
            all.addProperty("reason", view.reason());
        }
        all.addProperty("accepted_ms", view.acceptedMs());
        all.addProperty("changed_ms", view.changedMs());
        JsonArray tries = new JsonArray();
        for (AttemptView one : view.attempts()) {
            JsonObject attempt = new JsonObject();
            attempt.addProperty("lease", one.number());
            attempt.addProperty("endpoint", one.endpoint());
            attempt.addProperty("leased_ms", one.leasedMs());
            attempt.addProperty("end_ms", one.endMs());
            attempt.addProperty("known", one.known());
            tries.add(attempt);
        }
        all.add("attempts", tries);
        if (view.result() != null) {
            try {
                all.addProperty(
                        "result",
                        StandardCharsets.UTF_8
                                .newDecoder()
                                .decode(ByteBuffer.wrap(view.result()))
                                .toString());
            } catch (CharacterCodingException e) {
                all.addProperty("result_base64", Base64.getEncoder().encodeToString(view.result()));
            }
        }
        return all;
    }

    private static String hex(long id) {
        return String.format("%016x", id);
    }
}
