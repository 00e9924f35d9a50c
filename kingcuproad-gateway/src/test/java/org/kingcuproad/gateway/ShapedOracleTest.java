package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.ResponseFraming;
import org.kingcuproad.policy.gateway.RouteKind;

/** Guards against a judge of generated traffic that accepts a part of a body, or refuses a whole one. */
class ShapedOracleTest {

    private static final byte[] SECOND = "HTTP/1.1 500 X\r\n\r\n".getBytes(StandardCharsets.UTF_8);

    private final ShapedRun run = IntStream.range(0, 10_000)
            .mapToObj(number -> ShapedResponse.draw(ShapedRequest.draw(1, number), 1, 0))
            .filter(response -> response.successful()
                    && response.framing() == ResponseFraming.CONNECTION
                    && response.request().kind() == RouteKind.IDEMPOTENT
                    && response.headShape() == ShapedHead.PROPER
                    && response.flood() == ShapedFlood.NONE
                    && response.document()
                    && response.bodyBytes() > 1_000)
            .map(ShapedRun::new)
            .findFirst()
            .orElseThrow();

    private final byte[] body = run.response().body();

    private boolean accepts(byte[] received) {
        String head = "HTTP/1.1 200 X\r\nX-Request: " + run.response().request().id() + "\r\nX-Seal: "
                + run.response().seal() + "\r\n\r\n";
        ShapedAnswer answer = new ShapedAnswer(200, head, received, ShapedAnswer.End.WHOLE, 1, false);
        return ShapedOracle.judge(run.response().request(), answer, List.of(run))
                .isEmpty();
    }

    private void writeBody(int bytes) {
        run.onRun();
        run.onWrite(bytes);
    }

    @Test
    void findsAPartOfABodyThatWasCutOff() {
        writeBody(body.length - 1);
        run.end(ShapedRun.End.CUT);

        assertThat(accepts(Arrays.copyOf(body, body.length - 1))).isFalse();
        assertThat(accepts(body)).isFalse();
    }

    @Test
    void findsABodyThatASecondAnswerFollows() {
        writeBody(body.length);
        run.onTrailing(SECOND);
        run.end(ShapedRun.End.CUT);

        assertThat(accepts(body)).isFalse();
        assertThat(accepts(run.writtenBody())).isFalse();
    }

    @Test
    void acceptsOnlyTheWholeBodyIfNoByteOfTheSecondAnswerWasWritten() {
        writeBody(body.length);
        run.onTrailing(SECOND);
        run.onTrailingUnwritten();

        assertThat(accepts(body)).isTrue();
        assertThat(accepts(Arrays.copyOf(body, body.length - 1))).isFalse();
        assertThat(accepts(Arrays.copyOf(body, body.length + 1))).isFalse();
    }
}
