package org.kingcuproad.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;

/** Writes JSON as one line a value, for reading at a terminal. */
final class JsonLines {

    private JsonLines() {}

    static void print(JsonNode node, String path, PrintStream out) {
        if (node.isObject()) {
            node.properties().forEach(member -> print(member.getValue(), join(path, member.getKey()), out));
        } else if (node.isArray()) {
            for (int index = 0; index < node.size(); index++) {
                print(node.get(index), path + "[" + index + "]", out);
            }
        } else {
            out.println(path + ": " + node.asText());
        }
    }

    private static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
