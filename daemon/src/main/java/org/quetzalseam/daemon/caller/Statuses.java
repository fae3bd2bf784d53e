package org.quetzalseam.daemon.caller;

/** The HTTP status codes in use, by their standard names. */
final class Statuses {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int FORBIDDEN = 403;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONTENT_TOO_LARGE = 413;
    static final int UNPROCESSABLE = 422;
    static final int TOO_MANY_REQUESTS = 429;
    static final int INTERNAL_ERROR = 500;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;

    private Statuses() {}
}
