package org.kingcuproad.ctl.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/**
 * Which requests are sent, how fast and for how long.
 *
 * @param target address with scheme and port
 * @param path path of a plain service, or the empty string for chat completions
 * @param credential credential of the workspace
 * @param model model of chat completions
 * @param tokens tokens of each completion
 * @param stream whether completions are streamed
 * @param ratePerSecond requests a second in open loop, or 0 for a closed loop
 * @param concurrency requests in flight in a closed loop
 * @param warmUp time before the measured interval
 * @param duration length of the measured interval
 */
public record LoadSettings(
        String target,
        String path,
        String credential,
        String model,
        int tokens,
        boolean stream,
        double ratePerSecond,
        int concurrency,
        Duration warmUp,
        Duration duration) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CHAT_PATH = "/v1/chat/completions";

    boolean service() {
        return !path.isEmpty();
    }

    boolean openLoop() {
        return ratePerSecond > 0;
    }

    String url() {
        return target + (service() ? path : CHAT_PATH);
    }

    String chatBody() {
        ObjectNode body = MAPPER.createObjectNode()
                .put("model", model)
                .put("max_tokens", tokens)
                .put("stream", stream);
        body.putArray("messages").addObject().put("role", "user").put("content", "load");
        return body.toString();
    }

    BodyCheck newCheck(String requestId, long declaredLength) {
        if (service()) {
            return new ServiceCheck(declaredLength);
        }
        return stream ? new StreamCheck(requestId, tokens) : new PlainCheck(requestId, tokens);
    }
}
