package org.kingcuproad.ctl.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.emulator.engine.ChatText;

/** Guards against a load run that takes a faulty stream for a complete response. */
class StreamCheckTest {

    private static final int TOKENS = 4;
    private static final String OWN = ChatText.streamedBody("own", "m", TOKENS);
    private static final String FOREIGN = ChatText.streamedBody("foreign", "m", TOKENS);

    static Stream<Arguments> streams() {
        String withoutEnd = OWN.substring(0, OWN.length() - ChatText.DONE.length());
        String firstEvent = OWN.substring(0, OWN.indexOf("\n\n") + 2);
        return Stream.of(
                Arguments.of("whole", OWN, Completeness.COMPLETE),
                Arguments.of("without end mark", withoutEnd, Completeness.MISSING_END_MARK),
                Arguments.of("cut within an event", OWN.substring(0, OWN.length() / 2), Completeness.MISSING_END_MARK),
                Arguments.of(
                        "cut within the end mark", OWN.substring(0, OWN.length() - 4), Completeness.MISSING_END_MARK),
                Arguments.of("empty", "", Completeness.MISSING_END_MARK),
                Arguments.of("of another request", FOREIGN, Completeness.FOREIGN_REQUEST),
                Arguments.of(
                        "goes over to another request",
                        firstEvent + FOREIGN.substring(FOREIGN.indexOf("\n\n") + 2),
                        Completeness.FOREIGN_REQUEST),
                Arguments.of("first token missing", OWN.substring(firstEvent.length()), Completeness.WRONG_TOKENS),
                Arguments.of("first token repeated", firstEvent + OWN, Completeness.WRONG_TOKENS),
                Arguments.of(
                        "last token missing", ChatText.streamedBody("own", "m", TOKENS - 1), Completeness.WRONG_TOKENS),
                Arguments.of("goes on after the end", OWN + firstEvent, Completeness.MISSING_END_MARK),
                Arguments.of("no events", "<html>\n", Completeness.TRUNCATED_BODY));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("streams")
    void findsTheFaultOfAStreamInPartsOfAnySize(String name, String body, Completeness expected) {
        for (int partSize : new int[] {1, 7, 10_000}) {
            StreamCheck check = new StreamCheck("own", TOKENS);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            for (int from = 0; from < bytes.length; from += partSize) {
                check.accept(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + partSize)));
            }
            assertThat(check.end()).isEqualTo(expected);
        }
    }

    @Test
    void aShortBodyOfAServiceIsTruncated() {
        ServiceCheck check = new ServiceCheck(10);
        check.accept(new byte[9]);
        assertThat(check.end()).isEqualTo(Completeness.TRUNCATED_BODY);
    }

    @Test
    void aPlainCompletionOfAnotherRequestIsForeign() {
        PlainCheck check = new PlainCheck("own", TOKENS);
        check.accept(ChatText.plainBody("foreign", "m", TOKENS).getBytes(StandardCharsets.UTF_8));
        assertThat(check.end()).isEqualTo(Completeness.FOREIGN_REQUEST);
    }
}
