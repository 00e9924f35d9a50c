package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a test gateway that is never ready, because one of its addresses has the port of another. */
class DistinctPortsTest {

    @Test
    void returnsNoPortTwiceIfTheSystemChoosesItAgain() throws Exception {
        Iterator<Integer> chosen =
                List.of(40_001, 40_001, 40_002, 40_001, 40_002, 40_003).iterator();
        DistinctPorts ports = new DistinctPorts(chosen::next);

        assertThat(List.of(ports.next(), ports.next(), ports.next())).containsExactly(40_001, 40_002, 40_003);
    }
}
