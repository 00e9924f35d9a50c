package org.kingcuproad.emulator.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The JSON messages of the platform. */
final class PlatformJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformJson() {}

    static JsonNode parse(byte[] json) throws IOException {
        return MAPPER.readTree(json);
    }

    static String currentVersion(long version) {
        return MAPPER.createObjectNode().put("currentVersion", version).toString();
    }

    static String version(long version) {
        return MAPPER.createObjectNode().put("version", version).toString();
    }

    static String objects(List<ObjectState> objects, long storeVersion) {
        ObjectNode root = MAPPER.createObjectNode().put("version", storeVersion);
        ArrayNode list = root.putArray("objects");
        objects.forEach(object -> list.addObject().put("key", object.key()).put("version", object.version()));
        return root.toString();
    }

    static String vms(List<VmRecord> vms) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode list = root.putArray("vms");
        vms.forEach(vm -> list.addObject()
                .put("name", vm.name())
                .put("role", vm.role())
                .put("address", vm.address())
                .put("dataCentre", vm.dataCentre())
                .put("state", vm.state()));
        return root.toString();
    }

    static String counters(Map<CallKind, Long> counts) {
        ObjectNode root = MAPPER.createObjectNode();
        counts.forEach((kind, count) -> root.put(kind.label(), count));
        return root.toString();
    }

    static byte[] changeLine(ObjectState change) {
        ObjectNode event = MAPPER.createObjectNode()
                .put("type", change.value().isPresent() ? "changed" : "deleted")
                .put("key", change.key())
                .put("version", change.version());
        change.value().ifPresent(value -> event.put("value", value));
        return line(event);
    }

    static byte[] bookmarkLine(long version) {
        return line(MAPPER.createObjectNode().put("type", "bookmark").put("version", version));
    }

    private static byte[] line(ObjectNode event) {
        return (event + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
