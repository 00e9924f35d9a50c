package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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

    /** Guards against a part that is never suspected because it was left out. */
    @Test
    void keepsEachPartOfALargeHeader() {
        String header =
                IntStream.range(0, 2_000).mapToObj(index -> index + ":1,").collect(Collectors.joining());
        assertThat(SharedPromptParts.parse(header)).hasSize(2_000).endsWith("1999");
        assertThat(SharedPromptParts.parse(String.join(",", Collections.nCopies(50, "a:1"))))
                .containsExactly("a");
    }

    @Test
    void replacesALongIdByAHashOfBoundedLength() {
        List<String> parts = SharedPromptParts.parse(
                "x".repeat(33) + ":1," + "x".repeat(200) + ":1,b:1," + "x".repeat(200) + ":2,c:1");
        assertThat(parts).hasSize(3).contains("b").doesNotHaveDuplicates().allMatch(id -> id.length() <= 32);
        assertThat(SharedPromptParts.parse("x".repeat(200) + ":7,d:1")).isEqualTo(List.of(parts.get(1)));
    }
}
