package org.kingcuproad.ctl;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.kingcuproad.config.json.Mistake;

/** Writes the mistakes of a file. */
final class MistakeReport {

    private MistakeReport() {}

    static void print(String file, List<Mistake> mistakes, boolean json, PrintStream out, PrintStream err) {
        if (json) {
            out.println(toJson(file, mistakes));
        } else {
            mistakes.forEach(mistake -> err.println(file + ": " + mistake));
        }
    }

    static String toJson(String file, List<Mistake> mistakes) {
        ObjectNode root =
                new ObjectMapper().createObjectNode().put("file", file).put("valid", mistakes.isEmpty());
        ArrayNode list = root.putArray("mistakes");
        mistakes.forEach(mistake -> list.addObject()
                .put("path", mistake.path())
                .put("expected", mistake.expected())
                .put("found", mistake.found()));
        return root.toString();
    }
}
