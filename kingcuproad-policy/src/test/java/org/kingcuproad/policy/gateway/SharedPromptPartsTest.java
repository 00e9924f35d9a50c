package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class SharedPromptPartsTest {

    @Test
    void leavesOutTheLastPartAndTokenCounts() {
        assertThat(SharedPromptParts.parse("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"))
                .containsExactly("5c1e07a2", "91bd3f06");
    }

    @Test
    void findsNothingSharedWithoutAnEarlierPart() {
        assertThat(SharedPromptParts.parse(null)).isEmpty();
        assertThat(SharedPromptParts.parse("")).isEmpty();
        assertThat(SharedPromptParts.parse("a:1")).isEmpty();
        assertThat(SharedPromptParts.parse(",")).isEmpty();
        assertThat(SharedPromptParts.parse(":5,:6,a:1")).isEmpty();
    }

    @Test
    void boundsWhatAClientCanMakeTheGatewayRemember() {
        assertThat(SharedPromptParts.parse("x".repeat(33) + ":1,b:1,c:1")).isEqualTo(List.of("b"));
        assertThat(SharedPromptParts.parse(String.join(",", Collections.nCopies(50, "a:1"))))
                .containsExactly("a");
    }
}
