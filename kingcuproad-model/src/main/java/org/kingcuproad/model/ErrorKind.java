package org.kingcuproad.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The closed list of error kinds, with the answer that each one gives to a caller.
 *
 * <p>A kind whose execution is {@link Execution#NOT_RUN} is used only where it is certain that the request did not run.
 */
public enum ErrorKind {

    /** The request is malformed. */
    BAD_REQUEST("bad-request", 400, Execution.NOT_RUN, false, "The request is malformed."),

    /** The credential is missing or not known. */
    UNAUTHENTICATED("unauthenticated", 401, Execution.NOT_RUN, false, "The credential is missing or not known."),

    /** The credential does not allow this request. */
    FORBIDDEN("forbidden", 403, Execution.NOT_RUN, false, "The credential does not allow this request."),

    /** No route, model or object has this name. */
    NOT_FOUND("not-found", 404, Execution.NOT_RUN, false, "No route, model or object has this name."),

    /** The body is larger than the environment allows. */
    BODY_TOO_LARGE("body-too-large", 413, Execution.NOT_RUN, false, "The body is larger than the environment allows."),

    /** The request line or headers are larger than allowed. */
    HEADERS_TOO_LARGE(
            "headers-too-large", 431, Execution.NOT_RUN, false, "The request line or headers are larger than allowed."),

    /** The client took too long to send its request. */
    REQUEST_TIMEOUT("request-timeout", 408, Execution.NOT_RUN, true, "The client took too long to send its request."),

    /** The environment document has mistakes. */
    DOCUMENT_INVALID("document-invalid", 422, Execution.NOT_RUN, false, "The environment document has mistakes."),

    /** Another write came first. */
    CONFLICT("conflict", 409, Execution.NOT_RUN, false, "Another write came first."),

    /** The idempotency key was used with another request. */
    KEY_REUSED("key-reused", 422, Execution.NOT_RUN, false, "The idempotency key was used with another request."),

    /** The request could not have been answered in time. */
    OVERLOADED("overloaded", 503, Execution.NOT_RUN, true, "The request could not have been answered in time."),

    /** The workspace exceeds its own limit. */
    WORKSPACE_LIMIT("workspace-limit", 429, Execution.NOT_RUN, true, "The workspace exceeds its own limit."),

    /** No upstream can take the request now. */
    NO_UPSTREAM("no-upstream", 503, Execution.NOT_RUN, true, "No upstream can take the request now."),

    /** Upstreams crashed while they answered requests with parts of this prompt. */
    PROMPT_QUARANTINED(
            "prompt-quarantined",
            503,
            Execution.NOT_RUN,
            true,
            "Upstreams crashed while they answered requests with parts of this prompt."),

    /** The platform's object API does not answer, so the order could not be claimed. */
    STORE_UNAVAILABLE(
            "store-unavailable",
            503,
            Execution.NOT_RUN,
            true,
            "The platform's object API does not answer, so the order could not be claimed."),

    /** No configuration is known, or it is too old to trust the keys in it. */
    CONFIGURATION_STALE(
            "configuration-stale",
            503,
            Execution.NOT_RUN,
            true,
            "No configuration is known, or it is too old to trust the keys in it."),

    /** The process takes no new work. */
    SHUTTING_DOWN("shutting-down", 503, Execution.NOT_RUN, true, "The process takes no new work."),

    /** The deadline passed before the request ran. */
    DEADLINE_EXCEEDED_NOT_RUN(
            "deadline-exceeded-not-run", 504, Execution.NOT_RUN, true, "The deadline passed before the request ran."),

    /** The deadline passed while the request may have run. */
    DEADLINE_EXCEEDED(
            "deadline-exceeded", 504, Execution.UNKNOWN, false, "The deadline passed while the request may have run."),

    /** The upstream failed while it ran the request. */
    UPSTREAM_FAILED("upstream-failed", 502, Execution.RAN, false, "The upstream failed while it ran the request."),

    /** The upstream was lost and may have run the request. */
    UPSTREAM_LOST(
            "upstream-lost", 502, Execution.UNKNOWN, false, "The upstream was lost and may have run the request."),

    /** The request ran but its answer broke off. */
    ANSWER_INCOMPLETE("answer-incomplete", 502, Execution.RAN, false, "The request ran but its answer broke off."),

    /** The order ran before and its answer is no longer kept. */
    ALREADY_RAN("already-ran", 409, Execution.RAN, false, "The order ran before and its answer is no longer kept."),

    /** An earlier attempt with this key may have run. */
    OUTCOME_UNKNOWN("outcome-unknown", 409, Execution.UNKNOWN, false, "An earlier attempt with this key may have run."),

    /** An unexpected fault of the load balancer. */
    INTERNAL("internal", 500, Execution.UNKNOWN, false, "An unexpected fault of the load balancer.");

    private final String label;
    private final int httpStatus;
    private final Execution execution;
    private final boolean retryable;
    private final String meaning;

    ErrorKind(String label, int httpStatus, Execution execution, boolean retryable, String meaning) {
        this.label = label;
        this.httpStatus = httpStatus;
        this.execution = execution;
        this.retryable = retryable;
        this.meaning = meaning;
    }

    /**
     * Finds a kind by its label.
     *
     * @param label the label as it appears in answers and messages between processes
     * @return the kind, or empty if no kind has the label
     */
    public static Optional<ErrorKind> ofLabel(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    /**
     * Returns the label used in answers and messages between processes.
     *
     * @return the label, in lower case with hyphens
     */
    public String label() {
        return label;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return an HTTP status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns what is known about whether the request ran.
     *
     * @return what the caller is told
     */
    public Execution execution() {
        return execution;
    }

    /**
     * Tells whether the caller may send the same request again without risk of running it twice.
     *
     * @return {@code true} if a retry is safe and may succeed
     */
    public boolean retryable() {
        return retryable;
    }

    /**
     * Returns the documented meaning.
     *
     * @return one English sentence
     */
    public String meaning() {
        return meaning;
    }
}
