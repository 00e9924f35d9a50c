package org.kingcuproad.policy.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class EvacuatedDataCentresTest {

    private final EvacuatedDataCentres evacuations = new EvacuatedDataCentres(true);

    /** Guards against requests to an evacuated data centre before a started gateway knows of the evacuation. */
    @Test
    void coversAllUntilTheFirstListing() {
        assertThat(evacuations.covers("a")).isTrue();
        assertThat(evacuations.known()).isFalse();

        evacuations.onListing(List.of("b"), 0);

        assertThat(evacuations.covers("a")).isFalse();
        assertThat(evacuations.covers("b")).isTrue();
    }

    /** Guards against a deployment without evacuations that waits for a listing. */
    @Test
    void coversNothingWhereDataCentresAreNotEvacuated() {
        EvacuatedDataCentres disabled = new EvacuatedDataCentres(false);

        assertThat(disabled.known()).isTrue();
        assertThat(disabled.covers("a")).isFalse();
    }

    /** Guards against the end of one evacuation, or its repetition, that ends another. */
    @Test
    void keepsEvacuationsApart() {
        evacuations.onListing(List.of("a"), 0);
        assertThat(evacuations.onEntry("b")).isTrue();
        assertThat(evacuations.onEntry("b")).isFalse();

        assertThat(evacuations.onDeleted("a", 10)).isTrue();

        assertThat(evacuations.covers("a")).isFalse();
        assertThat(evacuations.covers("b")).isTrue();
    }

    /** Guards against evacuations that outlast a deletion which was missed while the store was out of reach. */
    @Test
    void takesOverAListing() {
        evacuations.onListing(List.of("a", "b"), 0);

        assertThat(evacuations.onListing(List.of("b", "c"), 10))
                .isEqualTo(new EvacuatedDataCentres.Changes(List.of("c"), List.of("a")));
    }

    /** Guards against all requests going at once to the empty upstreams of a data centre that returns. */
    @Test
    void returnsSlotsByDegrees() {
        evacuations.onListing(List.of("a"), 0);
        evacuations.onDeleted("a", 1_000);

        assertThat(evacuations.usableSlots("a", 8, 1_000)).isEqualTo(1);
        assertThat(evacuations.usableSlots("a", 8, 1_000 + EvacuatedDataCentres.RETURN_MS / 2))
                .isEqualTo(4);
        assertThat(evacuations.usableSlots("a", 8, 1_000 + EvacuatedDataCentres.RETURN_MS))
                .isEqualTo(8);
        assertThat(evacuations.usableSlots("b", 8, 1_000)).isEqualTo(8);
    }
}
