package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;

/**
 * An object with a closed list of members.
 *
 * @param fields the members
 */
public record ObjectShape(List<Field> fields) implements Shape {

    /** Copies the list, so that the value is immutable. */
    public ObjectShape {
        fields = List.copyOf(fields);
    }

    /**
     * Describes an object.
     *
     * @param fields the members
     * @return the shape
     */
    public static ObjectShape of(Field... fields) {
        return new ObjectShape(List.of(fields));
    }

    @Override
    public JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes) {
        if (!value.isObject()) {
            mistakes.add(path, "an object", Mistakes.describe(value));
            return value;
        }
        value.fieldNames().forEachRemaining(key -> checkKnown(key, path, mistakes));
        ObjectNode checked = JsonNodeFactory.instance.objectNode();
        boolean changed = false;
        for (Field field : fields) {
            JsonNode given = value.path(field.name());
            JsonNode member = given.isMissingNode() ? field.defaultValue() : given;
            JsonNode checkedMember = field.shape().check(member, path.member(field.name()), mistakes);
            checked.set(field.name(), checkedMember);
            changed |= checkedMember != given;
        }
        // A document in canonical form needs no second tree, which would double the peak of memory.
        return changed ? checked : value;
    }

    @Override
    public ObjectNode schema() {
        ObjectNode schema = Shape.schemaOfType("object");
        ObjectNode properties = schema.putObject("properties");
        for (Field field : fields) {
            ObjectNode property = field.shape().schema().put("description", field.description());
            if (!field.isRequired()) {
                property.set("default", field.defaultValue());
            }
            properties.set(field.name(), property);
        }
        fields.stream().filter(Field::isRequired).map(Field::name).forEach(schema.putArray("required")::add);
        return schema.put("additionalProperties", false);
    }

    private void checkKnown(String key, JsonPath path, Mistakes mistakes) {
        if (!isKnown(key)) {
            String known = fields.stream().map(Field::name).collect(Collectors.joining(", "));
            mistakes.add(path.member(key), "a known key (" + known + ")", "an unknown key");
        }
    }

    /** A loop instead of a stream, because it runs for every key of a large document. */
    private boolean isKnown(String key) {
        for (Field field : fields) {
            if (field.name().equals(key)) {
                return true;
            }
        }
        return false;
    }
}
