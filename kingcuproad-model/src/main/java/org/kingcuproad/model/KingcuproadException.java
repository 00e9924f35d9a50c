package org.kingcuproad.model;

/** A failure with its kind, which decides the answer to the caller. */
public class KingcuproadException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /**
     * Creates a failure.
     *
     * @param kind the kind of the failure
     * @param detail what went wrong, for the caller or operator
     */
    public KingcuproadException(ErrorKind kind, String detail) {
        super(detail);
        this.kind = kind;
    }

    /**
     * Creates a failure with its cause.
     *
     * @param kind the kind of the failure
     * @param detail what went wrong, for the caller or operator
     * @param cause the underlying failure
     */
    public KingcuproadException(ErrorKind kind, String detail, Throwable cause) {
        super(detail, cause);
        this.kind = kind;
    }

    /**
     * Returns the kind of this failure.
     *
     * @return the kind
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Returns the message, which is never absent.
     *
     * @return what went wrong
     */
    public String detail() {
        String message = getMessage();
        return message == null ? kind.meaning() : message;
    }
}
