package org.kingcuproad.gateway.rank;

import java.io.IOException;
import java.util.Optional;
import org.kingcuproad.gateway.HttpReply;
import org.kingcuproad.runtime.log.DecisionLog;

/** Reads the bodies of successful responses. Failed calls are ignored, since the timers of the callers repeat them. */
final class ReplyReader {

    private final DecisionLog log;

    ReplyReader(DecisionLog log) {
        this.log = log;
    }

    /** Parser of one kind of body. */
    interface BodyParser<T> {

        T parse(byte[] body) throws IOException;
    }

    /**
     * Reads the body of a successful response.
     *
     * @param content name of the content, for the log
     * @return the parsed body, or empty if the call failed or the body is malformed
     */
    <T> Optional<T> read(HttpReply reply, String content, BodyParser<T> parser) {
        if (!(reply instanceof HttpReply.Response answer) || !answer.ok()) {
            return Optional.empty();
        }
        try {
            return Optional.of(parser.parse(answer.body()));
        } catch (IOException malformed) {
            log.event("unreadable " + content)
                    .field("reason", String.valueOf(malformed))
                    .write();
            return Optional.empty();
        }
    }
}
