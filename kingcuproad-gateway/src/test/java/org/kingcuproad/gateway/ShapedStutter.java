package org.kingcuproad.gateway;

import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;
import org.kingcuproad.policy.gateway.ResponseFraming;

/**
 * A second answer to a request that an upstream has answered, on the same connection.
 *
 * @param status its status, which may differ from that of the first answer
 * @param notRun whether it claims that the request was not run
 * @param framing how it says where it ends
 * @param id which request it names
 * @param withNext whether it comes directly before the answer to the next request
 * @param delayMs time after the first answer, in milliseconds
 */
record ShapedStutter(int status, boolean notRun, ResponseFraming framing, Id id, boolean withNext, long delayMs) {

    /** Request that a second answer names. */
    enum Id {
        REQUEST,
        /** One that the connection never carried. */
        FOREIGN,
        NONE
    }

    private static final Id[] IDS = {
        Id.REQUEST, Id.REQUEST, Id.REQUEST, Id.REQUEST, Id.REQUEST, Id.REQUEST, Id.FOREIGN, Id.FOREIGN, Id.NONE, Id.NONE
    };

    static ShapedStutter draw(RandomGenerator random, int firstStatus) {
        int[] statuses = {firstStatus, 200, 503, 504, 421, 429};
        int status = statuses[random.nextInt(statuses.length)];
        return new ShapedStutter(
                status,
                status >= 421 && status <= 503,
                ResponseFraming.values()[new int[] {0, 0, 1, 3}[random.nextInt(4)]],
                IDS[random.nextInt(IDS.length)],
                ShapedDraws.chance(random, 0.4),
                ShapedDraws.chance(random, 0.4) ? 0 : random.nextLong(60));
    }

    boolean closes() {
        return framing == ResponseFraming.CONNECTION;
    }

    /** Returns whether nothing that follows on the connection can be trusted. */
    boolean spoilsConnection() {
        return id != Id.REQUEST;
    }

    byte[] bytes(String requestId, String seal) {
        String body = "copy of " + seal;
        String head = "HTTP/1.1 " + status + " X\r\nX-Seal: " + seal + "\r\n"
                + switch (id) {
                    case REQUEST -> "X-Request: " + requestId + "\r\n";
                    case FOREIGN -> "X-Request: never-" + requestId + "\r\n";
                    case NONE -> "";
                }
                + (notRun ? "X-Not-Run: 1\r\n" : "");
        return (head
                        + switch (framing) {
                            case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
                            case CHUNKS ->
                                "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
                                        + body + "\r\n0\r\n\r\n";
                            case CONNECTION, NO_BODY -> "\r\n" + body;
                        })
                .getBytes(StandardCharsets.UTF_8);
    }
}
