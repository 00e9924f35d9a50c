package org.kingcuproad.model;

import java.util.List;
import java.util.Optional;

/**
 * What one environment serves: model groups, upstreams, services and workspaces.
 *
 * @param environment name of the environment
 * @param region region of the data centres
 * @param dataCentres names of the data centres
 * @param models models that callers may name
 * @param modelGroups groups that run the models
 * @param services plain services
 * @param upstreams servers of the groups and services
 * @param workspaces customers under the shared account
 * @param limits limits on requests and waits
 * @param placement weights and bounds of expert placement
 */
public record EnvironmentDocument(
        String environment,
        String region,
        List<String> dataCentres,
        List<Model> models,
        List<ModelGroup> modelGroups,
        List<Service> services,
        List<Upstream> upstreams,
        List<Workspace> workspaces,
        Limits limits,
        PlacementSettings placement) {

    /** Copies the lists, so that the value is immutable. */
    public EnvironmentDocument {
        dataCentres = List.copyOf(dataCentres);
        models = List.copyOf(models);
        modelGroups = List.copyOf(modelGroups);
        services = List.copyOf(services);
        upstreams = List.copyOf(upstreams);
        workspaces = List.copyOf(workspaces);
    }

    /**
     * Finds an upstream by name.
     *
     * @param upstreamName the name of the upstream
     * @return the upstream, or empty if the document has none of this name
     */
    public Optional<Upstream> upstream(String upstreamName) {
        return upstreams.stream()
                .filter(upstream -> upstream.name().equals(upstreamName))
                .findFirst();
    }

    /**
     * Finds a model group by name.
     *
     * @param groupName the name of the group
     * @return the group, or empty if the document has none of this name
     */
    public Optional<ModelGroup> modelGroup(String groupName) {
        return modelGroups.stream()
                .filter(group -> group.name().equals(groupName))
                .findFirst();
    }
}
