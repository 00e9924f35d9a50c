package org.kingcuproad.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.KingcuproadException;

/** Reads the JSON messages of the platform. */
final class PlatformMessages {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlatformMessages() {}

    static long number(byte[] json, String member) throws IOException {
        return number(MAPPER.readTree(json), member);
    }

    static ListResult.Listed objects(byte[] json) throws IOException {
        JsonNode root = MAPPER.readTree(json);
        List<ObjectVersion> objects = new ArrayList<>();
        for (JsonNode object : root.path("objects")) {
            objects.add(new ObjectVersion(text(object, "key"), number(object, "version")));
        }
        return new ListResult.Listed(objects, number(root, "version"));
    }

    static VmListResult.Listed vms(byte[] json) throws IOException {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode vm : MAPPER.readTree(json).path("vms")) {
            vms.add(vm(vm));
        }
        return new VmListResult.Listed(vms);
    }

    static WatchEvent event(byte[] line) throws IOException {
        JsonNode event = MAPPER.readTree(line);
        long version = number(event, "version");
        return switch (text(event, "type")) {
            case "changed" ->
                new WatchEvent.Changed(new StoredObject(
                        text(event, "key"), version, event.path("value").binaryValue()));
            case "deleted" -> new WatchEvent.Deleted(text(event, "key"), version);
            case "bookmark" -> new WatchEvent.Bookmark(version);
            default -> throw malformed("event of unknown type: " + new String(line, StandardCharsets.UTF_8));
        };
    }

    private static Vm vm(JsonNode vm) throws IOException {
        try {
            return new Vm(
                    text(vm, "name"),
                    VmRole.valueOf(text(vm, "role").toUpperCase(Locale.ROOT)),
                    HostPort.parse(text(vm, "address")),
                    text(vm, "dataCentre"),
                    VmState.valueOf(text(vm, "state").toUpperCase(Locale.ROOT)));
        } catch (KingcuproadException | IllegalArgumentException failure) {
            throw new IOException("malformed VM: " + failure.getMessage(), failure);
        }
    }

    private static String text(JsonNode node, String member) throws IOException {
        JsonNode value = node.path(member);
        if (!value.isTextual()) {
            throw malformed("no text " + member);
        }
        return value.textValue();
    }

    private static long number(JsonNode node, String member) throws IOException {
        JsonNode value = node.path(member);
        if (!value.isIntegralNumber()) {
            throw malformed("no number " + member);
        }
        return value.longValue();
    }

    private static IOException malformed(String detail) {
        return new IOException("malformed message: " + detail);
    }
}
