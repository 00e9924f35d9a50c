package org.kingcuproad.ctl.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.kingcuproad.emulator.engine.ChatText;

/** Checks a stream of server-sent events: each token in order, from the right request, and then the end mark. */
final class StreamCheck implements BodyCheck {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";
    private static final String END_MARK = ChatText.DONE.strip();

    private final String requestId;
    private final int expectedTokens;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Completeness firstFault = Completeness.COMPLETE;
    private int tokens;
    private boolean ended;

    StreamCheck(String requestId, int expectedTokens) {
        this.requestId = requestId;
        this.expectedTokens = expectedTokens;
    }

    @Override
    public int accept(byte[] data) {
        int before = tokens;
        for (byte next : data) {
            if (next == '\n') {
                acceptLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(next);
            }
        }
        return tokens - before;
    }

    @Override
    public Completeness end() {
        if (!ended || line.size() > 0) {
            fault(Completeness.MISSING_END_MARK);
        }
        if (tokens != expectedTokens) {
            fault(Completeness.WRONG_TOKENS);
        }
        return firstFault;
    }

    private void acceptLine(String text) {
        if (text.isBlank()) {
            return;
        }
        if (ended) {
            fault(Completeness.MISSING_END_MARK);
        } else if (text.equals(END_MARK)) {
            ended = true;
        } else if (text.startsWith(DATA)) {
            acceptEvent(text.substring(DATA.length()));
        } else {
            fault(Completeness.TRUNCATED_BODY);
        }
    }

    private void acceptEvent(String json) {
        try {
            acceptToken(MAPPER.readTree(json));
        } catch (JsonProcessingException malformed) {
            fault(Completeness.TRUNCATED_BODY);
        }
    }

    private void acceptToken(JsonNode event) {
        String content =
                event.path("choices").path(0).path("delta").path("content").asText();
        int sequence = tokens++;
        if (!event.path("id").asText().equals(requestId) || !content.startsWith(requestId + "#")) {
            fault(Completeness.FOREIGN_REQUEST);
        } else if (!content.equals(ChatText.token(requestId, sequence))) {
            fault(Completeness.WRONG_TOKENS);
        }
    }

    private void fault(Completeness fault) {
        if (firstFault == Completeness.COMPLETE) {
            firstFault = fault;
        }
    }
}
