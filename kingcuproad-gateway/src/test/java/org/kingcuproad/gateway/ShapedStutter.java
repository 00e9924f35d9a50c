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
 * @param withId whether it names the request
 * @param withNext whether it comes directly before the answer to the next request
 * @param delayMs time after the first answer, in milliseconds
 */
record ShapedStutter(
        int status, boolean notRun, ResponseFraming framing, boolean withId, boolean withNext, long delayMs) {

    static ShapedStutter draw(RandomGenerator random, int firstStatus) {
        int[] statuses = {firstStatus, 200, 503, 504, 421, 429};
        int status = statuses[random.nextInt(statuses.length)];
        return new ShapedStutter(
                status,
                status >= 421 && status <= 503,
                ResponseFraming.values()[new int[] {0, 0, 1, 3}[random.nextInt(4)]],
                ShapedDraws.chance(random, 0.8),
                ShapedDraws.chance(random, 0.4),
                ShapedDraws.chance(random, 0.4) ? 0 : random.nextLong(60));
    }

    boolean closes() {
        return framing == ResponseFraming.CONNECTION;
    }

    byte[] bytes(String requestId, String seal) {
        String body = "copy of " + seal;
        String head = "HTTP/1.1 " + status + " X\r\nX-Seal: " + seal + "\r\n"
                + (withId ? "X-Request: " + requestId + "\r\n" : "")
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
