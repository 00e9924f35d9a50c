package org.kingcuproad.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.kingcuproad.config.json.JsonPath;
import org.kingcuproad.config.json.Mistakes;

/**
 * Checks the relations between the parts of a document: unique names, references, and servers for all groups.
 *
 * <p>It works on the parsed file, not on the records, so that these mistakes are reported together with wrong values.
 * Values of a wrong type are skipped, because the check of the shapes reports them.
 */
final class DocumentReferences {

    private static final String MODEL_KIND = "model";
    private static final String SERVICE_KIND = "service";
    private static final Set<String> RESERVED_PATHS = Set.of("/v1/chat/completions", "/v1/idempotency-keys");

    private final JsonNode document;
    private final Mistakes mistakes;

    private DocumentReferences(JsonNode document, Mistakes mistakes) {
        this.document = document;
        this.mistakes = mistakes;
    }

    static void check(JsonNode document, Mistakes mistakes) {
        DocumentReferences references = new DocumentReferences(document, mistakes);
        references.checkUniqueValues();
        references.checkReferences();
        references.checkServed("modelGroups", MODEL_KIND);
        references.checkServed("services", SERVICE_KIND);
        references.checkModelsHaveGroups();
        references.checkGroupSizes();
        references.checkRoutes();
    }

    private void checkUniqueValues() {
        unique("dataCentres", "");
        unique("models", "name");
        unique("modelGroups", "name");
        unique("services", "name");
        unique("upstreams", "name");
        // The VM gives the agent's address, and one agent serves one upstream.
        unique("upstreams", "vm");
        unique("workspaces", "name");
        // A credential must identify one workspace.
        unique("workspaces", "credentialSha256");
    }

    private void checkReferences() {
        Set<String> dataCentres = texts("dataCentres", "");
        Set<String> models = texts("models", "name");
        Set<String> modelGroups = texts("modelGroups", "name");
        Set<String> services = texts("services", "name");
        forEach("modelGroups", (group, path) -> refersTo(group, "model", path, models, "models"));
        forEach("upstreams", (upstream, path) -> {
            refersTo(upstream, "dataCentre", path, dataCentres, "dataCentres");
            switch (upstream.path("kind").asText()) {
                case MODEL_KIND -> refersTo(upstream, "group", path, modelGroups, "modelGroups");
                case SERVICE_KIND -> refersTo(upstream, "group", path, services, "services");
                default -> {}
            }
        });
    }

    private void checkServed(String list, String kind) {
        Set<String> served = elements("upstreams")
                .filter(upstream -> upstream.path("kind").asText().equals(kind))
                .map(upstream -> upstream.path("group").asText())
                .collect(Collectors.toSet());
        forEach(list, (element, path) -> {
            JsonNode name = element.path("name");
            if (name.isTextual() && !served.contains(name.textValue())) {
                mistakes.add(path, "at least one upstream of kind " + kind + " with this group", "none");
            }
        });
    }

    private void checkModelsHaveGroups() {
        Set<String> run = texts("modelGroups", "model");
        forEach("models", (model, path) -> {
            JsonNode name = model.path("name");
            if (name.isTextual() && !run.contains(name.textValue())) {
                mistakes.add(path, "at least one model group that runs the model", "none");
            }
        });
    }

    private void checkGroupSizes() {
        Map<String, Long> servers = elements("upstreams")
                .filter(upstream -> upstream.path("kind").asText().equals(MODEL_KIND))
                .collect(
                        Collectors.groupingBy(upstream -> upstream.path("group").asText(), Collectors.counting()));
        forEach("modelGroups", (group, path) -> {
            checkSlots(group, path);
            checkRanks(group, path, servers.getOrDefault(group.path("name").asText(), 0L));
        });
    }

    private void checkSlots(JsonNode group, JsonPath path) {
        long slots = group.path("ranks").asLong() * group.path("slotsPerRank").asLong();
        long experts = group.path("expertsPerLayer").asLong();
        if (slots > 0 && experts > slots) {
            String expected = "at most " + slots + " (ranks times slotsPerRank), so that each expert has a slot";
            mistakes.add(path.member("expertsPerLayer"), expected, String.valueOf(experts));
        }
    }

    private void checkRanks(JsonNode group, JsonPath path, long servers) {
        long ranks = group.path("ranks").asLong();
        if (ranks > 0 && servers > ranks) {
            String expected = "at least " + servers + ", one for each upstream of the group";
            mistakes.add(path.member("ranks"), expected, String.valueOf(ranks));
        }
    }

    private void checkRoutes() {
        Set<String> covered = new HashSet<>();
        forEach("services", (service, servicePath) -> {
            JsonPath routes = servicePath.member("routes");
            forEach(service.path("routes"), routes, (route, path) -> checkRoute(route, path, covered));
        });
    }

    private void checkRoute(JsonNode route, JsonPath path, Set<String> covered) {
        String prefix = route.path("pathPrefix").asText();
        if (RESERVED_PATHS.stream().anyMatch(prefix::startsWith)) {
            String reserved = RESERVED_PATHS.stream().sorted().collect(Collectors.joining(" and "));
            mistakes.add(
                    path.member("pathPrefix"),
                    "a path outside " + reserved,
                    Mistakes.describe(route.path("pathPrefix")));
        }
        JsonPath methods = path.member("methods");
        forEach(route.path("methods"), methods, (method, methodPath) -> {
            if (!prefix.isEmpty() && method.isTextual() && !covered.add(method.textValue() + " " + prefix)) {
                mistakes.add(methodPath, "each method and path prefix once", Mistakes.describe(method) + " again");
            }
        });
    }

    private void unique(String list, String member) {
        Set<String> seen = new HashSet<>();
        forEach(list, (element, path) -> {
            JsonNode value = member.isEmpty() ? element : element.path(member);
            if (value.isTextual() && !seen.add(value.textValue())) {
                JsonPath valuePath = member.isEmpty() ? path : path.member(member);
                mistakes.add(valuePath, "a value that no other element of " + list + " has", "a repeated value");
            }
        });
    }

    private void refersTo(JsonNode element, String member, JsonPath path, Set<String> names, String list) {
        JsonNode value = element.path(member);
        if (value.isTextual() && !names.contains(value.textValue())) {
            mistakes.add(path.member(member), "a name from " + list, Mistakes.describe(value));
        }
    }

    private Set<String> texts(String list, String member) {
        return elements(list)
                .map(element -> member.isEmpty() ? element : element.path(member))
                .filter(JsonNode::isTextual)
                .map(JsonNode::textValue)
                .collect(Collectors.toSet());
    }

    private Stream<JsonNode> elements(String list) {
        return StreamSupport.stream(document.path(list).spliterator(), false);
    }

    private void forEach(String list, BiConsumer<JsonNode, JsonPath> action) {
        forEach(document.path(list), JsonPath.ROOT.member(list), action);
    }

    private static void forEach(JsonNode list, JsonPath listPath, BiConsumer<JsonNode, JsonPath> action) {
        for (int index = 0; list.isArray() && index < list.size(); index++) {
            action.accept(list.get(index), listPath.element(index));
        }
    }
}
