package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a judge of generated traffic that counts a whole response as cut off because its upstream crashed
 * before the second response that it would have written behind the first. Seeds 110 and 123 of
 * {@link ShapedTrafficTest} were judged so.
 */
class ShapedCrashTest {

    @ParameterizedTest(name = "request {1} of seed {0}")
    @CsvSource({"110, 169, 132030", "123, 217, 81544"})
    void acceptsAWholeResponseOfAnUpstreamThatCrashedAfterIt(long seed, int number, int bodyBytes) throws Exception {
        ShapedRequest request = ShapedRequest.draw(seed, number);
        ShapedRuns runs = new ShapedRuns();
        ShapedAnswer answer;
        try (GatewayFixture fixture = new GatewayFixture();
                ShapedUpstream upstream = new ShapedUpstream(runs, () -> {});
                ShapedClient client = new ShapedClient(fixture, () -> false)) {
            upstream.crashBeforeTrailing();
            fixture.setMaxBodyBytes(ShapedDraws.MAX_BODY_BYTES);
            fixture.addEntry("127.0.0.1", upstream.port());
            fixture.start();
            answer = client.send(request);
        }

        assertThat(ShapedOracle.judge(request, answer, runs.of(request.id()))).isEmpty();
        assertThat(answer.end()).isEqualTo(ShapedAnswer.End.WHOLE);
        assertThat(answer.body()).hasSize(bodyBytes);
    }
}
