package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Shapes and default values that several files use. */
public final class Shapes {

    /** Longest request deadline, in milliseconds: one hour. */
    public static final int MAX_DEADLINE_MS = 3_600_000;

    private static final String NAME_REGEX = "[a-z0-9][a-z0-9-]{0,62}";
    private static final String IP_REGEX = "[0-9]{1,3}[.][0-9]{1,3}[.][0-9]{1,3}[.][0-9]{1,3}|\\[[0-9a-f:.]{2,45}\\]";
    private static final String PORT_REGEX =
            "[0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|" + "6553[0-5]";

    private Shapes() {}

    /**
     * Describes a name. It has no dots and slashes, because names are parts of object keys and idempotency keys.
     *
     * @return the shape
     */
    public static TextShape name() {
        return TextShape.matching(NAME_REGEX, "a name of 1 to 63 lower-case letters, digits and hyphens");
    }

    /**
     * Describes the SHA-256 of a credential.
     *
     * @return the shape
     */
    public static TextShape credentialSha256() {
        return TextShape.matching("[0-9a-f]{64}", "a SHA-256 of 64 lower-case hexadecimal digits")
                .asConfidential();
    }

    /**
     * Describes an IP number.
     *
     * @return the shape
     */
    public static TextShape ipNumber() {
        return TextShape.matching(IP_REGEX, "an IP number (IPv6 in brackets)");
    }

    /**
     * Describes an address of a process.
     *
     * @return the shape
     */
    public static TextShape hostPort() {
        return TextShape.matching("(" + IP_REGEX + "):(" + PORT_REGEX + ")", "IP:PORT (IPv6 in brackets)");
    }

    /**
     * Describes a port to listen on.
     *
     * @return the shape; 0 means any free port
     */
    public static IntegerShape listenPort() {
        return new IntegerShape(0, 65_535);
    }

    /**
     * Describes the base of HTTP requests.
     *
     * @return the shape
     */
    public static TextShape httpUrl() {
        return TextShape.matching(
                "https?://(" + IP_REGEX + "):(" + PORT_REGEX + ")", "a URL of the form http://IP:PORT");
    }

    /**
     * Describes a time allowed for a request, in milliseconds.
     *
     * @return the shape
     */
    public static IntegerShape deadlineMs() {
        return new IntegerShape(1, MAX_DEADLINE_MS);
    }

    /**
     * Makes a default value.
     *
     * @param value the integer
     * @return the value as a node
     */
    public static JsonNode valueOf(long value) {
        return JsonNodeFactory.instance.numberNode(value);
    }

    /**
     * Makes a default value.
     *
     * @param value the number
     * @return the value as a node
     */
    public static JsonNode valueOf(double value) {
        return JsonNodeFactory.instance.numberNode(value);
    }

    /**
     * Makes a default value.
     *
     * @param value the truth value
     * @return the value as a node
     */
    public static JsonNode valueOf(boolean value) {
        return JsonNodeFactory.instance.booleanNode(value);
    }

    /**
     * Makes a default value.
     *
     * @return an empty list
     */
    public static JsonNode emptyList() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /**
     * Makes a default value.
     *
     * @return an object without members, which the defaults of its fields fill
     */
    public static JsonNode emptyObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
