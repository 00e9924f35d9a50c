package org.kingcuproad.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Attempts whose client has left but whose upstream may finish them, because they must not be interrupted. */
final class DetachedAttempts {

    /** Time after its deadline in which an upstream responds to a request whose client has left. */
    private static final long DETACHED_GRACE_MS = 250;

    private final Set<Attempt> attempts = new HashSet<>();

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Ends the attempts whose upstream has had the time that it was given. */
    void sweep(long nowMs) {
        attempts.removeIf(Attempt::ended);
        List.copyOf(attempts).stream()
                .filter(attempt -> nowMs >= attempt.exchange().deadlineMs() + DETACHED_GRACE_MS)
                .forEach(attempt -> {
                    attempts.remove(attempt);
                    attempt.cancel();
                });
    }
}
