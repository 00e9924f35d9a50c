package org.kingcuproad.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The map calls of the engine beside the agent. */
final class EngineMapCalls {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/control/maps";

    private final UpstreamClient client;

    EngineMapCalls(UpstreamClient client) {
        this.client = client;
    }

    static ObjectNode body() {
        return MAPPER.createObjectNode();
    }

    void state(Receiver receiver) {
        client.control("GET", PATH, new byte[0], new WholeAnswer((status, body) -> receive(receiver, status, body)));
    }

    void command(String name, ObjectNode body, Receiver receiver) {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        client.control(
                "POST",
                PATH + "/" + name,
                bytes,
                new WholeAnswer((status, answer) -> receive(receiver, status, answer)));
    }

    private static void receive(Receiver receiver, int status, byte[] body) {
        try {
            receiver.receive(status, body.length == 0 ? MissingNode.getInstance() : MAPPER.readTree(body));
        } catch (IOException malformed) {
            receiver.receive(WholeAnswer.NO_ANSWER, MissingNode.getInstance());
        }
    }

    /** Takes the answer of the engine. */
    @FunctionalInterface
    interface Receiver {

        /**
         * Takes the answer.
         *
         * @param status HTTP status, or {@link WholeAnswer#NO_ANSWER}
         * @param body the JSON body
         */
        void receive(int status, JsonNode body);
    }
}
