package org.kingcuproad.config.settings;

import static org.kingcuproad.config.json.Field.optional;
import static org.kingcuproad.config.json.Field.required;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.StreamSupport;
import org.kingcuproad.config.json.CommentedJson;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.json.Field;
import org.kingcuproad.config.json.IntegerShape;
import org.kingcuproad.config.json.JsonPath;
import org.kingcuproad.config.json.ListShape;
import org.kingcuproad.config.json.Mistakes;
import org.kingcuproad.config.json.ObjectShape;
import org.kingcuproad.config.json.Shapes;
import org.kingcuproad.config.json.TextShape;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;

/** Reads the settings of processes: JSON with comments, checked as a whole. */
public final class SettingsReader {

    /** Design section 5.5: 24 upstreams of each group keep the reports at 120 small messages a second. */
    private static final int DEFAULT_SUBSET_SIZE = 24;

    private static final Field DATA_CENTRE = required("dataCentre", "Data centre of the VM", Shapes.name());
    private static final Field ENVIRONMENT = required("environment", "Name of the environment", Shapes.name());
    private static final Field STAGE =
            required("stage", "Stage of the environment", TextShape.oneOf("trial", "production"));
    private static final Field LISTEN_HOST =
            optional("listenHost", "IP number to listen on", Shapes.ipNumber(), TextNode.valueOf("0.0.0.0"));
    private static final Field ADMIN_PORT = required("adminPort", "Port for health and metrics", Shapes.listenPort());
    private static final Field PLATFORM_URL = required("platformUrl", "Base URL of the platform API", Shapes.httpUrl());
    private static final ListShape ADDRESSES = new ListShape(Shapes.hostPort(), 0);

    private static final ObjectShape ENTRY = ObjectShape.of(
            required("name", "Name of the entry", Shapes.name()),
            DATA_CENTRE,
            ENVIRONMENT,
            STAGE,
            LISTEN_HOST,
            required("callerPort", "Port for callers", Shapes.listenPort()),
            ADMIN_PORT,
            required("relayPort", "gRPC port for subscribers of documents", Shapes.listenPort()),
            PLATFORM_URL,
            required("adminCredentialSha256", "SHA-256 of the operators' credential", Shapes.credentialSha256()),
            optional("peers", "Relay ports of other entries", ADDRESSES, Shapes.emptyList()),
            optional(
                    "subsetSize",
                    "Upstreams that the entry talks to in each model group",
                    new IntegerShape(1, 10_000),
                    Shapes.valueOf(DEFAULT_SUBSET_SIZE)));

    private static final ObjectShape AGENT = ObjectShape.of(
            required("upstream", "Name of the upstream", Shapes.name()),
            DATA_CENTRE,
            ENVIRONMENT,
            STAGE,
            LISTEN_HOST,
            required("agentPort", "gRPC port for entries and other agents", Shapes.listenPort()),
            ADMIN_PORT,
            required("upstreamUrl", "Base URL of the upstream", Shapes.httpUrl()),
            PLATFORM_URL,
            optional("relays", "Relay ports of entries", ADDRESSES, Shapes.emptyList()));

    private SettingsReader() {}

    /**
     * Reads the settings of an entry.
     *
     * @param content the file, in UTF-8
     * @return the settings, with defaults filled in
     * @throws DocumentInvalidException if the file has mistakes; it lists all of them
     */
    public static EntrySettings readEntry(byte[] content) throws DocumentInvalidException {
        JsonNode node = check(content, ENTRY, List.of("callerPort", "adminPort", "relayPort"));
        return new EntrySettings(
                node.path("name").textValue(),
                node.path("dataCentre").textValue(),
                node.path("environment").textValue(),
                stage(node),
                node.path("listenHost").textValue(),
                node.path("callerPort").intValue(),
                node.path("adminPort").intValue(),
                node.path("relayPort").intValue(),
                node.path("platformUrl").textValue(),
                node.path("adminCredentialSha256").textValue(),
                addresses(node.path("peers")),
                node.path("subsetSize").intValue());
    }

    /**
     * Reads the settings of an agent.
     *
     * @param content the file, in UTF-8
     * @return the settings, with defaults filled in
     * @throws DocumentInvalidException if the file has mistakes; it lists all of them
     */
    public static AgentSettings readAgent(byte[] content) throws DocumentInvalidException {
        JsonNode node = check(content, AGENT, List.of("agentPort", "adminPort"));
        return new AgentSettings(
                node.path("upstream").textValue(),
                node.path("dataCentre").textValue(),
                node.path("environment").textValue(),
                stage(node),
                node.path("listenHost").textValue(),
                node.path("agentPort").intValue(),
                node.path("adminPort").intValue(),
                node.path("upstreamUrl").textValue(),
                node.path("platformUrl").textValue(),
                addresses(node.path("relays")));
    }

    private static JsonNode check(byte[] content, ObjectShape shape, List<String> ports)
            throws DocumentInvalidException {
        Mistakes mistakes = new Mistakes();
        JsonNode parsed = CommentedJson.parse(content, mistakes);
        JsonNode checked = shape.check(parsed, JsonPath.ROOT, mistakes);
        checkPortsDiffer(parsed, ports, mistakes);
        mistakes.throwIfAny();
        return checked;
    }

    private static void checkPortsDiffer(JsonNode parsed, List<String> ports, Mistakes mistakes) {
        Set<Long> used = new HashSet<>();
        for (String name : ports) {
            JsonNode port = parsed.path(name);
            if (port.isIntegralNumber() && port.longValue() != 0 && !used.add(port.longValue())) {
                mistakes.add(JsonPath.ROOT.member(name), "a port of its own", port + " again");
            }
        }
    }

    private static Stage stage(JsonNode node) {
        return Stage.valueOf(node.path("stage").textValue().toUpperCase(Locale.ROOT));
    }

    private static List<HostPort> addresses(JsonNode list) {
        return StreamSupport.stream(list.spliterator(), false)
                .map(JsonNode::textValue)
                .map(SettingsReader::address)
                .toList();
    }

    private static HostPort address(String text) {
        int colon = text.lastIndexOf(':');
        return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
