package org.kingcuproad.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a kind that tells a caller something other than the documented table. */
class ErrorKindTest {

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void onlyWhatDidNotRunMayBeRetried(ErrorKind kind) {
        if (kind.retryable()) {
            assertThat(kind.execution()).isEqualTo(Execution.NOT_RUN);
        }
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void everyKindIsAnErrorWithAMeaning(ErrorKind kind) {
        assertThat(kind.httpStatus()).isBetween(400, 599);
        assertThat(kind.meaning()).endsWith(".");
        assertThat(ErrorKind.ofLabel(kind.label())).contains(kind);
    }

    @Test
    void labelsAreUnique() {
        assertThat(Arrays.stream(ErrorKind.values()).map(ErrorKind::label)).doesNotHaveDuplicates();
    }

    @Property
    void unknownLabelsAreNotFound(@ForAll int number) {
        assertThat(ErrorKind.ofLabel("kind-" + number)).isEmpty();
    }
}
