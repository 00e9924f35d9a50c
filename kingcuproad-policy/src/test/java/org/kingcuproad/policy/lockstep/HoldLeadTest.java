package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a lead that stalls the group while ranks are armed, or exceeds what a restarted coordinator awaits.
 */
class HoldLeadTest {

    private final HoldLead lead = new HoldLead(8);

    @Test
    void coversTheArmingTimeEvenIfTheNextPassIsAboutToBegin() {
        assertThat(lead.passes()).as("duration unknown").isEqualTo(4);
        lead.onPassDuration(200);
        assertThat(lead.passes()).isEqualTo(3);
        lead.onArmed(450);
        assertThat(lead.passes()).as("after a slow arming").isEqualTo(4);
    }

    @Test
    void staysWithinItsBounds() {
        lead.onPassDuration(5);
        assertThat(lead.passes()).isEqualTo(8);
        lead.onPassDuration(5_000);
        assertThat(lead.passes()).isEqualTo(2);
    }
}
