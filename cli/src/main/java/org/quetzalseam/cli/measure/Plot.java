package org.quetzalseam.cli.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots goodput and wasted prefill against load. Stateless. */
public final class Plot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 700;
    private static final double PERCENT = 100;

    private Plot() {}

    /** Writes a PNG with one line per policy, at the mean over seeds. */
    public static void write(List<Measured> results, String title, Path file) {
        CombinedDomainXYPlot both = new CombinedDomainXYPlot(new NumberAxis("offered load"));
        both.add(plot(results, "goodput, %", run -> run.goodput() * PERCENT));
        both.add(plot(results, "wasted prefill, %", Measured::wastedPercent));
        JFreeChart chart = new JFreeChart(title, both);
        ChartFactory.getChartTheme().apply(chart);
        try {
            ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
        } catch (IOException e) {
            throw new UncheckedIOException("can't write " + file, e);
        }
    }

    private static XYPlot plot(List<Measured> results, String label, ToDoubleFunction<Measured> figure) {
        XYSeriesCollection lines = new XYSeriesCollection();
        for (String policy : results.stream().map(Measured::policy).distinct().toList()) {
            XYSeries line = new XYSeries(policy);
            results.stream()
                    .map(Measured::load)
                    .distinct()
                    .forEach(load -> line.add(
                            load.doubleValue(),
                            results.stream()
                                    .filter(run -> run.policy().equals(policy) && run.load() == load)
                                    .mapToDouble(figure)
                                    .average()
                                    .orElse(0)));
            lines.addSeries(line);
        }
        return new XYPlot(lines, null, new NumberAxis(label), new XYLineAndShapeRenderer());
    }
}
