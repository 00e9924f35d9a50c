package org.kingcuproad.emulator.engine;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.runtime.http.HttpExchange;

/** One run of a chat completion. Runs on the event loop of its engine. */
final class ChatRun {

    private final EventLoop loop;
    private final TokenPace pace;
    private final EngineSettings settings;
    private final HttpExchange exchange;
    private final ChatRequest request;
    private final Runnable onToken;
    private final Runnable onEnd;
    // A kept-alive connection keeps its close listeners for its whole life, so they must not hold a finished run.
    private final AtomicReference<@Nullable ChatRun> active = new AtomicReference<>(this);
    private int sent;
    private boolean ended;

    ChatRun(
            EventLoop loop,
            TokenPace pace,
            EngineSettings settings,
            HttpExchange exchange,
            ChatRequest request,
            Runnable onToken,
            Runnable onEnd) {
        this.loop = loop;
        this.pace = pace;
        this.settings = settings;
        this.exchange = exchange;
        this.request = request;
        this.onToken = onToken;
        this.onEnd = onEnd;
    }

    ChatRequest request() {
        return request;
    }

    void start() {
        EventLoop executor = loop;
        AtomicReference<@Nullable ChatRun> current = active;
        exchange.onClosed(() -> executor.execute(() -> endActive(current)));
        if (request.stream()) {
            exchange.start(200, List.of(Map.entry("Content-Type", "text/event-stream")));
        }
        loop.schedule(this::nextToken, settings.firstTokenMs(), TimeUnit.MILLISECONDS);
    }

    private void nextToken() {
        if (ended || sent == settings.stallAfterTokens()) {
            return;
        }
        if (sent == settings.closeAfterTokens()) {
            exchange.abort();
            end();
            return;
        }
        if (sent == request.maxTokens()) {
            complete();
            return;
        }
        onToken.run();
        int sequence = sent++;
        if (request.stream()) {
            byte[] event = ChatText.bytes(ChatText.event(request.requestId(), request.model(), sequence));
            exchange.write(event, () -> loop.execute(() -> pace.onNextToken(this::nextToken)));
        } else {
            pace.onNextToken(this::nextToken);
        }
    }

    private void complete() {
        if (request.stream()) {
            exchange.write(ChatText.bytes(ChatText.DONE));
            exchange.finish();
        } else {
            exchange.respondJson(200, ChatText.plainBody(request.requestId(), request.model(), request.maxTokens()));
        }
        end();
    }

    private static void endActive(AtomicReference<@Nullable ChatRun> active) {
        ChatRun run = active.get();
        if (run != null) {
            run.end();
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            active.set(null);
            onEnd.run();
        }
    }
}
