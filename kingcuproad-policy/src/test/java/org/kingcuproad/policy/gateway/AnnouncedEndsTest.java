package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against believing the end of a connection of an upstream in trouble. */
class AnnouncedEndsTest {

    private final AnnouncedEnds ends = new AnnouncedEnds();

    private void end(int count) {
        IntStream.range(0, count).forEach(unused -> {
            ends.onHead(ResponseFraming.CONNECTION, true);
            ends.onOrderlyEnd();
        });
    }

    @Test
    void believesAnUpstreamOnlyAfterSeveralOrderlyEnds() {
        end(AnnouncedEnds.MIN_ENDS - 1);
        ends.onHead(ResponseFraming.NO_BODY, false);
        assertThat(ends.believed()).isFalse();

        end(1);

        assertThat(ends.believed()).isTrue();
    }

    @Test
    void doesNotBelieveAnUpstreamThatStatesEndsElsewhere() {
        ends.onHead(ResponseFraming.LENGTH, true);
        end(100 * AnnouncedEnds.MIN_ENDS);

        assertThat(ends.believed()).isFalse();
    }

    @Test
    void doesNotBelieveAnUpstreamThatDidNotAnnounceAnEnd() {
        end(AnnouncedEnds.MIN_ENDS);
        ends.onHead(ResponseFraming.CONNECTION, false);

        assertThat(ends.believed()).isFalse();
    }

    @Test
    void doesNotBelieveAnUpstreamOnceAResponseWasCutOff() {
        end(AnnouncedEnds.MIN_ENDS);
        ends.onCutOff();
        end(AnnouncedEnds.MIN_ENDS);

        assertThat(ends.believed()).isFalse();
    }
}
