package org.kingcuproad.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.settings.SettingsReader;

/** Guards against input that makes the reader fail in an unplanned way, and against an unstable canonical form. */
class DocumentPropertyTest {

    private static final byte[] EXAMPLE = ExampleDocuments.read("merrimack");
    private static final List<String> FRAGMENTS = List.of(
            "{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "\"",
            "null",
            "true",
            "-0.0",
            "1e400",
            "1e-400",
            "9".repeat(40),
            "//",
            "/*",
            "\\ud800",
            "\u0000",
            "\ufeff",
            "\"upstreams\"",
            "\"limits\"",
            "\"name\": \"x\",",
            "[".repeat(60));

    @Property(tries = 2_000, seed = "1")
    void arbitraryBytesAreReadOrRefused(@ForAll byte[] content) {
        isStableOrRefused(content);
    }

    @Property(tries = 2_000, seed = "2")
    void damagedDocumentsAreReadOrRefused(@ForAll("damaged") byte[] content) {
        isStableOrRefused(content);
    }

    @Property(tries = 1_000, seed = "3")
    void arbitraryBytesAreNoSettings(@ForAll byte[] content) {
        try {
            SettingsReader.readAgent(content);
        } catch (DocumentInvalidException refused) {
            assertThat(refused.mistakes()).isNotEmpty();
        }
    }

    @Property(tries = 200, seed = "4")
    void theCanonicalFormDoesNotDependOnTheOrder(@ForAll long seed) throws Exception {
        byte[] canonical = CanonicalJson.of(EXAMPLE);
        JsonNode shuffled = shuffle(new ObjectMapper().readTree(canonical), new Random(seed));
        String text = shuffled.toPrettyString().replace("{", "{ // comment\n");
        assertThat(CanonicalJson.of(text.getBytes(StandardCharsets.UTF_8))).isEqualTo(canonical);
    }

    @Provide
    Arbitrary<byte[]> damaged() {
        Arbitrary<Integer> offsets = Arbitraries.integers().between(0, EXAMPLE.length - 1);
        Arbitrary<Integer> lengths = Arbitraries.integers().between(0, 40);
        Arbitrary<byte[]> inserted = Arbitraries.oneOf(
                Arbitraries.of(FRAGMENTS).map(fragment -> fragment.getBytes(StandardCharsets.UTF_8)),
                Arbitraries.bytes().array(byte[].class).ofMaxSize(4));
        return Combinators.combine(offsets, lengths, inserted).as(DocumentPropertyTest::replace);
    }

    private static byte[] replace(int offset, int length, byte[] inserted) {
        int end = Math.min(offset + length, EXAMPLE.length);
        byte[] result = Arrays.copyOf(EXAMPLE, offset + inserted.length + EXAMPLE.length - end);
        System.arraycopy(inserted, 0, result, offset, inserted.length);
        System.arraycopy(EXAMPLE, end, result, offset + inserted.length, EXAMPLE.length - end);
        return result;
    }

    private static void isStableOrRefused(byte[] content) {
        try {
            byte[] canonical = CanonicalJson.of(content);
            assertThat(CanonicalJson.of(canonical)).isEqualTo(canonical);
            assertThat(EnvironmentDocumentReader.read(canonical)).isEqualTo(EnvironmentDocumentReader.read(content));
        } catch (DocumentInvalidException refused) {
            assertThat(refused.mistakes()).isNotEmpty();
        }
    }

    private static JsonNode shuffle(JsonNode node, Random random) {
        if (node.isObject()) {
            List<Map.Entry<String, JsonNode>> members = new ArrayList<>(node.properties());
            Collections.shuffle(members, random);
            ObjectNode shuffled = JsonNodeFactory.instance.objectNode();
            members.forEach(member -> shuffled.set(member.getKey(), shuffle(member.getValue(), random)));
            return shuffled;
        }
        if (node.isArray()) {
            List<JsonNode> elements = new ArrayList<>();
            node.forEach(element -> elements.add(shuffle(element, random)));
            Collections.shuffle(elements, random);
            ArrayNode shuffled = JsonNodeFactory.instance.arrayNode();
            return shuffled.addAll(elements);
        }
        return node;
    }
}
