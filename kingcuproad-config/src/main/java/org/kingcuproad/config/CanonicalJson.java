package org.kingcuproad.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.Limits;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;
import org.kingcuproad.model.Route;
import org.kingcuproad.model.Service;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.Workspace;

/**
 * The canonical form of environment documents: keys sorted, no comments or white space, defaults filled in, lists of
 * named things sorted by name, and routes with the longest prefix first. Two texts with the same meaning have the same
 * canonical bytes.
 */
public final class CanonicalJson {

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private CanonicalJson() {}

    /**
     * Brings a document text into canonical form.
     *
     * @param content the document, in UTF-8, possibly with comments
     * @return the canonical form
     * @throws DocumentInvalidException if the document has mistakes; it lists all of them
     */
    public static byte[] of(byte[] content) throws DocumentInvalidException {
        return write(EnvironmentDocumentReader.read(content));
    }

    /**
     * Writes a document in canonical form.
     *
     * @param document the document
     * @return the canonical form, which {@link EnvironmentDocumentReader} reads back as an equal document
     */
    public static byte[] write(EnvironmentDocument document) {
        EnvironmentDocument sorted = CanonicalOrder.sort(document);
        ObjectNode root = NODES.objectNode();
        root.set("dataCentres", list(sorted.dataCentres(), NODES::textNode));
        root.put("environment", sorted.environment());
        root.set("limits", limits(sorted.limits()));
        root.set("modelGroups", list(sorted.modelGroups(), CanonicalJson::modelGroup));
        root.set("models", list(sorted.models(), CanonicalJson::model));
        root.set("placement", placement(sorted.placement()));
        root.put("region", sorted.region());
        root.set("services", list(sorted.services(), CanonicalJson::service));
        root.set("upstreams", list(sorted.upstreams(), CanonicalJson::upstream));
        root.set("workspaces", list(sorted.workspaces(), CanonicalJson::workspace));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode limits(Limits limits) {
        return NODES.objectNode()
                .put("claimRetentionSeconds", limits.claimRetentionSeconds())
                .put("drainLimitSeconds", limits.drainLimitSeconds())
                .put("drainNoticeSeconds", limits.drainNoticeSeconds())
                .put("maxBodyBytes", limits.maxBodyBytes())
                .put("maxHeaderBytes", limits.maxHeaderBytes())
                .put("maxQueuedPerWorkspace", limits.maxQueuedPerWorkspace())
                .put("retryBudgetRatio", limits.retryBudgetRatio());
    }

    private static ObjectNode modelGroup(ModelGroup group) {
        return NODES.objectNode()
                .put("expertsPerLayer", group.expertsPerLayer())
                .put("layers", group.layers())
                .put("model", group.model())
                .put("name", group.name())
                .put("ranks", group.ranks())
                .put("slotsPerRank", group.slotsPerRank());
    }

    private static ObjectNode model(Model model) {
        return NODES.objectNode()
                .put("deadlineMs", model.deadlineMs())
                .put("name", model.name())
                .put("timeBetweenTokensMs", model.timeBetweenTokensMs())
                .put("timeToFirstTokenMs", model.timeToFirstTokenMs());
    }

    private static ObjectNode placement(PlacementSettings placement) {
        return NODES.objectNode()
                .put("expertBytes", placement.expertBytes())
                .put("paybackHorizonSeconds", placement.paybackHorizonSeconds())
                .put("rebalanceWeight", placement.rebalanceWeight())
                .put("skewWeight", placement.skewWeight())
                .put("weightStoreBytesPerSecond", placement.weightStoreBytesPerSecond());
    }

    private static ObjectNode service(Service service) {
        ObjectNode node = NODES.objectNode().put("name", service.name());
        node.set("routes", list(service.routes(), CanonicalJson::route));
        return node;
    }

    private static ObjectNode route(Route route) {
        ObjectNode node =
                NODES.objectNode().put("deadlineMs", route.deadlineMs()).put("idempotent", route.idempotent());
        node.set("methods", list(route.methods(), NODES::textNode));
        return node.put("pathPrefix", route.pathPrefix());
    }

    private static ObjectNode upstream(Upstream upstream) {
        return NODES.objectNode()
                .put("checksFencing", upstream.checksFencing())
                .put("dataCentre", upstream.dataCentre())
                .put("group", upstream.group())
                .put("kind", upstream.kind().name().toLowerCase(Locale.ROOT))
                .put("maxConcurrent", upstream.maxConcurrent())
                .put("name", upstream.name())
                .put("vm", upstream.vm());
    }

    private static ObjectNode workspace(Workspace workspace) {
        return NODES.objectNode()
                .put("credentialSha256", workspace.credentialSha256())
                .put("maxInFlight", workspace.maxInFlight())
                .put("name", workspace.name())
                .put("weight", workspace.weight());
    }

    private static <T> ArrayNode list(List<T> list, Function<T, ? extends JsonNode> node) {
        ArrayNode array = NODES.arrayNode();
        list.stream().map(node).forEach(array::add);
        return array;
    }
}
