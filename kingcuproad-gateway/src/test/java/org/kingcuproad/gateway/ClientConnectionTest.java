package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.ClientLimits;

/** Guards against closing the last connection of a slow reader before its response is sent. */
class ClientConnectionTest {

    private static final long LINGER_MS = 1_000;
    private static final long IDLE_TIMEOUT_MS = 5_000;

    private final GatewayFixture fixture;

    ClientConnectionTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Channel whose socket accepts no bytes until it is resumed. */
    private static final class PausedChannel extends EmbeddedChannel {

        private boolean paused = true;

        void resume() {
            paused = false;
            flush();
            runPendingTasks();
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
            if (!paused) {
                super.doWrite(pending);
            }
        }
    }

    private ClientConnection answeredConnection(PausedChannel channel) throws Exception {
        Gateway gateway = fixture.create();
        ClientConnection connection = new ClientConnection(
                gateway,
                channel,
                () -> new ClientLimits(8_192, 10_000, 1_000, (int) IDLE_TIMEOUT_MS),
                HeldMemory.ofProcess(gateway.metrics(), gateway.log()));
        channel.pipeline().addLast(connection);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeInbound(request);
        return connection;
    }

    @Test
    void waitsUntilTheResponseIsSentBeforeItLingers() throws Exception {
        PausedChannel channel = new PausedChannel();
        ClientConnection connection = answeredConnection(channel);
        connection.sweep(Clock.SYSTEM.steadyMs() + LINGER_MS + 500);

        assertThat(channel.isOpen()).as("open while the response is unsent").isTrue();

        channel.resume();

        assertThat(channel.<Object>readOutbound()).isNotNull();
    }

    @Test
    void closesAConnectionWhoseClientNeverReads() throws Exception {
        PausedChannel channel = new PausedChannel();
        ClientConnection connection = answeredConnection(channel);
        connection.sweep(Clock.SYSTEM.steadyMs() + IDLE_TIMEOUT_MS + 100);

        assertThat(channel.isOpen()).isFalse();
    }
}
