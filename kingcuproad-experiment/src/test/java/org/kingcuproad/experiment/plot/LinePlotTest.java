package org.kingcuproad.experiment.plot;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against plots that viewers refuse. */
class LinePlotTest {

    @Test
    void escapesTextAndKeepsPointsInsideTheAxes() {
        String svg = LinePlot.of("a < b & c", "x", "y")
                .withSeries(new PlotSeries("line", List.of(new PlotPoint(0, 1), new PlotPoint(10, 3))))
                .toSvg();
        assertThat(svg).contains("a &lt; b &amp; c").contains("points=\"70.0,430.0 620.0,40.0\"");
    }

    @Test
    void drawsWithoutData() {
        assertThat(LinePlot.of("empty", "x", "y").toSvg()).endsWith("</svg>\n").doesNotContain("NaN");
    }
}
