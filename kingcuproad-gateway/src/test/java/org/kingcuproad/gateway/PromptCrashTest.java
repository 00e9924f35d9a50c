package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against sending requests with a prompt part that crashes upstreams to one upstream after the other. */
class PromptCrashTest {

    private static final int UPSTREAMS = 12;

    /** Crashes after which the platform allows no more than three requests with the part. */
    private static final int TOLERATED_CRASHES = 5;

    private static final int TOLERATED_REQUESTS = 3;

    private final GatewayFixture fixture;
    private final List<CrashingUpstream> upstreams = new ArrayList<>();

    PromptCrashTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private RawResponse stream(String id, String parts) throws IOException {
        return fixture.exchange("POST /STREAMING/draft HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id
                + "\r\nX-Key: k1\r\n" + "X-Parts: " + parts
                + "\r\nX-Deadline: 2000\r\nContent-Length: 1\r\nConnection: close\r\n\r\np");
    }

    static Stream<Arguments> prompts() {
        return Stream.of(
                Arguments.of("bad", 1, 0),
                Arguments.of("bad", 17, 2),
                Arguments.of("bad0" + "5c1e".repeat(9), 9, 2),
                Arguments.of("bad0" + "5c1e".repeat(49), 1, 0),
                Arguments.of("bad", 300, 200));
    }

    private static String sharedParts(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> prefix + index + ":40,")
                .collect(Collectors.joining());
    }

    @ParameterizedTest(name = "{0} after {1} parts and before {2}")
    @MethodSource("prompts")
    void stopsSendingAPromptPartOnWhichUpstreamsCrashed(String fatalPart, int partsBefore, int partsAfter)
            throws Exception {
        for (int index = 0; index < UPSTREAMS; index++) {
            upstreams.add(fixture.crashingUpstream(fatalPart));
        }
        String before = sharedParts("first", partsBefore);
        String after = sharedParts("after", partsAfter);
        fixture.start();
        for (int index = 0; index < 30; index++) {
            assertThat(stream("warm" + index, before + after + "own" + index + ":10")
                            .body())
                    .contains("id: 3");
        }

        List<String> sound = new ArrayList<>();
        List<Integer> refusedStatuses = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            RawResponse fatal =
                    stream("fatal" + index, before + fatalPart + ":20," + after + "session" + index + ":10");
            refusedStatuses.add(fatal.status());
            sound.add(stream("sound" + index, before + after + "other" + index + ":10")
                    .body());
        }

        long crashes = upstreams.stream().filter(CrashingUpstream::crashed).count();
        long sent =
                upstreams.stream().mapToLong(CrashingUpstream::fatalRequests).sum();
        assertThat(crashes).as("crashed upstreams").isLessThanOrEqualTo(TOLERATED_CRASHES);
        assertThat(sent)
                .as("requests with the part that reached an upstream")
                .isLessThanOrEqualTo(TOLERATED_CRASHES + TOLERATED_REQUESTS);
        assertThat(sound).as("answers to requests with the same first part").allMatch(body -> body.contains("id: 3"));
        assertThat(refusedStatuses.getLast())
                .as("status that says that the request has not run")
                .isEqualTo(503);
    }
}
