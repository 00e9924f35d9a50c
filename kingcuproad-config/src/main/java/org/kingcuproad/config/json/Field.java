package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * A member of an object.
 *
 * @param name name of the member
 * @param description what the member means, for the editor's schema
 * @param shape what the value may be
 * @param defaultValue value if the file has none; a missing node if the member is required
 */
public record Field(String name, String description, Shape shape, JsonNode defaultValue) {

    /**
     * Describes a member that every file must have.
     *
     * @param name name of the member
     * @param description what the member means
     * @param shape what the value may be
     * @return the field
     */
    public static Field required(String name, String description, Shape shape) {
        return new Field(name, description, shape, MissingNode.getInstance());
    }

    /**
     * Describes a member with a default.
     *
     * @param name name of the member
     * @param description what the member means
     * @param shape what the value may be
     * @param defaultValue value if the file has none
     * @return the field
     */
    public static Field optional(String name, String description, Shape shape, JsonNode defaultValue) {
        return new Field(name, description, shape, defaultValue);
    }

    /**
     * Tells whether every file must have the member.
     *
     * @return {@code true} if there is no default
     */
    public boolean isRequired() {
        return defaultValue.isMissingNode();
    }
}
