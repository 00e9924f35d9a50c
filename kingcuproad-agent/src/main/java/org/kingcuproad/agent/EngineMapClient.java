package org.kingcuproad.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Client of the expert map API of the local engine. */
final class EngineMapClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/control/maps";

    private final UpstreamClient client;

    EngineMapClient(UpstreamClient client) {
        this.client = client;
    }

    static ObjectNode newBody() {
        return MAPPER.createObjectNode();
    }

    void getState(Receiver receiver) {
        client.sendControl(
                "GET", PATH, new byte[0], new ResponseAggregator((status, body) -> receive(receiver, status, body)));
    }

    void sendCommand(String name, ObjectNode body, Receiver receiver) {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        client.sendControl(
                "POST",
                PATH + "/" + name,
                bytes,
                new ResponseAggregator((status, responseBody) -> receive(receiver, status, responseBody)));
    }

    private static void receive(Receiver receiver, int status, byte[] body) {
        try {
            receiver.receive(status, body.length == 0 ? MissingNode.getInstance() : MAPPER.readTree(body));
        } catch (IOException malformed) {
            receiver.receive(ResponseAggregator.NO_RESPONSE, MissingNode.getInstance());
        }
    }

    /** Callback for the response of the engine. */
    @FunctionalInterface
    interface Receiver {

        /**
         * Handles the response.
         *
         * @param status HTTP status, or {@link ResponseAggregator#NO_RESPONSE}
         * @param body the JSON body
         */
        void receive(int status, JsonNode body);
    }
}
