package org.kingcuproad.ctl.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.kingcuproad.emulator.engine.ChatText;

/** Checks a completion that arrives as one JSON document. */
final class PlainCheck implements BodyCheck {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String requestId;
    private final int expectedTokens;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    PlainCheck(String requestId, int expectedTokens) {
        this.requestId = requestId;
        this.expectedTokens = expectedTokens;
    }

    @Override
    public int accept(byte[] data) {
        body.writeBytes(data);
        return 0;
    }

    @Override
    public Completeness end() {
        try {
            return judge(MAPPER.readTree(body.toByteArray()));
        } catch (IOException malformed) {
            return Completeness.TRUNCATED_BODY;
        }
    }

    private Completeness judge(JsonNode json) {
        if (!json.path("id").asText().equals(requestId)) {
            return Completeness.FOREIGN_REQUEST;
        }
        String content =
                json.path("choices").path(0).path("message").path("content").asText();
        return content.equals(ChatText.text(requestId, expectedTokens))
                ? Completeness.COMPLETE
                : Completeness.WRONG_TOKENS;
    }
}
