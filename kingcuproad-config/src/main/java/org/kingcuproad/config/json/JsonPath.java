package org.kingcuproad.config.json;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Path of a value in a file. Its text is built only for a mistake, because a large document has tens of thousands of
 * values.
 */
public final class JsonPath {

    /** Path of the whole file. */
    public static final JsonPath ROOT = new JsonPath(null, null, 0);

    private static final Pattern PLAIN_KEY = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

    private final @Nullable JsonPath parent;
    private final @Nullable String key;
    private final int index;

    private JsonPath(@Nullable JsonPath parent, @Nullable String key, int index) {
        this.parent = parent;
        this.key = key;
        this.index = index;
    }

    /**
     * Returns the path of a member.
     *
     * @param name name of the member
     * @return the path
     */
    public JsonPath member(String name) {
        return new JsonPath(this, name, 0);
    }

    /**
     * Returns the path of a list element.
     *
     * @param position index of the element, from 0
     * @return the path
     */
    public JsonPath element(int position) {
        return new JsonPath(this, null, position);
    }

    /**
     * Returns the path as text.
     *
     * @return the text, such as {@code $.upstreams[3].group}
     */
    @Override
    public String toString() {
        if (parent == null) {
            return "$";
        }
        if (key == null) {
            return parent + "[" + index + "]";
        }
        if (PLAIN_KEY.matcher(key).matches()) {
            return parent + "." + key;
        }
        return parent + "['" + key.replace("\\", "\\\\").replace("'", "\\'") + "']";
    }
}
