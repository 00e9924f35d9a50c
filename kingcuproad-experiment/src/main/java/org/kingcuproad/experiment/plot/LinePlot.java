package org.kingcuproad.experiment.plot;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** A line plot with linear axes, drawn as SVG text that is the same for the same data. */
public final class LinePlot {

    private static final int WIDTH = 800;
    private static final int HEIGHT = 480;
    private static final int LEFT = 70;
    private static final int RIGHT = 180;
    private static final int TOP = 40;
    private static final int BOTTOM = 50;
    private static final int TICKS = 5;
    private static final int LEGEND_STEP = 18;

    /** Colours that stay distinct for common kinds of colour blindness. */
    private static final List<String> COLOURS =
            List.of("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000");

    private final String title;
    private final String xLabel;
    private final String yLabel;
    private final List<PlotSeries> series;

    private LinePlot(String title, String xLabel, String yLabel, List<PlotSeries> series) {
        this.title = title;
        this.xLabel = xLabel;
        this.yLabel = yLabel;
        this.series = series;
    }

    /**
     * Creates a plot without lines.
     *
     * @param title title above the plot
     * @param xLabel label of the horizontal axis
     * @param yLabel label of the vertical axis
     * @return the plot
     */
    public static LinePlot of(String title, String xLabel, String yLabel) {
        return new LinePlot(title, xLabel, yLabel, List.of());
    }

    /**
     * Returns a copy with another line.
     *
     * @param added the line
     * @return the copy
     */
    public LinePlot withSeries(PlotSeries added) {
        List<PlotSeries> extended = new ArrayList<>(series);
        extended.add(added);
        return new LinePlot(title, xLabel, yLabel, List.copyOf(extended));
    }

    /**
     * Draws the plot.
     *
     * @return the text of an SVG document
     */
    public String toSvg() {
        PlotRange x = range(PlotPoint::x);
        PlotRange y = range(PlotPoint::y);
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH,
                HEIGHT));
        text(svg, LEFT, TOP / 2, "start", title);
        drawAxes(svg, x, y);
        for (int i = 0; i < series.size(); i++) {
            drawSeries(svg, x, y, i);
        }
        return svg.append("</svg>\n").toString().replace("\r\n", "\n");
    }

    private void drawAxes(StringBuilder svg, PlotRange x, PlotRange y) {
        for (int i = 0; i <= TICKS; i++) {
            double share = (double) i / TICKS;
            double across = LEFT + share * (WIDTH - LEFT - RIGHT);
            double down = HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM);
            line(svg, across, TOP, across, HEIGHT - BOTTOM);
            line(svg, LEFT, down, WIDTH - RIGHT, down);
            text(svg, across, HEIGHT - BOTTOM + LEGEND_STEP, "middle", x.label(share));
            text(svg, LEFT - 6, down + 4, "end", y.label(share));
        }
        text(svg, (LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 10, "middle", xLabel);
        svg.append(String.format(
                Locale.ROOT,
                "<text transform=\"translate(16 %d) rotate(-90)\" text-anchor=\"middle\">%s</text>%n",
                (TOP + HEIGHT - BOTTOM) / 2,
                escape(yLabel)));
    }

    private void drawSeries(StringBuilder svg, PlotRange x, PlotRange y, int index) {
        PlotSeries drawn = series.get(index);
        String colour = COLOURS.get(index % COLOURS.size());
        String points = drawn.points().stream()
                .map(point -> String.format(
                        Locale.ROOT,
                        "%.1f,%.1f",
                        LEFT + x.share(point.x()) * (WIDTH - LEFT - RIGHT),
                        HEIGHT - BOTTOM - y.share(point.y()) * (HEIGHT - TOP - BOTTOM)))
                .collect(Collectors.joining(" "));
        svg.append(String.format(
                Locale.ROOT,
                "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>%n",
                colour,
                points));
        int legend = TOP + index * LEGEND_STEP;
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>%n",
                WIDTH - RIGHT + 10,
                legend,
                colour));
        text(svg, WIDTH - RIGHT + 26, legend + 10, "start", drawn.name());
    }

    private PlotRange range(ToDoubleFunction<PlotPoint> value) {
        return PlotRange.of(series.stream()
                .flatMap(drawn -> drawn.points().stream())
                .mapToDouble(value)
                .summaryStatistics());
    }

    private static void line(StringBuilder svg, double x1, double y1, double x2, double y2) {
        svg.append(String.format(
                Locale.ROOT,
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/>%n",
                x1,
                y1,
                x2,
                y2));
    }

    private static void text(StringBuilder svg, double x, double y, String anchor, String text) {
        svg.append(String.format(
                Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>%n", x, y, anchor, escape(text)));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
