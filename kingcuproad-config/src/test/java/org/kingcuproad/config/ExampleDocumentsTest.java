package org.kingcuproad.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.Route;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.UpstreamKind;

/** Guards against example documents that the reader refuses or that no longer have the size of design section 1.1. */
class ExampleDocumentsTest {

    @ParameterizedTest
    @ValueSource(strings = {"merrimack", "wierzbicki"})
    void hasTodaysSize(String organisation) throws Exception {
        EnvironmentDocument document = EnvironmentDocumentReader.read(ExampleDocuments.read(organisation));
        assertThat(document.environment()).isEqualTo(organisation);
        assertThat(document.dataCentres()).hasSize(3);
        assertThat(upstreams(document, UpstreamKind.MODEL)).hasSize(12);
        assertThat(upstreams(document, UpstreamKind.SERVICE)).hasSize(3);
        assertThat(document.workspaces()).hasSize(10);
        assertThat(upstreams(document, UpstreamKind.MODEL))
                .extracting(Upstream::checksFencing)
                .contains(true, false);
    }

    @ParameterizedTest
    @ValueSource(strings = {"merrimack", "wierzbicki"})
    void neverRepeatsAnOrder(String organisation) throws Exception {
        EnvironmentDocument document = EnvironmentDocumentReader.read(ExampleDocuments.read(organisation));
        assertThat(document.services().stream()
                        .flatMap(service -> service.routes().stream())
                        .filter(route -> route.methods().contains("POST")))
                .isNotEmpty()
                .extracting(Route::idempotent)
                .containsOnly(false);
    }

    @Test
    void weighsTheMeasuresAsTheOrganisationsDo() throws Exception {
        EnvironmentDocument merrimack = EnvironmentDocumentReader.read(ExampleDocuments.read("merrimack"));
        EnvironmentDocument wierzbicki = EnvironmentDocumentReader.read(ExampleDocuments.read("wierzbicki"));
        assertThat(merrimack.placement().skewWeight())
                .isGreaterThan(merrimack.placement().rebalanceWeight());
        assertThat(wierzbicki.placement().rebalanceWeight())
                .isGreaterThan(wierzbicki.placement().skewWeight());
    }

    private static List<Upstream> upstreams(EnvironmentDocument document, UpstreamKind kind) {
        return document.upstreams().stream()
                .filter(upstream -> upstream.kind() == kind)
                .toList();
    }
}
