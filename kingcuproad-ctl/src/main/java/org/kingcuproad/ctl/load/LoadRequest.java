package org.kingcuproad.ctl.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/** Times and checks one response. */
final class LoadRequest implements AsyncHandler<Boolean> {

    static final String REQUEST_ID = "X-Request-Id";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    private final LoadSettings settings;
    private final LoadRecorder recorder;
    private final Runnable onEnd;
    private final String sentId;
    private final long intendedNs;
    private final ByteArrayOutputStream problem = new ByteArrayOutputStream();
    private @Nullable BodyCheck check;
    private int status;
    private boolean started;
    private long lastTokenNs;
    private boolean tokenSeen;
    private boolean ended;

    LoadRequest(LoadSettings settings, LoadRecorder recorder, String sentId, long intendedNs, Runnable onEnd) {
        this.settings = settings;
        this.recorder = recorder;
        this.sentId = sentId;
        this.intendedNs = intendedNs;
        this.onEnd = onEnd;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        if (status >= FIRST_SUCCESS && status < FIRST_REDIRECT) {
            // An engine without an entry returns no id and uses the one that was sent.
            String requestId = headers.get(REQUEST_ID, sentId);
            String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
            check = settings.newCheck(requestId, length == null ? ServiceCheck.NOT_DECLARED : Long.parseLong(length));
        }
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        long nowNs = System.nanoTime();
        byte[] data = part.getBodyPartBytes();
        if (data.length == 0) {
            return State.CONTINUE;
        }
        if (check == null) {
            problem.writeBytes(data);
            return State.CONTINUE;
        }
        if (!started) {
            started = true;
            recorder.firstByte(intendedNs, nowNs);
        }
        recordTokens(check.accept(data), nowNs);
        return State.CONTINUE;
    }

    @Override
    public Boolean onCompleted() {
        if (check == null) {
            end(() -> recorder.error(intendedNs, problemKind()));
            return false;
        }
        Completeness completeness = check.end();
        end(() -> {
            if (completeness == Completeness.COMPLETE) {
                recorder.complete(intendedNs, System.nanoTime());
            } else {
                recorder.incomplete(intendedNs, completeness.label());
            }
        });
        return completeness == Completeness.COMPLETE;
    }

    @Override
    public void onThrowable(Throwable failure) {
        if (check != null) {
            end(() -> recorder.incomplete(intendedNs, "broken-off"));
        } else {
            end(() -> recorder.error(intendedNs, failureKind(failure)));
        }
    }

    private void recordTokens(int tokens, long nowNs) {
        if (tokens == 0) {
            return;
        }
        recorder.tokens(tokens, nowNs);
        if (tokenSeen) {
            recorder.tokenGap(intendedNs, lastTokenNs, nowNs);
        }
        tokenSeen = true;
        lastTokenNs = nowNs;
    }

    private void end(Runnable record) {
        if (!ended) {
            ended = true;
            record.run();
            onEnd.run();
        }
    }

    private String problemKind() {
        try {
            return Optional.of(
                            MAPPER.readTree(problem.toByteArray()).path("kind").asText())
                    .filter(kind -> !kind.isEmpty())
                    .orElse("status-" + status);
        } catch (IOException noProblem) {
            return "status-" + status;
        }
    }

    private static String failureKind(Throwable failure) {
        return switch (failure) {
            case TimeoutException timeout -> "timeout";
            case ConnectException refused -> "connect-failed";
            case IOException lost -> "connection-lost";
            default -> failure.getClass().getSimpleName();
        };
    }
}
