package org.kingcuproad.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.StreamSupport;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.Limits;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;
import org.kingcuproad.model.Route;
import org.kingcuproad.model.Service;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.UpstreamKind;
import org.kingcuproad.model.Workspace;

/** Turns a checked tree without mistakes into the records. */
final class DocumentBinder {

    private DocumentBinder() {}

    static EnvironmentDocument bind(JsonNode document) {
        return new EnvironmentDocument(
                document.path("environment").textValue(),
                document.path("region").textValue(),
                list(document.path("dataCentres"), JsonNode::textValue),
                list(document.path("models"), DocumentBinder::model),
                list(document.path("modelGroups"), DocumentBinder::modelGroup),
                list(document.path("services"), DocumentBinder::service),
                list(document.path("upstreams"), DocumentBinder::upstream),
                list(document.path("workspaces"), DocumentBinder::workspace),
                limits(document.path("limits")),
                placement(document.path("placement")));
    }

    private static Model model(JsonNode node) {
        return new Model(
                node.path("name").textValue(),
                node.path("timeToFirstTokenMs").intValue(),
                node.path("timeBetweenTokensMs").intValue(),
                node.path("deadlineMs").intValue());
    }

    private static ModelGroup modelGroup(JsonNode node) {
        return new ModelGroup(
                node.path("name").textValue(),
                node.path("model").textValue(),
                node.path("ranks").intValue(),
                node.path("layers").intValue(),
                node.path("expertsPerLayer").intValue(),
                node.path("slotsPerRank").intValue());
    }

    private static Service service(JsonNode node) {
        return new Service(node.path("name").textValue(), list(node.path("routes"), DocumentBinder::route));
    }

    private static Route route(JsonNode node) {
        return new Route(
                node.path("pathPrefix").textValue(),
                list(node.path("methods"), JsonNode::textValue),
                node.path("idempotent").booleanValue(),
                node.path("deadlineMs").intValue());
    }

    private static Upstream upstream(JsonNode node) {
        return new Upstream(
                node.path("name").textValue(),
                node.path("vm").textValue(),
                node.path("dataCentre").textValue(),
                UpstreamKind.valueOf(node.path("kind").textValue().toUpperCase(Locale.ROOT)),
                node.path("group").textValue(),
                node.path("maxConcurrent").intValue(),
                node.path("checksFencing").booleanValue());
    }

    private static Workspace workspace(JsonNode node) {
        return new Workspace(
                node.path("name").textValue(),
                node.path("credentialSha256").textValue(),
                node.path("weight").intValue(),
                node.path("maxInFlight").intValue());
    }

    private static Limits limits(JsonNode node) {
        return new Limits(
                node.path("maxBodyBytes").intValue(),
                node.path("maxHeaderBytes").intValue(),
                node.path("maxQueuedPerWorkspace").intValue(),
                number(node.path("retryBudgetRatio")),
                node.path("drainNoticeSeconds").intValue(),
                node.path("drainLimitSeconds").intValue(),
                node.path("claimRetentionSeconds").intValue());
    }

    private static PlacementSettings placement(JsonNode node) {
        return new PlacementSettings(
                number(node.path("skewWeight")),
                number(node.path("rebalanceWeight")),
                node.path("paybackHorizonSeconds").intValue(),
                node.path("weightStoreBytesPerSecond").longValue(),
                node.path("expertBytes").longValue());
    }

    /** Adding 0.0 turns -0.0 into 0.0, so that both have one canonical form. */
    private static double number(JsonNode node) {
        return node.doubleValue() + 0.0;
    }

    private static <T> List<T> list(JsonNode array, Function<JsonNode, T> element) {
        return StreamSupport.stream(array.spliterator(), false).map(element).toList();
    }
}
