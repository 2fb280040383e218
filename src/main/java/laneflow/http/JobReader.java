package laneflow.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.Map;
import laneflow.core.Front;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Settings;

/** Parses HTTP messages into requests; rejects invalid ones with {@link HttpException}. */
final class JobReader {
    private static final int MAX_ID_LENGTH = 128;
    private static final double MAX_WAIT_MS = 3_600_000;
    /** Maximum slots, or units of memory, of one job: a larger value would distort its endpoint's totals. */
    private static final double MAX_EXTRA = 1024;

    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();
    private final JobClass[] classes;

    /** @param classNames names of the job classes, in the settings' order */
    JobReader(String[] classNames, Settings settings) {
        classes = settings.classes;
        for (int i = 0; i < settings.tenants.length; i++) {
            // Heads are decoded as ISO 8859-1, one character per byte, so names in UTF-8 are compared in that form.
            tenantIndexes.put(new String(settings.tenants[i].name.getBytes(UTF_8), ISO_8859_1), i);
        }
        for (int i = 0; i < classNames.length; i++) {
            classIndexes.put(classNames[i], i);
        }
    }

    /**
     * Parses the request of a message.
     *
     * @param tag identifies the request to the front
     * @param arrivedAt when the message's last byte arrived, in microseconds; the deadline counts from then
     */
    Request read(Front front, long tag, HttpHead head, byte[] body, long arrivedAt) throws HttpException {
        String target = head.targetOrStatus;
        int query = target.indexOf('?');
        Integer jobClass = classIndexes.get(className(head, query < 0 ? target : target.substring(0, query)));
        if (jobClass == null) {
            throw new HttpException(400, "class unknown");
        }
        String id = head.header(HeaderNames.ID);
        if (id == null || !isVisibleAscii(id)) {
            throw new HttpException(400, "no Req-Id, or one that is no word");
        }
        double waitMs =
                numberOr(head.header(HeaderNames.DEADLINE), HeaderNames.DEADLINE, classes[jobClass].deadline * 1000);
        Payload payload = new Payload(head.methodOrVersion, target, id, head.header(HeaderNames.IDEMPOTENCY_KEY), body);
        Request request =
                new Request(front, tag, payload, jobClass, arrivedAt + (long) (Math.min(waitMs, MAX_WAIT_MS) * 1000));
        // An unknown owner is no tenant, so no share limits it.
        request.tenant = tenantIndexes.getOrDefault(head.header(HeaderNames.OWNER), -1);
        request.hint = numberOr(head.header(HeaderNames.COST), HeaderNames.COST, Double.NaN) / 1e6;
        request.subject = query < 0 ? 0 : parseKey(target, query + 1);
        readExtras(request, head.header(HeaderNames.EXTRA));
        return request;
    }

    /** The path's first segment. A header with another class is rejected: other programs might go by the header. */
    private static String className(HttpHead head, String path) throws HttpException {
        int end = path.indexOf('/', 1);
        String pathClass =
                path.isEmpty() || path.charAt(0) != '/' ? "" : path.substring(1, end < 0 ? path.length() : end);
        String headerClass = head.header(HeaderNames.CLASS);
        if (headerClass != null && !headerClass.equals(pathClass)) {
            throw new HttpException(400, "class of header and path differ");
        }
        return pathClass;
    }

    private static boolean isVisibleAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 127) {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= MAX_ID_LENGTH;
    }

    private static double numberOr(String text, String headerName, double defaultValue) throws HttpException {
        return text == null ? defaultValue : parseNumber(text, headerName);
    }

    /** Parses digits with an optional fraction; rejects signs, exponents and overflow. */
    private static double parseNumber(String text, String headerName) throws HttpException {
        int digits = 0;
        int point = -1;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.' && point < 0 && digits > 0) {
                point = i;
            } else if (c >= '0' && c <= '9') {
                digits++;
            } else {
                throw new HttpException(400, "bad " + headerName);
            }
        }
        if (digits == 0 || point == text.length() - 1 || digits > 18) {
            throw new HttpException(400, "bad " + headerName);
        }
        return Double.parseDouble(text);
    }

    /** The query parameter {@code key}, as a number; 0 without one. */
    private static long parseKey(String target, int from) {
        for (int start = from; start >= from && start < target.length(); ) {
            int end = target.indexOf('&', start);
            String pair = target.substring(start, end < 0 ? target.length() : end);
            if (pair.startsWith("key=")) {
                try {
                    return Long.parseUnsignedLong(pair.substring(4), 16);
                } catch (NumberFormatException e) {
                    return pair.hashCode();
                }
            }
            start = end < 0 ? target.length() : end + 1;
        }
        return 0;
    }

    private static void readExtras(Request request, String text) throws HttpException {
        if (text == null || text.isEmpty()) {
            return;
        }
        for (String pair : text.split(",")) {
            String[] parts = pair.strip().split("=", 2);
            if (parts.length < 2) {
                throw new HttpException(400, "bad " + HeaderNames.EXTRA);
            }
            double value = parseNumber(parts[1], HeaderNames.EXTRA);
            if (value > MAX_EXTRA) {
                throw new HttpException(400, "bad " + HeaderNames.EXTRA);
            }
            if ((parts[0].equals("slots") || parts[0].equals("width")) && value > 0) {
                request.slots = value;
            } else if (parts[0].equals("memory") || parts[0].equals("mem")) {
                request.memory = value;
            }
        }
    }
}
