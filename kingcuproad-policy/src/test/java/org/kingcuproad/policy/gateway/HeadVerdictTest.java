package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against taking a response that is not the request's own for its answer. */
class HeadVerdictTest {

    private static final ExpectedResponse FIRST = new ExpectedResponse("r2", false, Set.of());
    private static final ExpectedResponse LATER = new ExpectedResponse("r2", false, Set.of("r1"));
    private static final List<String> NONE = List.of();
    private static final List<String> SEAL = List.of("s");
    private static final List<String> OWN = List.of("r2");

    private static ResponseHead head(int status, List<String> ids, List<String> seals) {
        return new ResponseHead(status, ids, seals, NONE, List.of("4"), NONE);
    }

    private static ResponseHead framed(List<String> transferCodings, List<String> lengths, List<String> codings) {
        return new ResponseHead(200, OWN, SEAL, transferCodings, lengths, codings);
    }

    private static ResponseHead unframed(int status, List<String> lengths) {
        return new ResponseHead(status, OWN, SEAL, NONE, lengths, NONE);
    }

    static Stream<Arguments> heads() {
        return Stream.of(
                Arguments.of("own success", head(200, OWN, SEAL), FIRST, "Answer"),
                Arguments.of("own success without seal", head(200, OWN, NONE), FIRST, "Improper"),
                Arguments.of("own success with blank seal", head(204, OWN, List.of(" ")), FIRST, "Improper"),
                Arguments.of("body of a success without content", head(204, OWN, SEAL), FIRST, "Improper"),
                Arguments.of("body of a reset of content", head(205, OWN, SEAL), FIRST, "Improper"),
                Arguments.of("no content", unframed(204, NONE), FIRST, "Answer"),
                Arguments.of("no content with its length", unframed(204, List.of("0")), FIRST, "Answer"),
                Arguments.of("two seals", head(500, OWN, List.of("s", "s")), FIRST, "Improper"),
                Arguments.of("two ids", head(200, List.of("r2", "r2"), SEAL), FIRST, "Improper"),
                Arguments.of("failure without seal", head(500, OWN, NONE), FIRST, "Answer"),
                Arguments.of("failure without id", head(503, NONE, NONE), FIRST, "Answer"),
                Arguments.of("failure without id after another request", head(503, NONE, NONE), LATER, "Improper"),
                Arguments.of("success without id", head(200, NONE, SEAL), FIRST, "Improper"),
                Arguments.of("blank id", head(500, List.of(""), SEAL), LATER, "Improper"),
                Arguments.of("id of an earlier request", head(200, List.of("r1"), SEAL), LATER, "LateCopy"),
                Arguments.of("id of a request of nobody", head(200, List.of("r0"), SEAL), LATER, "Improper"),
                Arguments.of("other id on a new connection", head(500, List.of("r1"), SEAL), FIRST, "Improper"),
                Arguments.of("informational", head(102, NONE, NONE), LATER, "Informational"),
                Arguments.of("other protocol", head(101, OWN, NONE), FIRST, "Improper"),
                Arguments.of("chunks", framed(List.of("Chunked"), NONE, NONE), FIRST, "Answer"),
                Arguments.of("unknown coding", framed(List.of("xchunked"), NONE, NONE), FIRST, "Improper"),
                Arguments.of("two codings", framed(List.of("gzip, chunked"), NONE, NONE), FIRST, "Improper"),
                Arguments.of("chunks twice", framed(List.of("chunked", "chunked"), NONE, NONE), FIRST, "Improper"),
                Arguments.of("chunks and length", framed(List.of("chunked"), List.of("4"), NONE), FIRST, "Improper"),
                Arguments.of("encoded", framed(NONE, List.of("4"), List.of("gzip")), FIRST, "Improper"),
                Arguments.of(
                        "declared as not encoded", framed(NONE, List.of("4"), List.of("identity")), FIRST, "Improper"),
                Arguments.of(
                        "late copy with an unknown coding",
                        new ResponseHead(200, List.of("r1"), SEAL, List.of("x"), NONE, NONE),
                        LATER,
                        "Improper"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("heads")
    void decides(String name, ResponseHead head, ExpectedResponse request, String verdict) {
        assertThat(HeadVerdict.of(head, request).getClass().getSimpleName()).isEqualTo(verdict);
    }

    private static HeadVerdict answer(ResponseFraming framing) {
        return new HeadVerdict.Answer(framing);
    }

    @Test
    void tellsHowTheBodyIsFramed() {
        ExpectedResponse bodiless = new ExpectedResponse("r2", true, Set.of());
        assertThat(HeadVerdict.of(framed(NONE, List.of("4"), NONE), FIRST)).isEqualTo(answer(ResponseFraming.LENGTH));
        assertThat(HeadVerdict.of(framed(List.of("chunked"), NONE, NONE), FIRST))
                .isEqualTo(answer(ResponseFraming.CHUNKS));
        assertThat(HeadVerdict.of(framed(NONE, NONE, NONE), FIRST)).isEqualTo(answer(ResponseFraming.CONNECTION));
        assertThat(HeadVerdict.of(framed(NONE, List.of("4"), NONE), bodiless))
                .isEqualTo(answer(ResponseFraming.NO_BODY));
        assertThat(HeadVerdict.of(unframed(204, NONE), FIRST)).isEqualTo(answer(ResponseFraming.NO_BODY));
        assertThat(HeadVerdict.of(head(304, OWN, SEAL), FIRST)).isEqualTo(answer(ResponseFraming.NO_BODY));
    }

    static Stream<Arguments> callHeads() {
        return Stream.of(
                Arguments.of("success", framed(NONE, List.of("4"), NONE), "Answer"),
                Arguments.of("failure", head(409, NONE, NONE), "Answer"),
                Arguments.of("informational", head(102, NONE, NONE), "Informational"),
                Arguments.of("other protocol", head(101, NONE, NONE), "Improper"),
                Arguments.of("unknown coding", framed(List.of("xchunked"), NONE, NONE), "Improper"),
                Arguments.of("chunks and length", framed(List.of("chunked"), List.of("4"), NONE), "Improper"),
                Arguments.of("encoded", framed(NONE, List.of("4"), List.of("gzip")), "Improper"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("callHeads")
    void decidesAboutCallsWithoutIds(String name, ResponseHead head, String verdict) {
        assertThat(HeadVerdict.ofCall(head).getClass().getSimpleName()).isEqualTo(verdict);
    }
}
