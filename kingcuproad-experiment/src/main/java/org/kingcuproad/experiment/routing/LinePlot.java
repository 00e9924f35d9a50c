package org.kingcuproad.experiment.routing;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Draws series of points as a line chart in SVG.
 *
 * @param title title of the chart
 * @param xLabel label of the horizontal axis
 * @param yLabel label of the vertical axis
 * @param logarithmic whether the vertical axis is logarithmic; values must then be greater than 0
 */
record LinePlot(String title, String xLabel, String yLabel, boolean logarithmic) {

    private static final int WIDTH = 720;
    private static final int HEIGHT = 420;
    private static final int LEFT = 80;
    private static final int RIGHT = 540;
    private static final int TOP = 40;
    private static final int BOTTOM = 360;
    private static final int TICKS = 5;
    private static final int LINE_HEIGHT = 20;
    private static final String[] COLOURS = {"#1b6ca8", "#c0392b", "#27824a", "#8e5ba6", "#b9770e"};

    String toSvg(Map<String, Map<Double, Double>> series) {
        Range x = Range.of(series.values().stream()
                .map(Map::keySet)
                .flatMap(Collection::stream)
                .toList());
        Range y = Range.of(series.values().stream()
                .map(Map::values)
                .flatMap(Collection::stream)
                .map(this::scale)
                .toList());
        StringBuilder svg = new StringBuilder();
        add(
                svg,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                        + " font-family=\"sans-serif\" font-size=\"12\">",
                WIDTH,
                HEIGHT);
        add(svg, "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>");
        text(svg, LEFT, TOP - LINE_HEIGHT, title);
        text(svg, LEFT, BOTTOM + 2 * LINE_HEIGHT, xLabel);
        text(svg, 2, TOP - 2, yLabel);
        axes(svg, x, y);
        int index = 0;
        for (Map.Entry<String, Map<Double, Double>> entry : series.entrySet()) {
            line(svg, entry.getKey(), entry.getValue(), x, y, index++);
        }
        add(svg, "</svg>");
        return svg.toString();
    }

    private void axes(StringBuilder svg, Range x, Range y) {
        add(svg, "<path d=\"M%d %d V%d H%d\" fill=\"none\" stroke=\"black\"/>", LEFT, TOP, BOTTOM, RIGHT);
        for (int tick = 0; tick <= TICKS; tick++) {
            double part = (double) tick / TICKS;
            double value = y.at(part);
            double shown = logarithmic ? Math.pow(10, value) : value;
            text(svg, LEFT / 3, (int) y.place(value, BOTTOM, TOP), String.format(Locale.ROOT, "%.3g", shown));
            text(
                    svg,
                    (int) x.place(x.at(part), LEFT, RIGHT),
                    BOTTOM + LINE_HEIGHT,
                    String.format(Locale.ROOT, "%.2f", x.at(part)));
        }
    }

    private void line(StringBuilder svg, String name, Map<Double, Double> points, Range x, Range y, int index) {
        String colour = COLOURS[index % COLOURS.length];
        String places = points.entrySet().stream()
                .map(point -> String.format(
                        Locale.ROOT,
                        "%.1f,%.1f",
                        x.place(point.getKey(), LEFT, RIGHT),
                        y.place(scale(point.getValue()), BOTTOM, TOP)))
                .collect(Collectors.joining(" "));
        add(svg, "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>", places, colour);
        add(
                svg,
                "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>",
                RIGHT + LINE_HEIGHT,
                TOP + LINE_HEIGHT * index,
                colour,
                name);
    }

    private double scale(double value) {
        return logarithmic ? Math.log10(value) : value;
    }

    private static void text(StringBuilder svg, int x, int y, String text) {
        add(svg, "<text x=\"%d\" y=\"%d\">%s</text>", x, y, text);
    }

    private static void add(StringBuilder svg, String format, Object... arguments) {
        svg.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }

    /** Values that an axis covers. */
    private record Range(double low, double high) {

        static Range of(Collection<Double> values) {
            double low = values.stream().mapToDouble(Double::doubleValue).min().orElse(0);
            double high = values.stream().mapToDouble(Double::doubleValue).max().orElse(1);
            return new Range(low, high > low ? high : low + 1);
        }

        double at(double part) {
            return low + part * (high - low);
        }

        double place(double value, double from, double to) {
            return from + (value - low) / (high - low) * (to - from);
        }
    }
}
