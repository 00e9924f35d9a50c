package org.kingcuproad.config.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Parses JSON with Java-style comments and trailing commas; reports duplicate keys with their paths. */
public final class CommentedJson {

    /** Deeper nesting than any document has; it bounds the recursion. */
    private static final int MAX_NESTING_DEPTH = 32;

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    private CommentedJson() {}

    /**
     * Parses a file. Of a duplicate key the first value counts.
     *
     * @param content the file, in UTF-8
     * @param mistakes receives duplicate keys
     * @return the value of the file
     * @throws DocumentInvalidException if the file is no JSON; it lists the duplicate keys up to there as well
     */
    public static JsonNode parse(byte[] content, Mistakes mistakes) throws DocumentInvalidException {
        try (JsonParser parser = FACTORY.createParser(decode(content))) {
            if (parser.nextToken() == null) {
                mistakes.add(JsonPath.ROOT, "a JSON object", "an empty file");
            } else {
                JsonNode root = value(parser, JsonPath.ROOT, mistakes);
                if (parser.nextToken() == null) {
                    return root;
                }
                mistakes.add(JsonPath.ROOT, "the end of the file", "more content" + location(parser));
            }
        } catch (CharacterCodingException failure) {
            mistakes.add(JsonPath.ROOT, "text in UTF-8", "bytes that are not UTF-8");
        } catch (JsonProcessingException failure) {
            mistakes.add(JsonPath.ROOT, "JSON with comments", syntaxError(failure));
        } catch (IOException failure) {
            mistakes.add(JsonPath.ROOT, "JSON with comments", String.valueOf(failure.getMessage()));
        }
        mistakes.throwIfAny();
        throw new IllegalStateException("a mistake was added on every path to here");
    }

    private static String decode(byte[] content) throws CharacterCodingException {
        return StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(content))
                .toString();
    }

    private static JsonNode value(JsonParser parser, JsonPath path, Mistakes mistakes) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, path, mistakes);
            case START_ARRAY -> array(parser, path, mistakes);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_NUMBER_INT -> integer(parser);
            default -> NODES.numberNode(parser.getDoubleValue());
        };
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT, LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static JsonNode object(JsonParser parser, JsonPath path, Mistakes mistakes) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            JsonPath memberPath = path.member(key);
            JsonNode member = value(parser, memberPath, mistakes);
            if (object.has(key)) {
                mistakes.add(memberPath, "each key once", "the key again" + location(parser));
            } else {
                object.set(key, member);
            }
        }
        return object;
    }

    private static JsonNode array(JsonParser parser, JsonPath path, Mistakes mistakes) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser, path.element(array.size()), mistakes));
        }
        return array;
    }

    private static String location(JsonParser parser) {
        return " in line " + parser.currentTokenLocation().getLineNr();
    }

    private static String syntaxError(JsonProcessingException failure) {
        String line = failure.getLocation() == null
                ? ""
                : " in line " + failure.getLocation().getLineNr() + ", column "
                        + failure.getLocation().getColumnNr();
        return failure.getOriginalMessage() + line;
    }
}
