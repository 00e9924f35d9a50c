package org.kingcuproad.gateway.rank;

import java.io.IOException;
import java.util.Optional;
import org.kingcuproad.gateway.HttpReply;
import org.kingcuproad.runtime.log.DecisionLog;

/** Reads the bodies of answers. A call without a good answer is made again by its timer, so it is no result here. */
final class ReplyReader {

    private final DecisionLog log;

    ReplyReader(DecisionLog log) {
        this.log = log;
    }

    /** Reads one kind of body. */
    interface Body<T> {

        T read(byte[] body) throws IOException;
    }

    /**
     * Reads the body of a good answer.
     *
     * @param what what the body describes, for logs
     * @return what it says, or empty if the call had no good answer or its body can't be read
     */
    <T> Optional<T> read(HttpReply reply, String what, Body<T> body) {
        if (!(reply instanceof HttpReply.Response answer) || !answer.ok()) {
            return Optional.empty();
        }
        try {
            return Optional.of(body.read(answer.body()));
        } catch (IOException unreadable) {
            log.event("unreadable " + what)
                    .field("reason", String.valueOf(unreadable))
                    .write();
            return Optional.empty();
        }
    }
}
