package org.kingcuproad.emulator.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.model.KingcuproadException;

/** Guards against a group stand-in that hides a mixed map or lets a rank run ahead of a held one. */
class EngineGroupTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HOST = "127.0.0.1";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    @Test
    void switchesAllRanksAtOneStep() throws Exception {
        EngineGroup group = start(GroupSettings.of("drafting", 2, 2));
        long step = holdAll(group);
        for (int engine = 0; engine < 2; engine++) {
            command(group, engine, "switch", "{\"fence\":1,\"mapVersion\":5,\"step\":" + step + "}", 200);
        }
        awaitStep(group, step + 5);
        assertThat(group.mixedSteps()).isZero();
        assertThat(group.history())
                .allSatisfy(used -> assertThat(used.mapVersion()).isEqualTo(used.step() < step ? 0 : 5));
        group.close();
    }

    @Test
    void countsMixedSteps() throws Exception {
        EngineGroup group = start(GroupSettings.of("drafting", 1, 2));
        long step = holdAll(group);
        command(group, 0, "switch", "{\"fence\":1,\"mapVersion\":5,\"step\":" + step + "}", 200);
        command(group, 1, "abort", "{\"fence\":1}", 200);
        awaitStep(group, step + 5);
        assertThat(group.mixedSteps()).isPositive();
        group.close();
    }

    @Test
    void startsNoStepWhileOneEngineHolds() throws Exception {
        EngineGroup group = start(GroupSettings.of("drafting", 1, 2));
        long step = holdAll(group);
        command(group, 0, "abort", "{\"fence\":1}", 200);
        awaitStep(group, step - 1);
        TimeUnit.MILLISECONDS.sleep(50);
        assertThat(state(group).path("step").asLong()).isEqualTo(step - 1);
        command(group, 1, "abort", "{\"fence\":1}", 200);
        awaitStep(group, step + 5);
        group.close();
    }

    @Test
    void refusesOldFencingTokenIfItChecks() throws Exception {
        EngineGroup checking = start(GroupSettings.of("drafting", 1, 2));
        command(checking, 0, "prepare", "{\"fence\":7,\"mapVersion\":5}", 200);
        JsonNode refused = command(checking, 0, "hold", "{\"fence\":6,\"step\":100000}", 409);
        assertThat(refused.path("highestFence").asLong()).isEqualTo(7);
        checking.close();
        EngineGroup ignoring = start(GroupSettings.of("drafting", 1, 2).withoutFencing());
        command(ignoring, 0, "prepare", "{\"fence\":7,\"mapVersion\":5}", 200);
        command(ignoring, 0, "hold", "{\"fence\":6,\"step\":100000}", 200);
        ignoring.close();
    }

    private EngineGroup start(GroupSettings settings) throws KingcuproadException {
        EngineSettings engine = EngineSettings.of(HOST, 0);
        return EngineGroup.start(loops, settings, List.of(engine, engine));
    }

    /** Loads map 5 everywhere and holds both engines at a step that is far enough ahead. */
    private long holdAll(EngineGroup group) throws Exception {
        long step = state(group).path("step").asLong() + 500;
        for (int engine = 0; engine < 2; engine++) {
            command(group, engine, "prepare", "{\"fence\":1,\"mapVersion\":5}", 200);
            command(group, engine, "hold", "{\"fence\":1,\"step\":" + step + "}", 200);
        }
        return step;
    }

    private void awaitStep(EngineGroup group, long step) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (state(group).path("step").asLong() < step) {
            assertThat(System.nanoTime()).as("step %s within 20 s", step).isLessThan(endNs);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private JsonNode state(EngineGroup group) throws Exception {
        return send(HttpRequest.newBuilder(uri(group, 0, "")).build(), 200);
    }

    private JsonNode command(EngineGroup group, int engine, String name, String body, int status) throws Exception {
        return send(
                HttpRequest.newBuilder(uri(group, engine, "/" + name))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                status);
    }

    private JsonNode send(HttpRequest request, int status) throws Exception {
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        return MAPPER.readTree(response.body());
    }

    private static URI uri(EngineGroup group, int engine, String path) {
        int port = group.engines().get(engine).port();
        return URI.create("http://" + HOST + ":" + port + "/control/maps" + path);
    }
}
