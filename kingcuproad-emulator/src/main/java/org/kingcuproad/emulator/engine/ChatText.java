package org.kingcuproad.emulator.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The deterministic text of stand-in engines.
 *
 * <p>Each token names the request and its own position, so that a reader can tell a missing, repeated or foreign token.
 */
public final class ChatText {

    /** Last event of a streamed answer. */
    public static final String DONE = "data: [DONE]\n\n";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ChatText() {}

    /**
     * Returns one token.
     *
     * @param requestId id of the request
     * @param sequence position of the token, starting at 0
     * @return the text of the token
     */
    public static String token(String requestId, int sequence) {
        return requestId + "#" + sequence + " ";
    }

    /**
     * Returns the text of a whole answer.
     *
     * @param requestId id of the request
     * @param tokens number of tokens
     * @return all tokens in order
     */
    public static String text(String requestId, int tokens) {
        return IntStream.range(0, tokens)
                .mapToObj(sequence -> token(requestId, sequence))
                .collect(Collectors.joining());
    }

    /**
     * Returns the body of a plain answer.
     *
     * @param requestId id of the request
     * @param model name of the model
     * @param tokens number of tokens
     * @return a JSON document
     */
    public static String plainBody(String requestId, String model, int tokens) {
        ObjectNode body = envelope(requestId, model, "chat.completion");
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text(requestId, tokens));
        choice.put("finish_reason", "stop");
        body.putObject("usage").put("completion_tokens", tokens);
        return body.toString();
    }

    /**
     * Returns the body of a streamed answer.
     *
     * @param requestId id of the request
     * @param model name of the model
     * @param tokens number of tokens
     * @return server-sent events, one for each token, and the last event
     */
    public static String streamedBody(String requestId, String model, int tokens) {
        return IntStream.range(0, tokens)
                .mapToObj(sequence -> event(requestId, model, sequence))
                .collect(Collectors.joining("", "", DONE));
    }

    static String event(String requestId, String model, int sequence) {
        ObjectNode body = envelope(requestId, model, "chat.completion.chunk");
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", token(requestId, sequence));
        return "data: " + body + "\n\n";
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode envelope(String requestId, String model, String object) {
        return MAPPER.createObjectNode()
                .put("id", requestId)
                .put("object", object)
                .put("model", model);
    }
}
