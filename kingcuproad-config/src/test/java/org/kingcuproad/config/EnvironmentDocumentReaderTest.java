package org.kingcuproad.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.json.Mistake;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.UpstreamKind;

/** Guards against documents that are accepted with mistakes, and against mistakes that are not reported. */
class EnvironmentDocumentReaderTest {

    @Test
    void fillsDefaults() throws Exception {
        EnvironmentDocument document = EnvironmentDocumentReader.read(SampleDocument.bytes(SampleDocument.TEXT));
        assertThat(document.limits().claimRetentionSeconds()).isEqualTo(3_600);
        assertThat(document.models().get(0).timeToFirstTokenMs()).isEqualTo(1_700);
        assertThat(document.upstream("u1"))
                .hasValueSatisfying(upstream -> assertThat(upstream.kind()).isEqualTo(UpstreamKind.MODEL))
                .hasValueSatisfying(
                        upstream -> assertThat(upstream.checksFencing()).isFalse());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "region": "new-england"      | "region": "New England"          | $.region
            "region": "new-england",     | ``                               | $.region
            "environment": "sample"      | "environment": 7                 | $.environment
            "models": [{"name"           | "models": [{"nmae": 1, "name"    | $.models[0].nmae
            "region"                     | "odd key": 1, "region"           | $['odd key']
            "region"                     | "region": "x", "region"          | $.region
            "ranks": 4                   | "ranks": 4.5                     | $.modelGroups[0].ranks
            "ranks": 4                   | "ranks": 99999999999999999999    | $.modelGroups[0].ranks
            "ranks": 4                   | "ranks": null                    | $.modelGroups[0].ranks
            "expertsPerLayer": 8         | "expertsPerLayer": 13            | $.modelGroups[0].expertsPerLayer
            "model": "draft-1"           | "model": "draft-2"               | $.modelGroups[0].model
            "models": [{                 | "models": [{"name": "idle"}, {   | $.models[0]
            "group": "g1"                | "group": "g2"                    | $.upstreams[0].group
            "group": "g1"                | "group": "orders"                | $.modelGroups[0]
            "group": "orders"            | "group": "nobody"                | $.services[0]
            "dataCentre": "lowell"       | "dataCentre": "haverhill"        | $.upstreams[0].dataCentre
            "name": "s1"                 | "name": "u1"                     | $.upstreams[1].name
            "vm": "vm-2"                 | "vm": "vm-1"                     | $.upstreams[1].vm
            "kind": "model"              | "kind": "engine"                 | $.upstreams[0].kind
            ["lowell", "lawrence"]       | ["lowell", "lawrence", "lowell"] | $.dataCentres[2]
            ["POST"]                     | ["post"]                         | $.services[0].routes[0].methods[0]
            ["POST"]                     | ["POST", "POST"]                 | $.services[0].routes[0].methods[1]
            ["POST"]                     | []                               | $.services[0].routes[0].methods
            "/orders"                    | "/v1/chat/completions"           | $.services[0].routes[0].pathPrefix
            "idempotent": false          | "idempotent": "no"               | $.services[0].routes[0].idempotent
            "rebalanceWeight": 0.5       | "rebalanceWeight": -1            | $.placement.rebalanceWeight
            "rebalanceWeight": 0.5       | "rebalanceWeight": 1e999         | $.placement.rebalanceWeight
            0123456789abcdef0            | 0123456789ABCDEF0                | $.workspaces[0].credentialSha256
            """)
    void reportsTheMistakeAtItsPath(String part, String replacement, String path) {
        String text = SampleDocument.TEXT.replaceFirst(
                Pattern.quote(part), Matcher.quoteReplacement(replacement == null ? "" : replacement));
        assertThat(text).isNotEqualTo(SampleDocument.TEXT);
        assertThat(mistakes(text)).extracting(Mistake::path).contains(path);
    }

    @Test
    void reportsAllMistakesTogether() {
        String text = SampleDocument.TEXT
                .replace("\"ranks\": 4", "\"ranks\": 0")
                .replace("\"group\": \"orders\"", "\"group\": \"nobody\"")
                .replace("\"region\"", "\"regoin\"");
        assertThat(mistakes(text))
                .extracting(Mistake::path)
                .containsExactlyInAnyOrder(
                        "$.regoin", "$.region", "$.modelGroups[0].ranks", "$.upstreams[1].group", "$.services[0]");
    }

    @Test
    void namesTheLineOfASyntaxError() {
        assertThat(mistakes("{\n  \"region\" \"x\"\n}").get(0).found()).contains("in line 2");
    }

    @Test
    void keepsAPastedCredentialOutOfTheMessage() {
        String text = SampleDocument.TEXT.replace(SampleDocument.CREDENTIAL, "plain-secret");
        assertThat(mistakes(text).toString()).doesNotContain("plain-secret");
    }

    private static List<Mistake> mistakes(String text) {
        DocumentInvalidException failure = Objects.requireNonNull(catchThrowableOfType(
                DocumentInvalidException.class, () -> EnvironmentDocumentReader.read(SampleDocument.bytes(text))));
        assertThat(failure.kind()).isEqualTo(ErrorKind.DOCUMENT_INVALID);
        return failure.mistakes();
    }
}
