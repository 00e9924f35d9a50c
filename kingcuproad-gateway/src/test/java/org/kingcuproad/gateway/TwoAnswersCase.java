package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * What an upstream does with a request that it has: one response, perhaps a second one, and the end of the connection.
 *
 * @param kind what the client asks for
 * @param first the response that the upstream stands by
 * @param framing how that response says where it ends
 * @param second what comes besides
 * @param when when the second one comes
 * @param end how the connection ends
 */
record TwoAnswersCase(Kind kind, First first, Framing framing, Second second, When when, End end) {

    enum Kind {
        LOOKUP("IDEMPOTENT"),
        ORDER("NON_IDEMPOTENT"),
        STREAM("STREAMING"),
        RESUMED("STREAMING");

        private final String route;

        Kind(String route) {
            this.route = route;
        }

        String route() {
            return route;
        }

        boolean streams() {
            return this == STREAM || this == RESUMED;
        }
    }

    enum First {
        WHOLE(200, true),
        CUT(0, true),
        ERROR(500, true),
        REJECTED(503, false),
        UNAVAILABLE(503, true),
        TIMED_OUT(504, true),
        MISDIRECTED(421, false),
        NOTHING(0, true);

        private final int status;
        private final boolean runs;

        First(int status, boolean runs) {
            this.status = status;
            this.runs = runs;
        }

        /** Returns the status with which the run ends, or 0 if it never does. */
        int status() {
            return status;
        }

        boolean runs() {
            return runs;
        }
    }

    enum Framing {
        LENGTH,
        CHUNKS,
        NONE
    }

    enum Second {
        NONE,
        SAME,
        OWN_ID,
        NO_ID,
        EARLIER_ID,
        ERROR,
        GARBAGE
    }

    enum When {
        SAME_WRITE(0),
        SOON(5),
        LATE(40),
        AFTER_NEXT_REQUEST(-1),
        INSIDE_NEXT_RESPONSE(-1);

        private final int delayMs;

        When(int delayMs) {
            this.delayMs = delayMs;
        }

        int delayMs() {
            return delayMs;
        }

        boolean withNextRequest() {
            return delayMs < 0;
        }
    }

    enum End {
        KEPT,
        CLOSED,
        RESET
    }

    /** Returns whether the bytes on the connection show a caller which response is the upstream's. */
    private boolean decidable() {
        boolean onlySecond = first == First.NOTHING && second != Second.NONE;
        boolean endless = end == End.KEPT && (framing == Framing.NONE || first == First.CUT || first == First.NOTHING);
        boolean noConnection = when.withNextRequest() && end != End.KEPT;
        // What follows a response without framing on its connection belongs to its body.
        boolean inBody = framing == Framing.NONE && second != Second.NONE;
        return !onlySecond && !endless && !noConnection && !inBody;
    }

    private boolean distinct() {
        return (second != Second.NONE || when == When.SAME_WRITE)
                && (first != First.NOTHING || framing == Framing.LENGTH);
    }

    /** Returns all cases that differ and can be decided. */
    static List<TwoAnswersCase> all() {
        List<TwoAnswersCase> cases = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (First first : First.values()) {
                for (Framing framing : Framing.values()) {
                    for (Second second : Second.values()) {
                        for (When when : When.values()) {
                            for (End end : End.values()) {
                                cases.add(new TwoAnswersCase(kind, first, framing, second, when, end));
                            }
                        }
                    }
                }
            }
        }
        return cases.stream()
                .filter(TwoAnswersCase::decidable)
                .filter(TwoAnswersCase::distinct)
                .toList();
    }
}
