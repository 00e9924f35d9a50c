package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.Failed;
import org.kingcuproad.wire.proto.Refused;
import org.kingcuproad.wire.proto.Resume;

/** Assembles one response from any number of connections and checks that no byte is lost or repeated. */
final class ResponseReader {

    private static final String ABANDONED = "within the heartbeat timeout";

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean accepted;
    private int status;
    private boolean complete;
    private @Nullable Failed failed;
    private @Nullable Refused refused;

    /** Reads up to the given number of messages; returns false if the response ended. */
    boolean read(ExecuteClient client, int messages) throws InterruptedException {
        for (int count = 0; count < messages; count++) {
            ExecuteResponse response = client.next();
            if (response == null) {
                throw new AssertionError("the call closed before the end of the response", client.failure());
            }
            handle(response);
            if (ended()) {
                return false;
            }
        }
        return true;
    }

    ResponseReader readAll(ExecuteClient client) throws InterruptedException {
        while (read(client, 1)) {
            client.acknowledge(body.size());
        }
        client.halfClose();
        return this;
    }

    /**
     * Reads until the response ends, or until the agent abandons the call for want of messages, as it does if the
     * process got no processor time for the heartbeat timeout. Any other end of the call fails.
     *
     * @return whether the response ended
     */
    boolean readUntilAbandoned(ExecuteClient client) throws InterruptedException {
        for (ExecuteResponse response = client.next(); response != null; response = client.next()) {
            handle(response);
            if (ended()) {
                client.halfClose();
                return true;
            }
            client.acknowledge(body.size());
        }
        Throwable failure = client.failure();
        if (failure == null || !String.valueOf(failure.getMessage()).contains(ABANDONED)) {
            throw new AssertionError("the call closed before the end of the response", failure);
        }
        return false;
    }

    Resume.Builder resume(String requestId, long incarnation) {
        return Resume.newBuilder()
                .setRequestId(requestId)
                .setAttempt(1)
                .setIncarnation(incarnation)
                .setOffset(body.size())
                .setHasHead(status != 0);
    }

    String text() {
        assertThat(complete).as("the response ended").isTrue();
        return body.toString(StandardCharsets.UTF_8);
    }

    boolean completed() {
        return complete;
    }

    int status() {
        return status;
    }

    int receivedBytes() {
        return body.size();
    }

    boolean accepted() {
        return accepted;
    }

    Failed failed() {
        if (failed == null) {
            throw new AssertionError("the response did not fail");
        }
        return failed;
    }

    Refused refused() {
        if (refused == null) {
            throw new AssertionError("the dispatch was not refused");
        }
        return refused;
    }

    private boolean ended() {
        return complete || failed != null || refused != null;
    }

    private void handle(ExecuteResponse response) {
        switch (response.getMessageCase()) {
            case ACCEPTED -> accepted = true;
            case HEAD -> {
                assertThat(status).as("status before the head arrived").isZero();
                status = response.getHead().getStatus();
            }
            case CHUNK -> {
                assertThat(response.getChunk().getOffset()).isEqualTo(body.size());
                body.writeBytes(response.getChunk().getData().toByteArray());
            }
            case END -> {
                assertThat(response.getEnd().getLength()).isEqualTo(body.size());
                complete = true;
            }
            case FAILED -> failed = response.getFailed();
            case REFUSED -> refused = response.getRefused();
            case HEARTBEAT, MESSAGE_NOT_SET -> throw new AssertionError(response);
        }
    }
}
