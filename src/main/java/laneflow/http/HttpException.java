package laneflow.http;

/** A message that is not HTTP/1.1 as supported here, with the status that a client gets for it. */
final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;

    HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status's reason phrase (RFC 9110, RFC 6585). */
    String reason() {
        return switch (status) {
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 503 -> "Service Unavailable";
            case 431 -> "Request Header Fields Too Large";
            default -> "Bad Request";
        };
    }
}
