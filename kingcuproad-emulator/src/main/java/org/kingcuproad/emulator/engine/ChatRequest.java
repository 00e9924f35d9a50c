package org.kingcuproad.emulator.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * A parsed request for a chat completion.
 *
 * @param requestId id of the request
 * @param model name of the model
 * @param maxTokens number of tokens to answer with
 * @param stream whether the answer is streamed
 * @param priority priority in the queue of the engine; higher ones start first
 */
record ChatRequest(String requestId, String model, int maxTokens, boolean stream, int priority) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 16;

    static ChatRequest parse(String requestId, byte[] body) throws IOException {
        JsonNode json = MAPPER.readTree(body);
        return new ChatRequest(
                requestId,
                json.path("model").asText(),
                json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
                json.path("stream").asBoolean(false),
                json.path("priority").asInt(0));
    }
}
