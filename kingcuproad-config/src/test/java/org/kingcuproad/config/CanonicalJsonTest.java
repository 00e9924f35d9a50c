package org.kingcuproad.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against two texts of one meaning that promote would take for different documents. */
class CanonicalJsonTest {

    @Test
    void ignoresCommentsOrderDefaultsAndNumberForms() throws Exception {
        String other = SampleDocument.TEXT
                .replace("// The whole document in its shortest form.", "\"$schema\": \"x.json\", /* other */")
                .replace("[\"lowell\", \"lawrence\"]", "[\"lawrence\", \"lowell\",]")
                .replace(
                        "\"skewWeight\": 2, \"rebalanceWeight\": 0.5", "\"rebalanceWeight\": 5e-1, \"skewWeight\": 2.0")
                .replace("{\"name\": \"draft-1\"}", "{\"deadlineMs\": 120000, \"name\": \"draft-\\u0031\"}");
        assertThat(CanonicalJson.of(SampleDocument.bytes(other)))
                .isEqualTo(CanonicalJson.of(SampleDocument.bytes(SampleDocument.TEXT)));
    }

    @Test
    void readsBackAsAnEqualDocument() throws Exception {
        byte[] content = SampleDocument.bytes(SampleDocument.TEXT);
        assertThat(EnvironmentDocumentReader.read(CanonicalJson.of(content)))
                .isEqualTo(EnvironmentDocumentReader.read(content));
    }

    @Test
    void changesWithTheMeaning() throws Exception {
        String changed = SampleDocument.TEXT.replace("\"idempotent\": false", "\"idempotent\": true");
        assertThat(new String(CanonicalJson.of(SampleDocument.bytes(changed)), StandardCharsets.UTF_8))
                .contains("\"idempotent\":true")
                .startsWith("{\"dataCentres\":[\"lawrence\",\"lowell\"],\"environment\":\"sample\",\"limits\":");
    }
}
