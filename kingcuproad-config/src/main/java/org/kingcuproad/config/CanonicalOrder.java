package org.kingcuproad.config;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.Route;
import org.kingcuproad.model.Service;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.Workspace;

/** Sorts the lists of a document whose order has no meaning, so that equal documents have equal canonical forms. */
final class CanonicalOrder {

    /** Longer prefixes come first, so that the first route that matches a path is the most specific one. */
    private static final Comparator<Route> MOST_SPECIFIC_FIRST = Comparator.comparingInt(
                    (Route route) -> route.pathPrefix().length())
            .reversed()
            .thenComparing(Route::pathPrefix)
            .thenComparing(route -> String.join(" ", route.methods()));

    private CanonicalOrder() {}

    static EnvironmentDocument sort(EnvironmentDocument document) {
        return new EnvironmentDocument(
                document.environment(),
                document.region(),
                sorted(document.dataCentres(), Function.identity()),
                sorted(document.models(), Model::name),
                sorted(document.modelGroups(), ModelGroup::name),
                sorted(document.services().stream().map(CanonicalOrder::sort).toList(), Service::name),
                sorted(document.upstreams(), Upstream::name),
                sorted(document.workspaces(), Workspace::name),
                document.limits(),
                document.placement());
    }

    private static Service sort(Service service) {
        List<Route> routes = service.routes().stream()
                .map(CanonicalOrder::sort)
                .sorted(MOST_SPECIFIC_FIRST)
                .toList();
        return new Service(service.name(), routes);
    }

    private static Route sort(Route route) {
        List<String> methods = sorted(route.methods(), Function.identity());
        return new Route(route.pathPrefix(), methods, route.idempotent(), route.deadlineMs());
    }

    private static <T> List<T> sorted(List<T> list, Function<T, String> key) {
        return list.stream().sorted(Comparator.comparing(key)).toList();
    }
}
