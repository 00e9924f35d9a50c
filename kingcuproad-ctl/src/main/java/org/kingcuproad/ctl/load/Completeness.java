package org.kingcuproad.ctl.load;

/** What the check of one successful response found. */
enum Completeness {

    /** The whole response to the request that was sent. */
    COMPLETE("complete"),

    /** A part of the response names another request. */
    FOREIGN_REQUEST("foreign-request"),

    /** Tokens are missing, repeated or out of order. */
    WRONG_TOKENS("wrong-tokens"),

    /** The stream stops without its end mark, or goes on after it. */
    MISSING_END_MARK("missing-end-mark"),

    /** The body is shorter than declared or can't be parsed. */
    TRUNCATED_BODY("truncated-body");

    private final String label;

    Completeness(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
